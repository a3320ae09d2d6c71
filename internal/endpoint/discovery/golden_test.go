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

// connection is a connection accepted by the service.
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

// request reads a request up to the empty line, and returns it unparsed.
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

// listFields returns the fields of a list under the keys of the golden file, which do not depend on the names in Go.
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

// checkJSON compares the JSON form of a value with a file in testdata.
func checkJSON(t *testing.T, file string, value any) {
	t.Helper()
	b, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, file, append(b, '\n'))
}

// The requests on the wire (the first one, polls for changes, and the poll after one without a response) and the lists
// parsed from the responses stay as they are.
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
	requests.WriteString(conn.request(t)) // gets no response
	if noResponse := <-w.failed; !noResponse {
		t.Error("a poll without a response is reported as one that failed otherwise")
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
