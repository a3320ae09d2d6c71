package web_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/frontend/web"
)

// floodBytes is the size of a response that fills the socket buffers of a connection whose client reads nothing.
const floodBytes = 64 << 20

// script runs a script of clients against a testbed. Its steps are separated by ";" and consist of words.
//
// Steps of a client, which connects at its first step:
//
//	NAME put ID         sends a request
//	NAME chunked ID     sends a request with a chunked body
//	NAME last ID        sends a request with Connection: close
//	NAME part BYTES ID  sends the first BYTES of a request; all but the last -BYTES if negative
//	NAME health         sends a health check
//	NAME noise BYTES    sends as many bytes that are not a request
//	NAME dial           only connects
//	NAME close, reset   closes or resets the connection
//	NAME STATUS         reads a response; 200 requires the client's own body, 0 a closed connection
//
// Steps of the nodes and the server:
//
//	hold, pass          holds all following attempts, or answers them at once
//	held                waits until an attempt is held
//	serve ID, flood ID  answers a held attempt, normally or with floodBytes
//	cancelled ID        waits until a held attempt is cancelled
//	idle N              waits until at least N connections are idle
//	conns N             waits until at most N connections are open; for 0, also no requests
type script struct {
	t       *testing.T
	testbed *testbed
	clients map[string]*client
	ids     map[string][]string // a client's unanswered requests; "" for a health check
}

func runScript(t *testing.T, b *testbed, text string) {
	t.Helper()
	s := &script{t: t, testbed: b, clients: map[string]*client{}, ids: map[string][]string{}}
	for step := range strings.SplitSeq(text, ";") {
		words := append(strings.Fields(step), "", "", "")
		if !s.runServerStep(words[0], words[1]) {
			s.runClientStep(words)
		}
	}
}

// runServerStep runs a step of the nodes or the server. It returns false if the step belongs to a client.
func (s *script) runServerStep(verb, argument string) bool {
	nodes := s.testbed.nodes
	switch verb {
	case "hold", "pass":
		nodes.setHolding(verb == "hold")
	case "held":
		<-nodes.heldIDs
	case "serve":
		nodes.attempt(argument).serve()
	case "flood":
		nodes.attempt(argument).onReply(node.Reply{Outcome: node.Executed, Data: make([]byte, floodBytes)})
	case "cancelled":
		<-nodes.attempt(argument).cancelled
	case "idle":
		for n := s.parseNumber(argument); web.IdleCount(s.testbed.Server) < n; {
			time.Sleep(time.Millisecond)
		}
	case "conns":
		s.awaitConns(s.parseNumber(argument))
	default:
		return false
	}
	return true
}

// awaitConns waits until at most n connections are open. If n is 0, it also waits until all requests have ended.
func (s *script) awaitConns(n int) {
	for {
		conns, requests := s.testbed.Counts()
		if conns <= n && (requests == 0 || n > 0) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *script) runClientStep(words []string) {
	s.t.Helper()
	name, verb, argument := words[0], words[1], words[2]
	c := s.clients[name]
	if c == nil {
		c = s.testbed.dial(s.t)
		s.clients[name] = c
	}
	switch verb {
	case "put":
		s.sendRequest(name, argument, putRequest(argument))
	case "chunked":
		head := strings.TrimSuffix(putRequest(argument), "body")
		head = strings.Replace(head, "Content-Length: 4", "Transfer-Encoding: chunked", 1)
		s.sendRequest(name, argument, head+"1\r\nb\r\n3\r\nody\r\n0\r\n\r\n")
	case "last":
		s.sendRequest(name, argument, strings.Replace(putRequest(argument), "Host", "Connection: close\r\nHost", 1))
	case "health":
		s.sendRequest(name, "", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
	case "part":
		text := putRequest(words[3])
		c.send(text[:(s.parseNumber(argument)+len(text))%len(text)])
	case "noise":
		c.send(strings.Repeat("n", s.parseNumber(argument)))
	case "dial":
	case "close":
		_ = c.Close()
	case "reset":
		if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
			s.t.Fatal(err)
		}
		_ = c.Close()
	default:
		s.readResponse(name, verb)
	}
}

func (s *script) sendRequest(name, id, text string) {
	s.ids[name] = append(s.ids[name], id)
	s.clients[name].send(text)
}

func (s *script) readResponse(name, wantStatus string) {
	s.t.Helper()
	status, body := s.clients[name].read()
	if fmt.Sprint(status) != wantStatus {
		s.t.Fatalf("%s: status %d, want %s (%q)", name, status, wantStatus, body)
	}
	if status != 200 {
		return
	}
	id := s.ids[name][0]
	s.ids[name] = s.ids[name][1:]
	if body != id+servedBody && (id != "" || body != "ok\n") {
		s.t.Fatalf("%s: response to %q has body %q, want the body for that request", name, id, body)
	}
}

func (s *script) parseNumber(text string) int {
	s.t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func TestClientScripts(t *testing.T) {
	shortTimeouts := func(l *web.Limits) {
		l.FirstRequestTimeout = 30 * time.Millisecond
		l.RequestTimeout = 30 * time.Millisecond
		l.IdleTimeout = 30 * time.Millisecond
	}
	for _, c := range []struct {
		name   string
		limits func(*web.Limits)
		script string
	}{
		{"requests in turn", nil, "a health; a 200; a put 1; a 200; a put p; a put q; a put r; a 200; a 200; a 200; " +
			"a chunked s; a 200; a last z; a 200; a 0"},
		{"open id is rejected", nil, "hold; a put x; held; b put x; b 409; serve x; a 200; pass; c put x; c 200"},
		{"client that closes", nil, "hold; a put x; held; a close; cancelled x; conns 0"},
		{"client that closes with read-ahead", nil, "hold; a put x; a noise 100; held; a close; cancelled x; conns 0"},
		{"client that closes with much read-ahead", nil,
			"hold; a put x; a noise 400000; held; a close; cancelled x; conns 0"},
		{"client that resets with read-ahead", nil, "hold; a put x; a put y; held; a reset; cancelled x; conns 0"},
		{"complete requests in the read-ahead", nil,
			"hold; a put x; held; pass; a chunked y; a put z; serve x; a 200; a 200; a 200"},
		{"no request in time", shortTimeouts, "a dial; a 0"},
		{"half a head", shortTimeouts, "a part 40 x; a 408"},
		{"half a body", shortTimeouts, "a part -2 x; a 408; b put y; b 200; b part 40 z; b 408"},
		{"idle for too long", shortTimeouts, "a put x; a 200; a 0"},
		{"no connection free", func(l *web.Limits) { l.MaxConnections, l.EvictionIdleTimeout = 3, 0 },
			"hold; a put a; held; b put b; held; s dial; c put c; s 0; held; d dial; d 503; " +
				"serve a; a 200; serve b; b 200; serve c; c 200"},
		{"crowd", func(l *web.Limits) { l.EvictionThreshold, l.EvictionIdleTimeout = 2, 200*time.Millisecond },
			"a put 1; a 200; idle 1; b put 2; b 200; idle 2; c put 3; c 200; hold; d put d; held; conns 2; " +
				"a 0; b 0; serve d; d 200"},
		{"no memory for bodies", func(l *web.Limits) { l.MaxBodyBytes = 6 },
			"hold; a put a; held; b put b; b 503; serve a; a 200"},
		{"response that is not taken", func(l *web.Limits) { l.WriteTimeout = 30 * time.Millisecond },
			"hold; a put a; held; flood a; conns 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := generousLimits()
			if c.limits != nil {
				c.limits(&limits)
			}
			runScript(t, start(t, limits), c.script)
		})
	}
}
