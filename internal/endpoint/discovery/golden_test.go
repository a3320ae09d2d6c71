package discovery_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/discovery"
)

var update = flag.Bool("update", false, "write the golden files anew")

// checkGolden fails the test if got differs from testdata/name.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}

// head reads a request as it is on the wire, up to its empty line.
func head(t *testing.T, in *bufio.Reader) string {
	t.Helper()
	var all strings.Builder
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		all.WriteString(line)
		if line == "\r\n" {
			return all.String()
		}
	}
}

// Requests on the wire (the first, two watches, one after a call that ended without a word) and what their answers are read as.
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
	c, _, err := discovery.New(discovery.Options{Gateway: "g", Address: l.Addr().String(), LongPoll: 500 * time.Millisecond, Timeout: 1500 * time.Millisecond,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	told, failed := make(chan endpoint.List, 8), make(chan bool, 1)
	go c.Run(t.Context(), func(l endpoint.List) { told <- l }, func(silent bool) { failed <- silent })
	c.Watch()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	var requests strings.Builder
	read := []map[string]any{}
	for _, body := range answers {
		requests.WriteString(head(t, in))
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			t.Fatal(err)
		}
		l := <-told
		nodes := []map[string]any{}
		for _, n := range l.Nodes {
			nodes = append(nodes, map[string]any{"addr": n.Addr, "name": n.Name, "zone": n.Zone, "shard": n.Shard, "weight": n.Weight,
				"born": n.StartedAt, "standing": int(n.Health)})
		}
		read = append(read, map[string]any{"version": l.Version, "stale": l.Stale, "part": l.Partial, "nodes": nodes})
	}
	requests.WriteString(head(t, in)) // left without an answer
	if silent := <-failed; !silent {
		t.Error("a call without an answer counts as one that failed")
	}
	c.Watch()
	if conn, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	requests.WriteString(head(t, bufio.NewReader(conn)))
	form, err := json.MarshalIndent(read, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	var forms []discovery.Response
	if err := json.Unmarshal(src, &forms); err != nil {
		t.Fatal(err)
	}
	written, err := json.MarshalIndent(forms, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "requests.http", []byte(strings.ReplaceAll(requests.String(), l.Addr().String(), "ADDRESS")))
	checkGolden(t, "read.json", append(form, '\n'))
	checkGolden(t, "written.json", append(written, '\n'))
}
