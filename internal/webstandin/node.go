// Package webstandin is a storage node that speaks HTTP/1.1, for tests: what it does with a request is told by the request's id.
package webstandin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"irispost/internal/backend/node"
)

func whole(extra string) string {
	return "HTTP/1.1 200 OK\r\n" + extra + "Content-Length: LEN\r\n\r\nBODY"
}

const (
	keep = iota // goes on with the next request
	stay        // takes what comes, and says nothing any more
	end         // closes
	cut         // resets
)

// Behaviors are what a stand-in node does with a request, by the first part of its id, and what the attempt comes to.
var Behaviors = map[string]struct {
	say     string
	then    int
	Outcome node.Outcome
}{
	"served": {whole(""), keep, node.Executed}, "held": {whole(""), keep, node.Executed}, "close": {whole("Connection: close\r\n"), end, node.Executed},
	"elsewhere": {whole("X-Served-Elsewhere: 3\r\nX-Load: inflight=7,latency_ms=2\r\n"), keep, node.Executed},
	"oddreport": {whole("X-Served-Elsewhere: many\r\nX-Load: ???\r\nX-Volume-Use: NaN\r\n"), keep, node.Executed},
	"hints":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + whole(""), keep, node.Executed},
	"twice":     {whole("") + whole(""), keep, node.Executed}, "error": {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", keep, node.Failed},
	"full": {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", keep, node.QueueFull},
	"over": {"HTTP/1.1 504 Over\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", keep, node.WrongShard},
	"busy": {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", keep, node.Failed}, "reset": {"", end, node.ConnectionReset},
	"half": {"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nabc", end, node.ConnectionReset}, "noise": {"\x00\x01\x02\x03\r\n\r\n", stay, node.Failed},
	"huge": {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx", stay, node.Failed},
	"open": {"HTTP/1.1 200 OK\r\n\r\nBODY", end, node.Executed}, "opencut": {"HTTP/1.1 200 OK\r\n\r\nBODY", cut, node.ConnectionReset},
	"halfline": {"HTTP/1.1 200 O", cut, node.ConnectionReset}, "halfhead": {"HTTP/1.1 200 OK\r\nContent-Le", end, node.ConnectionReset},
	"long": {"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("l", 200_000), keep, node.Executed},
}

// Node is a stand-in storage node.
type Node struct {
	net.Listener
	sync.Mutex
	Waiting, Connections int            // requests that are held, and connections that are open
	Seen                 map[string]int // whole requests by id
	Release              chan struct{}  // closed to let those go on that are held
	WaitingIDs           chan string    // ids of those
	Disconnected         chan bool      // a connection has ended
}

// Start starts one on loopback, until the test ends.
func Start(t testing.TB) *Node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Node{Listener: l, Seen: map[string]int{}, Release: make(chan struct{}), WaitingIDs: make(chan string, 1000), Disconnected: make(chan bool, 1000)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go s.serve(c)
		}
	}()
	return s
}

func (s *Node) serve(c net.Conn) {
	s.count(0, 1)
	defer func() {
		_ = c.Close()
		s.count(0, -1)
		s.Disconnected <- true
	}()
	for in := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Request-Id")
		s.Lock()
		s.Seen[id]++
		s.Unlock()
		what, _, _ := strings.Cut(id, "-")
		if what == "held" {
			s.count(1, 0)
			s.WaitingIDs <- id
			<-s.Release
			s.count(-1, 0)
		}
		text := id + string(body)
		answer := strings.NewReplacer("LEN", strconv.Itoa(len(text)), "BODY", text).Replace(Behaviors[what].say)
		_, _ = io.WriteString(c, answer) // the client may have gone
		switch Behaviors[what].then {
		case stay:
			_, _ = io.Copy(io.Discard, in) // until the client goes
			return
		case end:
			return
		case cut:
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func (s *Node) count(out, conns int) {
	s.Lock()
	defer s.Unlock()
	s.Waiting, s.Connections = s.Waiting+out, s.Connections+conns
}

// Counts tells how many requests are held, and how many connections are open.
func (s *Node) Counts() (out, conns int) {
	s.Lock()
	defer s.Unlock()
	return s.Waiting, s.Connections
}
