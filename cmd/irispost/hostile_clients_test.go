package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// hostileClient is one client that misbehaves on one connection after another until quit is closed. Its number tells
// it from others of the same kind.
type hostileClient func(g *limitedGateway, number int, quit <-chan struct{})

// attack runs clients of one kind at the same time for a while. stopAttack ends them and waits for them.
func attack(g *limitedGateway, clients int, kind hostileClient) (stopAttack func()) {
	quit := make(chan struct{})
	var done sync.WaitGroup
	for number := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			kind(g, number, quit)
		}()
	}
	return func() {
		close(quit)
		done.Wait()
	}
}

func isClosed(quit <-chan struct{}) bool {
	select {
	case <-quit:
		return true
	default:
		return false
	}
}

// reconnecting makes a hostile client of what it does on one connection.
func reconnecting(use func(c *clientConn, number int, quit <-chan struct{})) hostileClient {
	return func(g *limitedGateway, number int, quit <-chan struct{}) {
		for !isClosed(quit) {
			conn, err := g.connect()
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			unblock := make(chan struct{})
			go func() {
				select {
				case <-quit:
					_ = conn.SetDeadline(time.Unix(1, 0))
				case <-unblock:
				}
			}()
			use(conn, number, quit)
			close(unblock)
			_ = conn.Close()
		}
	}
}

const maxBody = 64 << 10

// writeInPieces writes text in pieces with a pause after each. It returns false when the connection has failed.
func writeInPieces(c *clientConn, text string, piece int, pause time.Duration, quit <-chan struct{}) bool {
	for len(text) > 0 && !isClosed(quit) {
		n := min(piece, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return false
		}
		text = text[n:]
		time.Sleep(pause)
	}
	return true
}

func largeRequest(number int) string {
	return requestText(requestFields{id: fmt.Sprintf("served-large%d.%d", number, time.Now().UnixNano()), class: "read",
		volume: uint64(100 + number), write: true, body: strings.Repeat("x", maxBody)})
}

// writesSlowly sends a large request in small pieces.
var writesSlowly = reconnecting(func(c *clientConn, number int, quit <-chan struct{}) {
	writeInPieces(c, largeRequest(number), 1500, 20*time.Millisecond, quit)
	_, _, _, _ = c.receive()
})

// stopsHalfway sends half of a large request and waits for the gateway's answer.
var stopsHalfway = reconnecting(func(c *clientConn, number int, _ <-chan struct{}) {
	text := largeRequest(number)
	if _, err := io.WriteString(c, text[:len(text)/2]); err == nil {
		_, _, _, _ = c.receive()
	}
})

// sendsShortFields sends a head that consists of very many short fields, and reads nothing until it has been sent.
var sendsShortFields = reconnecting(func(c *clientConn, _ int, quit <-chan struct{}) {
	head := "GET /api?extent=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\n" + strings.Repeat("a:\r\n", 1<<16)
	writeInPieces(c, head, 1400, time.Millisecond, quit)
	_, _, _, _ = c.receive()
})

// sendsSmallChunks sends a large body in chunks of one byte.
var sendsSmallChunks = reconnecting(func(c *clientConn, number int, quit <-chan struct{}) {
	head := strings.Replace(largeRequest(number), fmt.Sprintf("Content-Length: %d", maxBody), "Transfer-Encoding: chunked", 1)
	head, _, _ = strings.Cut(head, "\r\n\r\n")
	if _, err := io.WriteString(c, head+"\r\n\r\n"); err != nil {
		return
	}
	writeInPieces(c, strings.Repeat("1\r\nx\r\n", maxBody-1)+"0\r\n\r\n", 6000, 60*time.Millisecond, quit)
	_, _, _, _ = c.receive()
})

// sendsAhead sends large requests without waiting for answers, and reads nothing.
var sendsAhead = reconnecting(func(c *clientConn, number int, quit <-chan struct{}) {
	for !isClosed(quit) {
		if _, err := io.WriteString(c, largeRequest(number)); err != nil {
			return
		}
	}
})

