// Package webstandin is a storage node that speaks HTTP/1.1, for tests: the ID of a request says what the node does
// with it (Behaviors). Tests of the HTTP node client and of the web gateway start it; it ends with the test. Each
// connection has a goroutine of its own; the counts are under the node's lock.
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
)

// eventBuffer is how many events a test may leave unread before connections wait for it.
const eventBuffer = 1000

// Node is a test node.
type Node struct {
	net.Listener
	Release      chan struct{} // closed to let the requests go on that wait
	WaitingIDs   chan string   // IDs of requests that wait
	Disconnected chan bool     // gets a value when a connection has ended

	sync.Mutex                    // guards what follows
	Waiting        int            // requests that wait for Release
	Connections    int            // that are open
	ReceivedCounts map[string]int // requests that were read completely, by ID
}

// Start starts a node on loopback, until the test ends.
func Start(t testing.TB) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{
		Listener:       listener,
		ReceivedCounts: map[string]int{},
		Release:        make(chan struct{}),
		WaitingIDs:     make(chan string, eventBuffer),
		Disconnected:   make(chan bool, eventBuffer),
	}
	t.Cleanup(func() { _ = listener.Close() }) // a test may have closed it before
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener is closed
			}
			go n.serve(conn)
		}
	}()
	return n
}

// Counts returns how many requests wait for Release, and how many connections are open.
func (n *Node) Counts() (waiting, connections int) {
	n.Lock()
	defer n.Unlock()
	return n.Waiting, n.Connections
}

func (n *Node) serve(conn net.Conn) {
	n.count(0, 1)
	defer func() {
		_ = conn.Close() // the client may have closed it
		n.count(0, -1)
		n.Disconnected <- true
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !n.respond(conn, reader, request.Header.Get("X-Request-Id"), body) {
			return
		}
	}
}

// respond does with a request what its ID says, and says whether the connection goes on.
func (n *Node) respond(conn net.Conn, reader io.Reader, id string, body []byte) bool {
	n.Lock()
	n.ReceivedCounts[id]++
	n.Unlock()
	name, _, _ := strings.Cut(id, "-")
	if name == waitingBehavior {
		n.count(1, 0)
		n.WaitingIDs <- id
		<-n.Release
		n.count(-1, 0)
	}
	behavior := Behaviors[name]
	text := id + string(body)
	placeholders := strings.NewReplacer(lengthPlaceholder, strconv.Itoa(len(text)), bodyPlaceholder, text)
	_, _ = io.WriteString(conn, placeholders.Replace(behavior.response)) // the client may have gone
	switch behavior.then {
	case stopReplying:
		_, _ = io.Copy(io.Discard, reader) // until the client goes
		return false
	case closeConn:
		return false
	case resetConn:
		_ = conn.(*net.TCPConn).SetLinger(0) // it fails where the client has reset the connection
		return false
	}
	return true
}

func (n *Node) count(waiting, connections int) {
	n.Lock()
	defer n.Unlock()
	n.Waiting += waiting
	n.Connections += connections
}
