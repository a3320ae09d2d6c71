package web_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/frontend/web"
	"irispost/internal/gateway"
	"irispost/internal/testkit/golden"
	"irispost/scheduler"
)

// checkGolden compares messages with a golden file. Its lines end with LF; a CR is written as \r.
func checkGolden(t *testing.T, file string, messages []byte) {
	t.Helper()
	golden.Check(t, file, bytes.ReplaceAll(messages, []byte("\r"), []byte(`\r`)))
}

// modifiedRequest returns a request with one part replaced.
func modifiedRequest(old, replacement string) string {
	return strings.Replace(putRequest("r"), old, replacement, 1)
}

// chunkedRequest returns a request with the given text as its chunked body, framing included.
func chunkedRequest(body string) string {
	return strings.Replace(modifiedRequest("Content-Length: 4", "Transfer-Encoding: chunked"), "body", body, 1)
}

var longText = strings.Repeat("x", 5000)

// goldenRequests are requests to which the front end responds, by itself or with a node's result. Each is sent on its
// own connection.
var goldenRequests = []struct{ name, text string }{
	{"health", "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"},
	{"health by another method", "PUT /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"},
	{"served", modifiedRequest("Host", "Connection: close\r\nHost")},
	{"served after 100 Continue", modifiedRequest("Host", "Connection: close\r\nExpect: 100-continue\r\nHost")},
	{"method", modifiedRequest("PUT", "POST")},
	{"read with a body", modifiedRequest("PUT", "GET")},
	{"id", modifiedRequest("X-Request-Id: r", "X-Request-Id: r s")},
	{"class", modifiedRequest("X-Class: read", "X-Class: gold")},
	{"plan", modifiedRequest("X-Plan: gold", "X-Plan: read")},
	{"deadline", modifiedRequest("X-Deadline-Ms: 120000", "X-Deadline-Ms: 0")},
	{"no extent", modifiedRequest("?extent=7f3a9c21e0b4d655", "")},
	{"extent", modifiedRequest("extent=7f3a9c21e0b4d655", "extent=7f3a")},
	{"X-IO", modifiedRequest("units=2", "units=9")},
	{"request line", "GET  / HTTP/1.1\r\n\r\n"},
	{"target", "GET /\x80 HTTP/1.1\r\n\r\n"},
	{"version", "GET / HTTP/1.0\r\n\r\n"},
	{"long request line", "GET /" + longText + " HTTP/1.1\r\n\r\n"},
	{"long field", "GET / HTTP/1.1\r\nA: " + longText + "\r\n\r\n"},
	{"many fields", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 65) + "\r\n"},
	{"line without CR", "GET / HTTP/1.1\nHost: a\r\n\r\n"},
	{"control character", "GET / HTTP/1.1\r\nHost: \x01\r\n\r\n"},
	{"no field", "GET / HTTP/1.1\r\nHost\r\n\r\n"},
	{"host", "GET / HTTP/1.1\r\n\r\n"},
	{"both framings", modifiedRequest("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked")},
	{"coding", modifiedRequest("Content-Length: 4", "Transfer-Encoding: gzip")},
	{"length", modifiedRequest("Content-Length: 4", "Content-Length: +4")},
	{"long body", modifiedRequest("Content-Length: 4", "Content-Length: 60000000")},
	{"expectation", modifiedRequest("Host", "Expect: more\r\nHost")},
	{"chunk size", chunkedRequest("z\r\n")},
	{"chunk end", chunkedRequest("1\r\nabc")},
	{"long chunk", chunkedRequest("10001\r\n")},
}

// exchange sends a request on a new connection and reads everything up to the end of the connection.
func exchange(t *testing.T, b *testbed, request string) []byte {
	t.Helper()
	c := b.dial(t)
	c.send(request)
	answer, err := io.ReadAll(c.reader)
	if err != nil {
		t.Errorf("%q: reading the response: got error %v, want none", request, err)
	}
	return answer
}

// TestGoldenAnswers compares the responses that the front end generates with a golden file, byte by byte.
func TestGoldenAnswers(t *testing.T) {
	var record bytes.Buffer
	write := func(name string, answer []byte) {
		fmt.Fprintf(&record, "--- %s\n%s\n", name, answer)
	}
	b := start(t, generousLimits())
	for _, c := range goldenRequests {
		write(c.name, exchange(t, b, c.text))
	}

	b.nodes.setHolding(true)
	b.dial(t).send(putRequest("open"))
	<-b.nodes.heldIDs
	write("id of an open request", exchange(t, b, putRequest("open")))

	lowLimits := generousLimits()
	lowLimits.RequestTimeout, lowLimits.MaxBodyBytes = 30*time.Millisecond, 2
	write("bodies", exchange(t, start(t, lowLimits), putRequest("r")))
	lowLimits.FirstRequestTimeout = lowLimits.RequestTimeout
	write("late", exchange(t, start(t, lowLimits), "GET / HT"))
	lowLimits.MaxConnections = 0
	write("connections", exchange(t, start(t, lowLimits), ""))

	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go b.Shutdown(ctx, time.Hour, 0)
	for status := 200; status == 200; {
		c := b.dial(t)
		c.send("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		status, _ = c.read()
	}
	write("health while it ends", exchange(t, b, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"))
	checkGolden(t, "answers.txt", record.Bytes())
}

// TestGoldenResults compares the responses for the possible results of a request with a golden file, byte by byte.
func TestGoldenResults(t *testing.T) {
	var record bytes.Buffer
	for _, c := range []struct {
		name   string
		result gateway.Result
	}{
		{"dismissed, no wait", gateway.Result{State: scheduler.RequestRejected}},
		{"dismissed, wait of 1 ns", gateway.Result{State: scheduler.RequestRejected, RetryAfter: 1}},
		{"dismissed, wait of 1 ms", gateway.Result{State: scheduler.RequestRejected, RetryAfter: time.Millisecond}},
		{"dismissed, wait of 61.005 s",
			gateway.Result{State: scheduler.RequestRejected, RetryAfter: 61*time.Second + 5*time.Millisecond}},
		{"written off", gateway.Result{State: scheduler.RequestFailed}},
		{"completed", gateway.Result{State: scheduler.RequestSucceeded, Reply: node.Reply{Data: []byte("data")}}},
		{"completed without data", gateway.Result{State: scheduler.RequestSucceeded}},
	} {
		for _, last := range []bool{false, true} {
			fmt.Fprintf(&record, "--- %s, last %v\n%s\n", c.name, last, web.ResultResponse(c.result, last))
		}
	}
	checkGolden(t, "results.txt", record.Bytes())
}
