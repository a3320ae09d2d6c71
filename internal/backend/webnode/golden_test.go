package webnode_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"irispost/internal/backend/node"
)

// golden compares a text with a file of testdata, which UPDATE_GOLDEN=1 writes. Its lines end with LF; a CR shows as \r.
func golden(t *testing.T, file string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", file)
	got = bytes.ReplaceAll(got, []byte("\r"), []byte(`\r`))
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs:\n%s\nwanted:\n%s", path, got, want)
	}
}

// TestGoldenRequests pins the bytes of a request as it goes to a node: order and names of its fields, and its body. The time that is left
// differs from run to run.
func TestGoldenRequests(t *testing.T) {
	var record bytes.Buffer
	for _, call := range []node.Call{
		{Op: node.GetObject, Name: "/api?extent=7f3a9c21e0b4d655", IdempotencyKey: "r"},
		{Op: node.PutObject, Name: "/api?extent=7f3a9c21e0b4d655", IdempotencyKey: "w", Data: []byte("body")},
		{Op: node.PutObject, Name: "/api?extent=7f3a9c21e0b4d655", IdempotencyKey: "empty"},
		{Op: node.PutObject, Name: "/api", IdempotencyKey: "k", Headers: []string{"idempotency-key", "k=1; a", "x-class", "read", "x-plan", "gold",
			"x-io", "volume=1", "x-retry", ""}, Data: []byte("data")},
	} {
		p, c := newPeer(t), client(t, 1, nil)
		call.Timeout = time.Hour
		c.Start(p.Addr().String(), &call, func(node.Reply) {})
		l := p.accept()
		if err := l.SetReadDeadline(time.Now().Add(farOff)); err != nil {
			t.Fatal(err)
		}
		var got []byte
		for !whole(got, call.Data) {
			b := make([]byte, 4096)
			n, err := l.Read(b)
			if got = append(got, b[:n]...); err != nil {
				t.Fatalf("%v after %q", err, got)
			}
		}
		if err := l.Conn.(*net.TCPConn).CloseWrite(); err != nil { // upon which the client closes
			t.Fatal(err)
		}
		rest, err := io.ReadAll(l)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&record, "--- %s\n%s\n", call.IdempotencyKey, append(got, rest...))
	}
	left := regexp.MustCompile(`(X-Deadline-Ms: )3[56]\d{5}\r`)
	golden(t, "requests.txt", left.ReplaceAll(record.Bytes(), []byte("${1}LEFT\r")))
}

const farOff = 30 * time.Second

// whole tells whether a request's head and body have come.
func whole(got, body []byte) bool {
	_, rest, ok := bytes.Cut(got, []byte("\r\n\r\n"))
	return ok && len(rest) >= len(body)
}
