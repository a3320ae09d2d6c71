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

// checkGolden compares messages with a file of testdata, whose lines end with LF; a CR shows as \r.
func checkGolden(t *testing.T, file string, messages []byte) {
	t.Helper()
	golden.Check(t, file, bytes.ReplaceAll(messages, []byte("\r"), []byte(`\r`)))
}

// changed is a request with one part replaced.
func changed(old, now string) string { return strings.Replace(putRequest("r"), old, now, 1) }

// chunked is a request whose chunked body is this text.
func chunked(body string) string {
	return strings.Replace(changed("Content-Length: 4", "Transfer-Encoding: chunked"), "body", body, 1)
}

var long = strings.Repeat("x", 5000)

// goldenRequests are requests that a front answers by itself or on its node's behalf, each on a connection of its own.
var goldenRequests = []struct{ name, text string }{
	{"health", "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"},
	{"health by another method", "PUT /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"},
	{"served", changed("Host", "Connection: close\r\nHost")},
	{"served after 100 Continue", changed("Host", "Connection: close\r\nExpect: 100-continue\r\nHost")},
	{"method", changed("PUT", "POST")},
	{"read with a body", changed("PUT", "GET")},
	{"id", changed("X-Request-Id: r", "X-Request-Id: r s")},
	{"class", changed("X-Class: read", "X-Class: gold")},
	{"plan", changed("X-Plan: gold", "X-Plan: read")},
	{"deadline", changed("X-Deadline-Ms: 120000", "X-Deadline-Ms: 0")},
	{"no extent", changed("?extent=7f3a9c21e0b4d655", "")},
	{"extent", changed("extent=7f3a9c21e0b4d655", "extent=7f3a")},
	{"X-IO", changed("units=2", "units=9")},
	{"request line", "GET  / HTTP/1.1\r\n\r\n"},
	{"target", "GET /\x80 HTTP/1.1\r\n\r\n"},
	{"version", "GET / HTTP/1.0\r\n\r\n"},
	{"long request line", "GET /" + long + " HTTP/1.1\r\n\r\n"},
	{"long field", "GET / HTTP/1.1\r\nA: " + long + "\r\n\r\n"},
	{"many fields", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 65) + "\r\n"},
	{"line without CR", "GET / HTTP/1.1\nHost: a\r\n\r\n"},
	{"control character", "GET / HTTP/1.1\r\nHost: \x01\r\n\r\n"},
	{"no field", "GET / HTTP/1.1\r\nHost\r\n\r\n"},
	{"host", "GET / HTTP/1.1\r\n\r\n"},
	{"both framings", changed("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked")},
	{"coding", changed("Content-Length: 4", "Transfer-Encoding: gzip")},
	{"length", changed("Content-Length: 4", "Content-Length: +4")},
	{"long body", changed("Content-Length: 4", "Content-Length: 60000000")},
	{"expectation", changed("Host", "Expect: more\r\nHost")},
	{"chunk size", chunked("z\r\n")},
	{"chunk end", chunked("1\r\nabc")},
	{"long chunk", chunked("10001\r\n")},
}

// exchange sends a request on a connection of its own and reads all that comes back.
func exchange(t *testing.T, w *testbed, request string) []byte {
	t.Helper()
	c := w.dial(t)
	c.send(request)
	answer, err := io.ReadAll(c.in)
	if err != nil {
		t.Errorf("%q: %v", request, err)
	}
	return answer
}

// TestGoldenAnswers pins, as bytes, each answer that the front makes by itself.
func TestGoldenAnswers(t *testing.T) {
	var record bytes.Buffer
	write := func(name string, answer []byte) {
		fmt.Fprintf(&record, "--- %s\n%s\n", name, answer)
	}
	w := start(t, generousLimits())
	for _, c := range goldenRequests {
		write(c.name, exchange(t, w, c.text))
	}

	w.nodes.setHolding(true)
	w.dial(t).send(putRequest("open"))
	<-w.nodes.heldIDs
	write("id of an open request", exchange(t, w, putRequest("open")))

	few := generousLimits()
	few.RequestTimeout, few.MaxBodyBytes = 30*time.Millisecond, 2
	write("bodies", exchange(t, start(t, few), putRequest("r")))
	few.FirstRequestTimeout = few.RequestTimeout
	write("late", exchange(t, start(t, few), "GET / HT"))
	few.MaxConnections = 0
	write("connections", exchange(t, start(t, few), ""))

	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go w.Shutdown(ctx, time.Hour, 0)
	for status := 200; status == 200; {
		c := w.dial(t)
		c.send("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		status, _ = c.read()
	}
	write("health while it ends", exchange(t, w, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"))
	checkGolden(t, "answers.txt", record.Bytes())
}

// TestGoldenResults pins, as bytes, the answer for each result of a job.
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