// newNames returns a client that sends small reads one after another, each with new names: ID, volume and extent. It
// counts the answers in served.
func newNames(class, plan string, served *counter) hostileClient {
	names := 0
	return reconnecting(func(c *clientConn, number int, quit <-chan struct{}) {
		for !isClosed(quit) {
			names++
			status, _, last, err := c.exchange(requestText(requestFields{id: numberedID(fmt.Sprintf("n%d.", number), names),
				class: class, plan: plan, volume: uint64(1<<32 + names), extent: uint64(names), shard: names % limitedGatewayNodes}),
				soundDeadline+time.Second)
			if err != nil || last {
				return
			}
			served.add(status)
		}
	})
}

// pipelines sends small reads of new names without waiting for the answers, which it reads at the same time.
var pipelines = reconnecting(func(c *clientConn, number int, quit <-chan struct{}) {
	go func() { _, _ = io.Copy(io.Discard, c) }()
	for names := 0; !isClosed(quit); {
		var many bytes.Buffer
		for range 64 {
			names++
			many.WriteString(requestText(requestFields{id: fmt.Sprintf("served-p%d.%d.%d", number, time.Now().UnixNano(), names),
				class: "read", volume: uint64(1<<40 + names), extent: uint64(names), shard: names % limitedGatewayNodes}))
		}
		if _, err := c.Write(many.Bytes()); err != nil {
			return
		}
	}
})

// pipelinesHealthChecks sends health checks without waiting for the answers.
var pipelinesHealthChecks = reconnecting(func(c *clientConn, _ int, quit <-chan struct{}) {
	go func() { _, _ = io.Copy(io.Discard, c) }()
	many := strings.Repeat("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", 256)
	for !isClosed(quit) {
		if _, err := io.WriteString(c, many); err != nil {
			return
		}
	}
})

// sendsUnsoundRequests sends requests that cannot be read, each on a new connection as the gateway closes it.
var sendsUnsoundRequests = reconnecting(func(c *clientConn, number int, _ <-chan struct{}) {
	text := requestText(requestFields{id: fmt.Sprintf("served-u%d.%d", number, time.Now().UnixNano()), class: "nosuch"})
	_, _, _, _ = c.exchange(text, soundDeadline)
})

// sendsNoise sends bytes that are no request at full speed for as long as the connection takes them.
var sendsNoise = reconnecting(func(c *clientConn, _ int, quit <-chan struct{}) {
	noise := strings.Repeat("\x00\x01noise", 1<<12)
	for !isClosed(quit) {
		if _, err := io.WriteString(c, noise); err != nil {
			return
		}
	}
})

// floodsBehindRequest sends a request that its node holds, and bytes behind it at full speed.
var floodsBehindRequest = reconnecting(func(c *clientConn, number int, quit <-chan struct{}) {
	request := requestText(requestFields{id: fmt.Sprintf("held-f%d.%d", number, time.Now().UnixNano()), class: "read",
		volume: uint64(1000 + number)})
	flood := strings.Repeat("x", 1<<20)
	for text := request; !isClosed(quit); text = flood {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
})

// runOncePrefix begins the IDs of requests that must not run twice.
const runOncePrefix = "served-once"

func isRunOnceID(id string) bool { return strings.HasPrefix(id, runOncePrefix) }

// leavesAndReturns sends a request that must not run twice, closes the connection at once or after a short while, and
// sends it again under the same ID.
var leavesAndReturns = reconnecting(func(c *clientConn, number int, quit <-chan struct{}) {
	id := fmt.Sprintf("%s%d.%d", runOncePrefix, number, time.Now().UnixNano())
	text := requestText(requestFields{id: id, class: "unsafe", volume: uint64(number), write: true, body: "x"})
	if _, err := io.WriteString(c, text); err != nil {
		return
	}
	time.Sleep(time.Duration(number) * 100 * time.Microsecond)
	_ = c.Close()
	again, err := net.DialTimeout("tcp", c.RemoteAddr().String(), connectTimeout)
	if err != nil {
		return
	}
	defer func() { _ = again.Close() }()
	if !isClosed(quit) {
		_, _, _, _ = (&clientConn{again, bufio.NewReader(again)}).exchange(text, soundDeadline)
	}
})

// counter counts answers by status.
type counter struct {
	mu    sync.Mutex
	total int
	ok    int
}

func (c *counter) add(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if status == http.StatusOK {
		c.ok++
	}
}

func (c *counter) get() (total, ok int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total, c.ok
}
