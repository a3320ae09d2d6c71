package capacity_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/backend/webnode"
	"irispost/internal/http1"
	"irispost/internal/scale/meter"
)

// TestMeasureNodeConnections measures the processor time of an attempt over a new connection and over an open one.
// Client and node run in this process, so that the time includes both.
func TestMeasureNodeConnections(t *testing.T) {
	m := beginMeasurement(t)
	for _, nodes := range []int{200, 900, 1800} {
		client := webnode.NewClient(webnode.Options{
			Host:           "origin.svc",
			ConnectTimeout: time.Minute,
			IdleTimeout:    time.Minute,
			MaxConnections: 4000,
			ResponseLimits: http1.DefaultLimits,
			MaxLongBody:    1,
			LongBodyBudget: 1,
		})
		var addrs []string
		for range nodes {
			addrs = append(addrs, startOKNode(t))
		}
		m.addMeasured("node_open_us_by_nodes", "us", "nodes", float64(nodes), attemptMicros(t, client, addrs))
		attemptMicros(t, client, addrs)
		m.addMeasured("node_reuse_us_by_nodes", "us", "nodes", float64(nodes), attemptMicros(t, client, addrs))
		client.Close()
	}
	m.save()
}

// startOKNode starts a node that answers each request with a body of two bytes, and returns its address. It runs until
// the end of the test.
func startOKNode(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go answerOK(conn)
		}
	}()
	return listener.Addr().String()
}

// answerOK answers requests until the connection is closed.
func answerOK(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// attemptMicros makes one attempt at each node, one after another, and returns the mean processor time of an attempt in
// microseconds.
func attemptMicros(t *testing.T, client *webnode.Client, addrs []string) float64 {
	t.Helper()
	replies := make(chan node.Reply, 1)
	before := selfCPU(t)
	for i, addr := range addrs {
		call := &node.Call{Op: node.GetObject, Name: "/api", IdempotencyKey: strconv.Itoa(i), Timeout: time.Minute}
		client.Start(addr, call, func(reply node.Reply) { replies <- reply })
		if reply := <-replies; reply.Outcome != node.Executed {
			t.Fatalf("got reply %+v, want outcome Executed", reply)
		}
	}
	return float64((selfCPU(t) - before).Nanoseconds()) / 1e3 / float64(len(addrs))
}

// selfCPU returns the processor time that this process has used.
func selfCPU(t *testing.T) time.Duration {
	t.Helper()
	used, err := meter.SelfCPU()
	if err != nil {
		t.Fatal(err)
	}
	return used
}
