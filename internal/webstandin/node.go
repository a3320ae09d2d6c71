// Package webstandin implements a simulated storage node that speaks HTTP/1.1. The ID of a request selects how the node
// handles it (see Behaviors). Tests of the HTTP node client and of the web gateway start the node; it stops at the end
// of the test. Each connection is served by a goroutine of its own; the node's lock guards the counts.
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

// eventBuffer is the capacity of the event channels. A connection blocks when a test leaves more events unread.
const eventBuffer = 1000

// Node is a running simulated storage node.
type Node struct {
	net.Listener
	Release      chan struct{} // closed by the test to let the waiting requests continue
	WaitingIDs   chan string   // receives the ID of each request that starts to wait
	Disconnected chan bool     // receives a value when a connection has ended

	sync.Mutex                    // guards the fields below
	Waiting        int            // number of requests that wait for Release
	Connections    int            // number of open connections
	ReceivedCounts map[string]int // by request ID: how many requests were read completely
}

// Start starts a node on a loopback address. It stops accepting connections when the test ends.
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
	t.Cleanup(func() { _ = listener.Close() }) // it fails if the test has closed the listener
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

// Counts returns the number of requests that wait for Release and the number of open connections.
func (n *Node) Counts() (waiting, connections int) {
	n.Lock()
	defer n.Unlock()
	return n.Waiting, n.Connections
}

func (n *Node) serve(conn net.Conn) {
	n.addCounts(0, 1)
	defer func() {
		_ = conn.Close() // the client may have closed it
		n.addCounts(0, -1)
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

// respond handles a request with the behavior that its ID selects, and reports whether to keep the connection open.
func (n *Node) respond(conn net.Conn, reader io.Reader, id string, body []byte) bool {
	n.Lock()
	n.ReceivedCounts[id]++
	n.Unlock()
	name, _, _ := strings.Cut(id, "-")
	if name == waitingBehavior {
		n.addCounts(1, 0)
		n.WaitingIDs <- id
		<-n.Release
		n.addCounts(-1, 0)
	}
	behavior := Behaviors[name]
	text := id + string(body)
	placeholders := strings.NewReplacer(lengthPlaceholder, strconv.Itoa(len(text)), bodyPlaceholder, text)
	_, _ = io.WriteString(conn, placeholders.Replace(behavior.response)) // it fails if the client has disconnected
	switch behavior.action {
	case stopReplying:
		_, _ = io.Copy(io.Discard, reader) // until the client disconnects
		return false
	case closeConn:
		return false
	case resetConn:
		_ = conn.(*net.TCPConn).SetLinger(0) // it fails if the client has reset the connection
		return false
	}
	return true
}

func (n *Node) addCounts(waiting, connections int) {
	n.Lock()
	defer n.Unlock()
	n.Waiting += waiting
	n.Connections += connections
}
