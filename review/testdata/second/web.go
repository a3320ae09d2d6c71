package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has arrived whole at a storage node.
type arrival struct {
	id   string
	at   time.Time
	left time.Duration // that the gateway told
}

// webNode is a storage node that speaks the platform's protocol. It answers each request after its work.
type webNode struct {
	shard    int
	listener net.Listener
	work     time.Duration

	lock     sync.Mutex
	arrivals []arrival
}

// startWebNode starts a storage node.
func (p *play) startWebNode(shard int, work time.Duration) (*webNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return p.serveWebNode(listener, shard, work), nil
}

func (p *play) serveWebNode(listener net.Listener, shard int, work time.Duration) *webNode {
	n := &webNode{shard: shard, listener: listener, work: work}
	p.atEnd(func() { _ = listener.Close() })
	n.acceptAll()
	return n
}

// acceptAll serves all connections, in the background.
func (n *webNode) acceptAll() {
	go func() {
		for {
			conn, err := n.listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
}

func (n *webNode) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		millis, _ := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
		arrived := arrival{request.Header.Get("X-Request-Id"), time.Now(), time.Duration(millis) * time.Millisecond}
		n.lock.Lock()
		n.arrivals = append(n.arrivals, arrived)
		n.lock.Unlock()
		time.Sleep(n.work)
		body := "data of " + arrived.id
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// all returns the arrivals so far.
func (n *webNode) all() []arrival {
	n.lock.Lock()
	defer n.lock.Unlock()
	return append([]arrival(nil), n.arrivals...)
}

// startDiscovery starts a discovery service with a list of ready nodes that never changes.
func (p *play) startDiscovery(nodes []*webNode) (addr string, list map[string]any, err error) {
	targets := []map[string]any{}
	for _, n := range nodes {
		targets = append(targets, map[string]any{"uid": fmt.Sprintf("s-%d", n.shard), "endpoint": n.listener.Addr().String(),
			"az": "zvolen", "model": "new-2c", "pod_group": n.shard, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0})
	}
	list = map[string]any{"rev": 1, "all": true, "targets": targets}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := list
		if r.URL.Query().Get("from") == "1" {
			hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
			select {
			case <-time.After(time.Duration(hold) * time.Millisecond):
			case <-r.Context().Done():
			}
			answer = map[string]any{"rev": 1, "all": false, "targets": []any{}}
		}
		_ = json.NewEncoder(w).Encode(answer)
	})}
	go func() { _ = server.Serve(listener) }()
	p.atEnd(func() { _ = server.Close() })
	return listener.Addr().String(), list, nil
}

// webSettings are the settings of a small deployment: those of hronec-zvolen that an instance gets.
const webSettings = `{"balancers":3,"slot_no":0,"discovery":"ask",
 "contract":{"drain_grace_ms":2000,"ask_every_ms":10000,"answer_slack_ms":8,"cold_from":0.16,"cold_ms":18000,
  "fall_multiple":2.0,"overload_for_ms":1500},
 "contracts":[{"name":"basic","proportion":1,"base_rate":400,"floor_rate":200,"never_over":0,"burst":0,"cap_slack":0},
  {"name":"priority","proportion":4,"base_rate":1100,"floor_rate":880,"never_over":0,"burst":0,"cap_slack":0}],
 "domain":{"unit_mean":2,"largest":8,"young_limit":20,"tells_elsewhere":true,"metering_ms":1000},
 "lanes":[{"name":"order-read","effect":"read_like","target_ms":300,"hard_limit_ms":2500,"repeat_window_ms":5000,"group":"all"},
  {"name":"order-write","effect":"read_like","target_ms":300,"hard_limit_ms":2500,"repeat_window_ms":5000,"group":"all"},
  {"name":"bulk-read","effect":"read_like","target_ms":1200,"hard_limit_ms":4000,"repeat_window_ms":5000,"group":"all"}],
 "permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"retry_after":true,"max_retry_after_ms":1000,
  "dial_timeout_ms":DIAL,"idle_close_ms":30000}}`

// webGateway is a gateway as the platform starts it.
type webGateway struct {
	process *process
	addr    string
}

// startWebGateway starts a gateway by the deploy file's run command, which execs the program.
func (p *play) startWebGateway(nodes []*webNode, dialTimeout time.Duration) (*webGateway, error) {
	discovery, list, err := p.startDiscovery(nodes)
	if err != nil {
		return nil, err
	}
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	dial := strconv.FormatInt(dialTimeout.Milliseconds(), 10)
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": addr, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": list,
		"settings": json.RawMessage(strings.ReplaceAll(webSettings, "DIAL", dial))})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(file, config, 0o644); err != nil {
		return nil, err
	}
	process, err := p.startProcess("gateway n1", []string{"PROXY_CONFIG=" + file, "PROXY_NAME=n1", "PROXY_LISTEN=" + addr,
		"PROXY_DISCOVERY=" + discovery}, "web")
	if err != nil {
		return nil, err
	}
	gateway := &webGateway{process, addr}
	if err := waitListening(addr, process); err != nil {
		return nil, err
	}
	answer, err := http.Get("http://" + addr + "/healthz")
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("healthz: %s", answer.Status)
	}
	p.note("the gateway is ready")
	return gateway, nil
}

// webClient is a connection of a client.
type webClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (p *play) connectWeb(gateway *webGateway) (*webClient, error) {
	conn, err := net.DialTimeout("tcp", gateway.addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	p.atEnd(func() { _ = conn.Close() })
	return &webClient{conn, bufio.NewReader(conn)}, nil
}

// send writes a read of a shard whole, in one piece.
func (c *webClient) send(id string, shard int, deadline time.Duration) error {
	_, err := fmt.Fprintf(c.conn, "GET /api?extent=7f3a9c21e0b4%04x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\n"+
		"X-Class: order-read\r\nX-Plan: priority\r\nX-Deadline-Ms: %d\r\n"+
		"X-IO: volume=00000003b4d60021,units=1,shard=%d,hosts=1\r\n\r\n", shard, id, deadline.Milliseconds(), shard)
	return err
}

// receive reads an answer and returns its status and body.
func (c *webClient) receive(timeout time.Duration) (status int, body string, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text), err
}
