package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["second"] = playSecond }

const (
	secondRunTime = 80 * time.Second
	secondClients = 12
	secondPause   = 40 * time.Millisecond // longest pause of a client between two requests
	secondShare   = 0.2                   // of the answers that are followed by a second one
	secondFrom    = 5 * time.Millisecond  // how long after the first one it comes
	secondTo      = 15 * time.Millisecond
	secondSeed    = 45
)

// secondConfig has the figures of hronec-zvolen.
const secondConfig = `{"name":"n1","listen":"%s","discovery":"%s","seed":"2d",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":%s,
 "settings":{"balancers":1,"discovery":"ask","contract":{"drain_grace_ms":2000,"ask_every_ms":10000},
  "contracts":[{"name":"basic","proportion":1,"base_rate":1000,"floor_rate":1000}],
  "domain":{"unit_mean":2,"largest":8},
  "lanes":[{"name":"order-read","effect":"read_like","target_ms":300,"hard_limit_ms":2500}],
  "permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"retry_after":true,
   "max_retry_after_ms":1000,"dial_timeout_ms":250,"idle_close_ms":30000}}}`

// playSecond lets storage nodes send some answers a second time, some milliseconds late and only while nothing else
// waits on the connection. No client may be served what was made for another request.
func playSecond(b *bench) (broken bool, err error) {
	nodes := make([]*secondNode, 2)
	list := listing{Rev: 1, All: true}
	for i := range nodes {
		if nodes[i], err = startSecondNode(b, fmt.Sprintf("s-%d", i+1), uint64(i)); err != nil {
			return false, err
		}
		defer nodes[i].listener.Close()
		list.Targets = append(list.Targets, target{UID: nodes[i].uid, Endpoint: nodes[i].listener.Addr().String(), Zone: "a",
			Model: "m", Shard: i, State: "ready", Hint: 1})
	}
	service, err := startDiscovery(b, list)
	if err != nil {
		return false, err
	}
	known, err := json.Marshal(list)
	if err != nil {
		return false, err
	}
	addr, err := freeAddr()
	if err != nil {
		return false, err
	}
	conf := filepath.Join(b.dir, "n1.json")
	if err := writeFile(conf, fmt.Sprintf(secondConfig, addr, service.addr, known)); err != nil {
		return false, err
	}
	gateway, err := b.start("n1", []string{"PROXY_CONFIG=" + conf}, "web")
	if err != nil {
		return false, err
	}
	if err := waitListening(gateway, addr); err != nil {
		return false, err
	}
	readers := make([]*secondReader, secondClients)
	until := time.Now().Add(secondRunTime)
	var group sync.WaitGroup
	for i := range readers {
		readers[i] = &secondReader{b: b, number: i + 1, addr: addr, nodes: nodes}
		group.Go(func() { readers[i].run(until) })
	}
	group.Wait()
	good, foreign, other, seconds := 0, 0, 0, int64(0)
	for _, r := range readers {
		good, foreign, other = good+r.good, foreign+r.foreign, other+r.other
	}
	for _, n := range nodes {
		seconds += n.seconds.Load()
	}
	if !gateway.running() {
		return false, fmt.Errorf("the gateway has ended")
	}
	b.logf("nodes sent %d second answers; clients were served their own data %d times, data made for another request %d times, "+
		"and not served %d times", seconds, good, foreign, other)
	if good == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return foreign > 0, nil
}

// secondReader is a client that reads with one request at a time and compares what it is served.
type secondReader struct {
	b      *bench
	number int
	addr   string
	nodes  []*secondNode

	good, foreign, other int
}

func (r *secondReader) run(until time.Time) {
	random := rand.New(rand.NewPCG(secondSeed, uint64(r.number)))
	var conn net.Conn
	var reader *bufio.Reader
	for count := 0; time.Now().Before(until); count++ {
		time.Sleep(time.Duration(random.Float64() * float64(secondPause)))
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", r.addr, time.Second); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("client%02d-%06d", r.number, count)
		status, body, err := r.read(conn, reader, id, count)
		switch {
		case err != nil:
			_ = conn.Close()
			conn = nil
			r.other++
		case status != http.StatusOK:
			r.other++
		case body == secondBody(id):
			r.good++
		default:
			r.foreign++
			r.b.logf("FOREIGN request %s is answered with 200 and %q", id, body)
			for _, n := range r.nodes {
				n.explain(id)
			}
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (r *secondReader) read(conn net.Conn, reader *bufio.Reader, id string, count int) (int, string, error) {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(conn, "GET /api?extent=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: order-read\r\n"+
		"X-Plan: basic\r\nX-Deadline-Ms: 2500\r\nX-IO: volume=00000003b4d60021,units=2,shard=%d,hosts=1\r\n\r\n",
		count, id, count%len(r.nodes))
	if err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// secondBody is the data that a storage node makes for a request.
func secondBody(id string) string { return "data of " + id }

// secondNode is a stand-in for a storage node that serves every request and sends some answers twice.
type secondNode struct {
	b        *bench
	uid      string
	listener net.Listener
	seed     uint64
	seconds  atomic.Int64

	lock    sync.Mutex
	reached map[string]string // by request: how it came
}

func startSecondNode(b *bench, uid string, seed uint64) (*secondNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &secondNode{b: b, uid: uid, listener: listener, seed: seed, reached: map[string]string{}}
	go func() {
		for number := uint64(1); ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn, number)
		}
	}()
	return n, nil
}

// explain notes how a request came to the node.
func (n *secondNode) explain(id string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if text := n.reached[id]; text != "" {
		n.b.logf("  %s: %s", n.uid, text)
	}
}

func (n *secondNode) serve(conn net.Conn, number uint64) {
	defer conn.Close()
	random := rand.New(rand.NewPCG(secondSeed+1+n.seed, number))
	reader := bufio.NewReader(conn)
	last := "no second answer before it"
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		n.lock.Lock()
		n.reached[id] = fmt.Sprintf("%s came at %.4f s on connection %d; %s", id, time.Since(n.b.startedAt).Seconds(), number, last)
		n.lock.Unlock()
		time.Sleep(5 * time.Millisecond)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(secondBody(id)), secondBody(id))
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		first := time.Now()
		last = "no second answer before it"
		if !n.b.trouble || random.Float64() >= secondShare {
			continue
		}
		late := secondFrom + time.Duration(random.Float64()*float64(secondTo-secondFrom))
		_ = conn.SetReadDeadline(first.Add(late))
		if _, err := reader.Peek(1); err == nil {
			_ = conn.SetReadDeadline(time.Time{}) // a request waits: the answer is not sent again
			continue
		} else if netErr, ok := err.(net.Error); !ok || !netErr.Timeout() {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		n.seconds.Add(1)
		last = fmt.Sprintf("the answer to %s was sent again at %.4f s, %.1f ms after the first, while nothing waited", id,
			time.Since(n.b.startedAt).Seconds(), float64(time.Since(first))/1e6)
	}
}
