package discovery_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/discovery"
	"irispost/internal/testkit/golden"
)

// connection is one that a service accepted.
type connection struct {
	net.Conn
	in *bufio.Reader
}

func accept(t *testing.T, l net.Listener) *connection {
	t.Helper()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &connection{conn, bufio.NewReader(conn)}
}

// request reads a request as it is on the wire, up to its empty line.
func (c *connection) request(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		all.WriteString(line)
		if line == "\r\n" {
			return all.String()
		}
	}
}

func (c *connection) answer(t *testing.T, body []byte) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
}

// listFields returns a list under names of the test's own.
func listFields(list endpoint.List) map[string]any {
	nodes := []map[string]any{}
	for _, n := range list.Nodes {
		nodes = append(nodes, map[string]any{
			"addr":     n.Addr,
			"name":     n.Name,
			"zone":     n.Zone,
			"shard":    n.Shard,
			"weight":   n.Weight,
			"born":     n.StartedAt,
			"standing": int(n.Health),
		})
	}
	return map[string]any{"version": list.Version, "stale": list.Stale, "part": list.Partial, "nodes": nodes}
}

// checkJSON holds a value's JSON form against a file under testdata.
func checkJSON(t *testing.T, file string, value any) {
	t.Helper()
	b, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, file, append(b, '\n'))
}

// Requests on the wire (the first, polls for changes, one after a poll without a response) and the lists of their
// responses.
func TestGoldenExchange(t *testing.T) {
	src, err := os.ReadFile(filepath.Join("testdata", "answers.json"))
	if err != nil {
		t.Fatal(err)
	}
	var answers []json.RawMessage
	if err := json.Unmarshal(src, &answers); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	addr := l.Addr().String()
	w := startWatcher(t, discovery.Options{
		Gateway:  "g",
		Address:  addr,
		LongPoll: 500 * time.Millisecond,
		Timeout:  1500 * time.Millisecond,
	})

	w.Watch()
	conn := accept(t, l)
	var requests strings.Builder
	var lists []map[string]any
	for _, body := range answers {
		requests.WriteString(conn.request(t))
		conn.answer(t, body)
		lists = append(lists, listFields(<-w.lists))
	}
	requests.WriteString(conn.request(t)) // left without an answer
	if noResponse := <-w.failed; !noResponse {
		t.Error("a poll without a response counts as one that ended")
	}
	w.Watch()
	requests.WriteString(accept(t, l).request(t))

	golden.Check(t, "requests.http", []byte(strings.ReplaceAll(requests.String(), addr, "ADDRESS")))
	checkJSON(t, "read.json", lists)
}

func TestGoldenResponses(t *testing.T) {
	src, err := os.ReadFile(filepath.Join("testdata", "answers.json"))
	if err != nil {
		t.Fatal(err)
	}
	var responses []discovery.Response
	if err := json.Unmarshal(src, &responses); err != nil {
		t.Fatal(err)
	}
	checkJSON(t, "written.json", responses)
}
