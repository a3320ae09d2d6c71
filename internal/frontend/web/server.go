// Package web is the front end that accepts HTTP/1.1 from clients: each request becomes a request of the gateway's
// loop, and its result becomes the one response. The scheduler decides what a request deserves; this package bounds
// what clients can make the gateway hold (connections, bodies, time). Package serve starts a Server and shuts it down.
//
// A Server owns the clients' connections, one goroutine each, and their states, all guarded by one mutex.
//
// It is built on net and not on netpoll, which reads on into memory while its handler waits: 60 MB sent behind a
// request that is in flight would be held completely. With net the bytes stay in the socket until they are wanted.
package web

import (
	"bufio"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/scheduler"
)

// Limits bound what clients can make the gateway hold.
type Limits struct {
	MaxConnections      int           // open at a time, without those that linger
	EvictionThreshold   int           // above this many, connections idle for EvictionIdleTimeout are closed
	MaxBodyBytes        int64         // of all request bodies and read-ahead together
	FirstRequestTimeout time.Duration // from connecting to the end of the first request
	RequestTimeout      time.Duration // from a later request's first byte to its last
	IdleTimeout         time.Duration // between requests
	EvictionIdleTimeout time.Duration // between requests, above EvictionThreshold connections
	WriteTimeout        time.Duration // a response that the client has not taken by then ends the connection
	Message             http1.Limits  // of one request
}

// maxLingering is how many connections may linger at a time while others are accepted; they come on top of
// MaxConnections.
func (l Limits) maxLingering() int { return max(l.MaxConnections/8, 1) }

// Options are what a server is started with.
type Options struct {
	GatewayName string
	Loop        *gateway.Loop
	Settings    scheduler.Settings // name the request classes and service levels that clients may ask for
	Limits      Limits
	Logger      *slog.Logger
}

// Server is a running front end.
type Server struct {
	opt        Options
	catalog    catalog
	listener   net.Listener
	acceptDone chan struct{} // closed when no connection is accepted any more
	drained    chan struct{} // closed when no connection is accepted any more and none is left

	mu             sync.Mutex // guards all below, and each connection's state
	phase          phase
	conns          map[*conn]bool
	closing        int             // connections in stateClosing
	lingering      []*conn         // connections in stateLingering, the oldest first
	openIDs        map[string]bool // ids of requests without a response
	bodyBytes      int64           // held for bodies and read-ahead
	connCount      int64           // connections since the start
	rejected       int             // connections rejected since the start
	evicted        int             // connections closed to make room since the start
	loggedShortage bool            // as logged last
}

// Start listens at an address and serves.
func Start(addr string, opt Options) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return serveListener(listener, opt), nil
}

func serveListener(listener net.Listener, opt Options) *Server {
	s := &Server{
		opt:        opt,
		catalog:    newCatalog(opt.Settings),
		listener:   listener,
		acceptDone: make(chan struct{}),
		drained:    make(chan struct{}),
		conns:      map[*conn]bool{},
		openIDs:    map[string]bool{},
	}
	go s.acceptLoop()
	go s.evictLoop()
	return s
}

// Addr is the address that clients connect to.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Counts returns the number of open connections and of requests without a response.
func (s *Server) Counts() (conns, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), len(s.openIDs)
}

// acceptRetryDelay is the pause after a failure to accept, which means that the process is out of file descriptors:
// connections that are open have to end first.
const acceptRetryDelay = 10 * time.Millisecond

func (s *Server) acceptLoop() {
	defer close(s.acceptDone)
	for failing := false; ; {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || isTimeout(err) { // Shutdown sets a deadline, after which nothing waits there
			return
		}
		if failing != (err != nil) {
			failing = err != nil
			s.opt.Logger.Warn("accept state changed", "gateway", s.opt.GatewayName, "failing", failing, "err", err)
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c, admitted := s.admit(raw); admitted {
			go c.serve()
		} else {
			go c.linger()
		}
	}
}

// admit takes a new connection in if there is room for it, or another that can be closed for it. If not, the connection
// is rejected with a response and is to linger.
func (s *Server) admit(raw net.Conn) (c *conn, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.connCount++
	admitted = s.phase < phaseNotAccepting &&
		(s.servingCount() < s.opt.Limits.MaxConnections || s.evict(now, s.opt.Limits.EvictionIdleTimeout/8))
	c = s.newConn(raw, now)
	_ = raw.SetReadDeadline(c.firstDeadline) // before anybody can set another
	s.conns[c] = true
	if !admitted {
		s.rejected++
		_ = raw.SetWriteDeadline(now.Add(lingerTimeout)) // nothing is in the socket yet, so the write does not wait
		_, _ = raw.Write(rejectionResponse(http.StatusServiceUnavailable, "too many connections"))
		c.transition(stateLingering)
	}
	return c, admitted
}

func (s *Server) newConn(raw net.Conn, now time.Time) *conn {
	message := s.opt.Limits.Message
	c := &conn{
		server:        s,
		raw:           raw,
		since:         now,
		session:       gateway.NewSession(s.opt.GatewayName + "/" + strconv.FormatInt(s.connCount, 10)),
		firstDeadline: now.Add(s.opt.Limits.FirstRequestTimeout),
	}
	c.ahead = readAhead{
		raw:     raw,
		limit:   message.MaxBodyBytes + int64(message.MaxHeadBytes),
		reserve: s.reserveBytes,
	}
	c.reader = bufio.NewReaderSize(&c.ahead, http1.MaxLineBytes)
	return c
}

// beginRequest registers a request, unless one of the same id is open or the memory for bodies is used up.
func (s *Server) beginRequest(id string, bodyBytes int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id] {
		return &http1.Error{Status: http.StatusConflict, Reason: "a request of this id is open"}
	}
	if s.bodyBytes+bodyBytes > s.opt.Limits.MaxBodyBytes {
		return &http1.Error{Status: http.StatusServiceUnavailable, Reason: "too many bytes are held"}
	}
	s.openIDs[id] = true
	s.bodyBytes += bodyBytes
	return nil
}

// endRequest undoes beginRequest.
func (s *Server) endRequest(id string, bodyBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openIDs, id)
	s.bodyBytes -= bodyBytes
}

// reserveBytes reserves memory for read-ahead, or gives it back if bytes is negative. It returns false if there is not
// so much left.
func (s *Server) reserveBytes(bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes > 0 && s.bodyBytes+bytes > s.opt.Limits.MaxBodyBytes {
		return false
	}
	s.bodyBytes += bytes
	return true
}
