package webnode_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"regexp"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/testkit/golden"
)

// TestGoldenRequests compares the bytes of requests to a node, with the order and names of their fields and the body,
// with the golden file. The value of X-Deadline-Ms is masked, since it differs from run to run.
func TestGoldenRequests(t *testing.T) {
	var transcript bytes.Buffer
	for _, call := range []node.Call{
		{Op: node.GetObject, Name: "/api?extent=7f3a9c21e0b4d655", IdempotencyKey: "r"},
		{Op: node.PutObject, Name: "/api?extent=7f3a9c21e0b4d655", IdempotencyKey: "w", Data: []byte("body")},
		{Op: node.PutObject, Name: "/api?extent=7f3a9c21e0b4d655", IdempotencyKey: "empty"},
		{Op: node.PutObject, Name: "/api", IdempotencyKey: "k", Data: []byte("data"), Headers: []string{
			"idempotency-key", "k=1; a", "x-class", "read", "x-plan", "gold", "x-io", "volume=1", "x-retry", ""}},
	} {
		n, c := newScriptedNode(t), newClient(t, 1, nil)
		call.Timeout = time.Hour
		c.Start(n.Addr().String(), &call, func(node.Reply) {})
		fmt.Fprintf(&transcript, "--- %s\n%s\n", call.IdempotencyKey, readAll(t, n.accept(), len(call.Data)))
	}
	deadline := regexp.MustCompile(`(X-Deadline-Ms: )3[56]\d{5}\r`)
	text := deadline.ReplaceAll(transcript.Bytes(), []byte("${1}LEFT\r"))
	golden.Check(t, "requests.txt", bytes.ReplaceAll(text, []byte("\r"), []byte(`\r`))) // the file has LF line ends
}

// readAll reads a request, closes the node's sending side, so that the client closes the connection, and returns all
// bytes that the client has sent.
func readAll(t *testing.T, c *scriptedConn, bodyBytes int) []byte {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	var sent []byte
	for !isComplete(sent, bodyBytes) {
		buf := make([]byte, 4096)
		n, err := c.Read(buf)
		sent = append(sent, buf[:n]...)
		if err != nil {
			t.Fatalf("reading the request: %v after %q", err, sent)
		}
	}
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return append(sent, rest...)
}

// isComplete reports whether a request's head and body have arrived.
func isComplete(request []byte, bodyBytes int) bool {
	_, body, ok := bytes.Cut(request, []byte("\r\n\r\n"))
	return ok && len(body) >= bodyBytes
}
