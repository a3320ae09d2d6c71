package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// The program is kept beside the cases: bin/review-cases push RECORD.
func init() { cases["push"] = playPush }

const (
	pushGateways   = 32
	drainGrace     = time.Second           // contract.drain_grace_ms
	socketSlack    = 50 * time.Millisecond // every time limit is 50 ms longer on sockets
	pushSeed       = 0x6006
	outage         = 8 * time.Second       // of discovery
	drainAfter     = 3 * time.Second       // from the beginning of the outage
	afterReturn    = 5 * time.Second       // how long clients go on after the return
	requestsPeriod = 50 * time.Millisecond // of each gateway's clients
)

// pushConfig has the figures of salt-lake-dc-later: lists are pushed, and a drain has a grace of 1 s.
const pushConfig = `{"name":"%s","listen":"%s","discovery":"%s","seed":"%x",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":%s,
 "settings":{"balancers":32,"discovery":"push","contract":{"drain_grace_ms":1000},
  "contracts":[{"name":"gold","proportion":1,"base_rate":1000,"floor_rate":1000}],
  "domain":{"unit_mean":2,"largest":8},
  "lanes":[{"name":"clip-read","effect":"read_like","target_ms":300,"hard_limit_ms":1500}],
  "permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"retry_after":true,
   "max_retry_after_ms":2000,"dial_timeout_ms":250,"idle_close_ms":30000}}}`

// playPush takes discovery down for eight seconds. Meanwhile a storage node begins to drain, and its successor holds the
// same shard. When discovery is back, it has the change, which counts as told at once where lists are pushed.
func playPush(b *bench) (broken bool, err error) {
	nodes := make([]*webNode, 3)
	for i := range nodes {
		if nodes[i], err = startWebNode(b, fmt.Sprintf("s-%d", i+1), i == 0); err != nil {
			return false, err
		}
		defer nodes[i].listener.Close()
	}
	before := listing{Rev: 1, All: true, Targets: []target{nodes[0].target(0, "ready"), nodes[1].target(1, "ready")}}
	after := listing{Rev: 2, All: true, Targets: []target{nodes[0].target(0, "draining"), nodes[1].target(1, "ready"),
		nodes[2].target(0, "ready")}}
	agent, err := startDiscovery(b, before)
	if err != nil {
		return false, err
	}
	known, _ := json.Marshal(before)
	var addrs []string
	for i := range pushGateways {
		addr, err := freeAddr()
		if err != nil {
			return false, err
		}
		name := fmt.Sprintf("n%d", i+1)
		conf := filepath.Join(b.dir, name+".json")
		if err := writeFile(conf, fmt.Sprintf(pushConfig, name, addr, agent.addr, pushSeed+i, known)); err != nil {
			return false, err
		}
		p, err := b.start(name, []string{"PROXY_CONFIG=" + conf}, "web")
		if err != nil {
			return false, err
		}
		if err := waitListening(p, addr); err != nil {
			return false, err
		}
		addrs = append(addrs, addr)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, addr := range addrs {
		clients.Go(func() { sendReads(b, i, addr, stop) })
	}
	time.Sleep(3 * time.Second)
	if b.trouble {
		agent.down()
		b.logf("discovery is down")
	}
	time.Sleep(drainAfter)
	b.logf("s-1 begins to drain; s-3 holds its shard from now on")
	agent.set(after)
	if b.trouble {
		time.Sleep(outage - drainAfter)
		if err := agent.up(); err != nil {
			return false, err
		}
	}
	told := time.Now()
	b.logf("told: discovery can be reached and has the change")
	time.Sleep(afterReturn)
	close(stop)
	clients.Wait()
	late, latest := 0, time.Duration(0)
	for _, at := range nodes[0].arrivals() {
		if since := at.Sub(told); since > drainGrace+socketSlack {
			late++
			latest = max(latest, since)
		}
	}
	for _, node := range nodes {
		b.logf("%s got %d requests in all", node.uid, len(node.arrivals()))
	}
	b.logf("s-1 got %d requests that began more than %v after the gateways were told that it drains; the last %v after",
		late, drainGrace+socketSlack, latest.Round(time.Millisecond))
	return late > 0, nil
}

// target is an entry of discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Shard    int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

type listing struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// discovery is a stand-in for the platform's discovery: whole lists, and watches that wait for a newer one.
type discovery struct {
	b      *bench
	addr   string
	server *http.Server

	lock    sync.Mutex // guards the fields below
	list    listing
	changed chan struct{} // closed when the list changes
	calls   int
}

func startDiscovery(b *bench, list listing) (*discovery, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	d := &discovery{b: b, addr: addr, list: list, changed: make(chan struct{})}
	return d, d.up()
}

func (d *discovery) up() error {
	listener, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }()
	return nil
}

// down ends the service as when its process dies: connections are reset or closed, new ones are refused.
func (d *discovery) down() { _ = d.server.Close() }

func (d *discovery) set(list listing) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.list = list
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	watch := err == nil
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	d.lock.Lock()
	list, changed := d.list, d.changed
	d.lock.Unlock()
	if watch && list.Rev <= from {
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		d.lock.Lock()
		list = d.list
		d.lock.Unlock()
		if list.Rev <= from {
			list = listing{Rev: list.Rev, Targets: []target{}}
		}
	}
	body, _ := json.Marshal(list)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	d.b.logf("  discovery answers %s to %s: rev %d, %d entries", r.URL.RequestURI(), r.RemoteAddr, list.Rev, len(list.Targets))
}

// webNode is a stand-in for a storage node: it serves every request after a few milliseconds.
type webNode struct {
	b        *bench
	uid      string
	listener net.Listener
	noted    bool // each request goes into the record

	lock  sync.Mutex
	begun []time.Time // when the first byte of each request came
}

func startWebNode(b *bench, uid string, noted bool) (*webNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &webNode{b: b, uid: uid, listener: listener, noted: noted}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n, nil
}

func (n *webNode) target(shard int, state string) target {
	return target{UID: n.uid, Endpoint: n.listener.Addr().String(), Zone: "a", Model: "m", Shard: shard, State: state, Hint: 1}
}

func (n *webNode) arrivals() []time.Time {
	n.lock.Lock()
	defer n.lock.Unlock()
	return append([]time.Time(nil), n.begun...)
}

func (n *webNode) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		at := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		n.lock.Lock()
		n.begun = append(n.begun, at)
		n.lock.Unlock()
		id := request.Header.Get("X-Request-Id")
		if n.noted {
			n.b.logf("  %s is sent request %s", n.uid, id)
		}
		time.Sleep(5 * time.Millisecond)
		body := "data of " + id
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// sendReads sends reads of shard 0 to a gateway, one at a time on a connection, until stop is closed.
func sendReads(b *bench, gateway int, addr string, stop chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	answers := map[int]int{}
	defer func() { b.logf("clients of gateway %d: answers by status %v", gateway+1, answers) }()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(requestsPeriod):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("%02x%014x", gateway+1, number)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, err := fmt.Fprintf(conn, "GET /api?extent=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: clip-read\r\n"+
			"X-Plan: gold\r\nX-Deadline-Ms: 1500\r\nX-IO: volume=00000003b4d60021,units=2,shard=0,hosts=%d\r\n\r\n",
			number, id, pushGateways)
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(reader, nil)
		}
		if err != nil {
			_ = conn.Close()
			conn = nil
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		answers[response.StatusCode]++
	}
}
