package capacity_test

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"irispost/internal/scale/meter"
)

// clientSettling is how long the memory use takes to settle after new connections were opened.
const clientSettling = 500 * time.Millisecond

// TestMeasureWeb measures `irispost web` as a separate process: processor time and memory by nodes, request rate and
// connections, and transferred bytes by body length.
func TestMeasureWeb(t *testing.T) {
	m := beginMeasurement(t)
	m.command = "IRISPOST_BIN=FILE " + m.command
	for _, nodes := range []int{200, 900, 1800} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			g := startWebGateway(t, nodes)
			time.Sleep(time.Second)
			core := g.corePercent(func() { time.Sleep(5 * time.Second) })
			m.addMeasured("web_rest_core_by_nodes", "% of a core", "nodes", float64(nodes), core)
			m.addMeasured("web_mb_by_nodes", "MB", "nodes", float64(nodes), g.memoryMB())
		})
	}
	t.Run("requests", func(t *testing.T) {
		g := startWebGateway(t, 1800)
		var failed atomic.Int64
		measureNodeMemory(t, m, g)
		clients := measureClientMemory(m, g, &failed)
		measureRequestRates(t, m, g, clients, &failed)
		measureBodies(t, m, g)
		if count := failed.Load(); count > 0 {
			t.Errorf("%d requests failed", count)
		}
	})
	if !t.Failed() && !isTrial() {
		m.save()
	}
}

// TestMeasureHalfRequests measures the memory of connections that have each sent only a part of a request. It starts a
// new process for each number of connections.
func TestMeasureHalfRequests(t *testing.T) {
	m := beginMeasurement(t)
	m.command = "IRISPOST_BIN=FILE " + m.command
	for _, count := range []int{1000, 2500, 5256} {
		t.Run(fmt.Sprint(count), func(t *testing.T) { measureHalfRequests(t, m, count) })
	}
	if !t.Failed() && !isTrial() {
		m.save()
	}
}

func measureHalfRequests(t *testing.T, m *measurement, count int) {
	t.Helper()
	g := startWebGateway(t, 1800)
	clients := make([]*clientConn, count)
	forEachNumber(count, 64, func(i int) {
		clients[i] = g.dial(nil)
		text := g.requestText(i%g.nodes, 4096)
		if _, err := io.WriteString(clients[i], text[:len(text)-2048]); err != nil {
			t.Error(err)
		}
	})
	time.Sleep(900 * time.Millisecond) // enough to read them all; first requests time out after 2.5 s
	m.addMeasured("web_mb_by_half_requests", "MB", "connections", float64(count), g.memoryMB())
	for i, client := range clients[:50] { // none was closed before the measurement
		_ = client.SetReadDeadline(time.Now().Add(time.Millisecond)) // otherwise the read would block and the test fail
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("connection %d: got error %v, want a timeout", i, err)
		}
	}
	for _, client := range clients {
		_ = client.Close()
	}
}

// measureNodeMemory measures memory by connections to nodes. The connections are opened by requests, one after another.
func measureNodeMemory(t *testing.T, m *measurement, g *webGateway) {
	t.Helper()
	client := g.dial(nil)
	shard := 0
	for _, count := range []int{200, 900, 1800} {
		for ; shard < count; shard++ {
			if err := g.request(client, shard, 64); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(clientSettling)
		m.addMeasured("web_mb_by_node_connections", "MB", "connections", float64(count), g.memoryMB())
	}
}

// measureClientMemory measures memory by client connections, and returns the connections.
func measureClientMemory(m *measurement, g *webGateway, failed *atomic.Int64) (clients []*clientConn) {
	for _, count := range []int{1000, 2500, 5256} {
		opened := make([]*clientConn, count-len(clients))
		forEachNumber(len(opened), 16, func(i int) {
			opened[i] = g.dial(nil)
			if err := g.request(opened[i], i%g.nodes, 64); err != nil {
				failed.Add(1)
			}
		})
		clients = append(clients, opened...)
		time.Sleep(clientSettling)
		m.addMeasured("web_mb_by_connections", "MB", "connections", float64(count), g.memoryMB())
	}
	return clients
}

// measureRequestRates measures processor time and memory at three rates of requests with bodies of 4 KB.
func measureRequestRates(t *testing.T, m *measurement, g *webGateway, clients []*clientConn, failed *atomic.Int64) {
	t.Helper()
	const (
		workers        = 32
		span           = 8 * time.Second
		shardStride    = 7919 // distributes requests over the shards
		loggedFailures = 3
	)
	for _, rate := range []int{400, 800, 1269} {
		count := rate * int(span/time.Second)
		core := g.corePercent(func() {
			startedAt := time.Now()
			forEachNumber(count, workers, func(i int) {
				time.Sleep(time.Until(startedAt.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				// Each connection is used by only one worker, so that its requests are sent one after another.
				client := clients[i%workers+workers*(i/workers%(len(clients)/workers))]
				err := g.request(client, i*shardStride%g.nodes, 4096)
				if err != nil && failed.Add(1) <= loggedFailures {
					t.Log(err)
				}
			})
		})
		m.addMeasured("web_core_by_requests", "% of a core", "requests a second", float64(rate), core)
		m.addMeasured("web_mb_by_requests", "MB", "requests a second", float64(rate), g.memoryMB())
	}
}

// measureBodies measures the bytes at the client's and at the nodes' sockets by body length.
func measureBodies(t *testing.T, m *measurement, g *webGateway) {
	t.Helper()
	const requests = 100
	for _, body := range []int{1, 4096, 32768} {
		var clientBytes meter.Counter
		client := g.dial(&clientBytes)
		nodeBytesBefore := g.nodeBytes.Total()
		for i := range requests {
			if err := g.request(client, i, body); err != nil {
				t.Fatal(err)
			}
		}
		size, nodeBytes := float64(body), g.nodeBytes.Total()-nodeBytesBefore
		m.addMeasured("web_client_bytes_by_body", "bytes", "bytes of a body", size, float64(clientBytes.Total())/requests)
		m.addMeasured("web_node_bytes_by_body", "bytes", "bytes of a body", size, float64(nodeBytes)/requests)
	}
}
