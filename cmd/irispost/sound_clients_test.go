package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// soundClients are well-behaved clients of a gateway: each keeps a connection, sends a read at a steady rate and
// checks the answer.
type soundClients struct {
	gateway *limitedGateway
	quit    chan struct{}
	done    sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	times     []time.Duration
	statuses  map[int]int // statusNone: no answer
	firstLost string
}

const (
	soundClientCount    = 16
	soundClientInterval = 50 * time.Millisecond
	soundDeadline       = 2500 * time.Millisecond
)

// Statuses of requests that were not answered, or answered with the data of another request.
const (
	statusNone      = 0
	statusWrongBody = -1
)

func startSoundClients(g *limitedGateway) *soundClients {
	s := &soundClients{gateway: g, quit: make(chan struct{}), statuses: map[int]int{}}
	for client := range soundClientCount {
		s.done.Add(1)
		go s.run(client)
	}
	return s
}

func (s *soundClients) run(client int) {
	defer s.done.Done()
	var conn *clientConn
	for count := 0; ; count++ {
		select {
		case <-s.quit:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(soundClientInterval):
		}
		id := fmt.Sprintf("served-sound%d.%d", client, count)
		request := requestText(requestFields{id: id, class: "read", volume: uint64(client + 1), extent: uint64(count % 97),
			shard: client % limitedGatewayNodes})
		start := time.Now()
		status, body, kept, err := s.exchange(conn, request)
		conn = kept
		s.record(status, time.Since(start), id, body, err)
	}
}

// exchange sends a request on the connection, or on a new one if it is nil or the gateway closes it between requests.
func (s *soundClients) exchange(conn *clientConn, request string) (status int, body string, kept *clientConn, err error) {
	for range 2 {
		fresh := conn == nil
		if fresh {
			if conn, err = s.gateway.connect(); err != nil {
				return 0, "", nil, err
			}
		}
		var last bool
		status, body, last, err = conn.exchange(request, soundDeadline+time.Second)
		if err == nil && !last {
			return status, body, conn, nil
		}
		_ = conn.Close()
		conn = nil
		if err == nil || fresh {
			return status, body, nil, err
		}
	}
	return status, body, nil, err
}

func (s *soundClients) record(status int, took time.Duration, id, body string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status == http.StatusOK && body != id {
		status = statusWrongBody
	}
	s.statuses[status]++
	s.times = append(s.times, took)
	if status != http.StatusOK && s.firstLost == "" {
		s.firstLost = fmt.Sprintf("%s: status %d after %v: %q %v", id, status, took, body, err)
	}
}

// soundResult summarizes the answers to well-behaved clients.
type soundResult struct {
	answers, served   int
	median, p99, most time.Duration
	statuses          map[int]int
	firstLost         string
}

func (r soundResult) String() string {
	return fmt.Sprintf("%d requests, %d served, median %.1f ms, p99 %.1f ms, most %.1f ms, statuses %v %s", r.answers,
		r.served, millis(r.median), millis(r.p99), millis(r.most), r.statuses, r.firstLost)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// stop ends the clients and returns what they were answered.
func (s *soundClients) stop() soundResult {
	close(s.quit)
	s.done.Wait()
	slices.Sort(s.times)
	result := soundResult{answers: len(s.times), served: s.statuses[http.StatusOK], statuses: s.statuses,
		firstLost: s.firstLost}
	if n := len(s.times); n > 0 {
		result.median, result.p99, result.most = s.times[n/2], s.times[n*99/100], s.times[n-1]
	}
	return result
}

// requestFields are the parts of a request that tests vary.
type requestFields struct {
	id, class, plan string
	volume, extent  uint64
	shard           int
	write           bool
	body            string
}

// requestText encodes a request in the form of the platform's protocol.
func requestText(f requestFields) string {
	method := http.MethodGet
	if f.write {
		method = http.MethodPut
	}
	if f.plan == "" {
		f.plan = "basic"
	}
	return fmt.Sprintf("%s /api?extent=%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\n"+
		"X-Plan: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\nX-IO: volume=%016x,units=1,shard=%d,hosts=1\r\n\r\n%s",
		method, f.extent, f.id, f.class, f.plan, soundDeadline.Milliseconds(), len(f.body), f.volume, f.shard, f.body)
}

// clientConn is a client's connection to a gateway.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

const connectTimeout = 2 * time.Second

func (w *webProcess) connect() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", w.addr, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// exchange sends a request and reads the answer. last means that the gateway closes the connection.
func (c *clientConn) exchange(request string, timeout time.Duration) (status int, body string, last bool, err error) {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, request); err != nil {
		return 0, "", true, err
	}
	return c.receive()
}

// receive reads an answer.
func (c *clientConn) receive() (status int, body string, last bool, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", true, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", true, err
	}
	return response.StatusCode, string(content), response.Close, nil
}

// numberedID returns an ID that makes a storage node serve the request.
func numberedID(prefix string, number int) string { return "served-" + prefix + strconv.Itoa(number) }
