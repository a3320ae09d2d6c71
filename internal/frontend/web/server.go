// Package web is the front end that accepts HTTP/1.1 requests from clients. It submits each request to the gateway's
// loop and sends the result as the only response. The scheduler decides which requests are served and when; this
// package limits the resources that clients can use in the gateway: connections, memory for bodies, and time. Package
// serve starts a Server and shuts it down.
//
// A Server owns the client connections, each served by one goroutine. One mutex guards the states of all connections.
//
// The package uses net and not netpoll, which keeps reading into memory while its handler waits: 60 MB sent after a
// request in flight would be buffered completely. With net, the bytes stay in the socket until the package reads them.
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

// Limits bound the resources that clients can use in the gateway.
type Limits struct {
	MaxConnections      int           // open at the same time, not counting closing and lingering ones
	EvictionThreshold   int           // above this many, connections idle for EvictionIdleTimeout are closed
	MaxBodyBytes        int64         // total for request bodies and read-ahead of all connections
	FirstRequestTimeout time.Duration // from connecting to the last byte of the first request
	RequestTimeout      time.Duration // from a later request's first byte to its last
	IdleTimeout         time.Duration // between requests
	EvictionIdleTimeout time.Duration // between requests, above EvictionThreshold connections
	WriteTimeout        time.Duration // for sending a response; when it expires, the connection is closed
	Message             http1.Limits  // of one request
}

// maxLingering returns how many connections may linger at the same time while others are accepted, in addition to
// MaxConnections.
func (l Limits) maxLingering() int { return max(l.MaxConnections/8, 1) }

// Options configure a server.
type Options struct {
	GatewayName string
	Loop        *gateway.Loop
	Settings    scheduler.Settings // define the request classes and service levels that requests may name
	Limits      Limits
	Logger      *slog.Logger
}

// Server is a running front end.
type Server struct {
	opt        Options
	catalog    catalog
	listener   net.Listener
	acceptDone chan struct{} // closed when no connection is accepted any more
	drained    chan struct{} // closed when no connection is accepted any more and none is open

	mu             sync.Mutex // guards all fields below, and each connection's state
	phase          phase
	conns          map[*conn]bool
	closing        int                    // connections in stateClosing
	lingering      []*conn                // connections in stateLingering, oldest first
	openIDs        map[string]bool        // IDs of requests that have not been answered yet
	repeats        *scheduler.RepeatGuard // keeps IDs that may have run from running again
	bodyBytes      int64                  // reserved for bodies and read-ahead
	connCount      int64                  // connections accepted since the start, rejected ones included
	rejected       int                    // connections rejected since the start
	evicted        int                    // connections evicted since the start
	loggedShortage bool                   // whether the last logged change was the start of a shortage
}

// Start starts a server that listens at the address.
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
		repeats:    scheduler.NewRepeatGuard(opt.Settings),
	}
	go s.acceptLoop()
	go s.evictLoop()
	return s
}

// Addr returns the address that clients connect to.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Counts returns the number of open connections and the number of requests that have not been answered yet.
func (s *Server) Counts() (conns, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), len(s.openIDs)
}

// acceptRetryDelay is the delay after a failure to accept a connection. Such a failure means that the process has run
// out of file descriptors, so open connections have to close first.
const acceptRetryDelay = 10 * time.Millisecond

func (s *Server) acceptLoop() {
	defer close(s.acceptDone)
	for failing := false; ; {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || isTimeout(err) { // no connection is pending at Shutdown's deadline
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

// admit admits a new connection if the limit allows it or another connection can be evicted for it. Otherwise it
// rejects the connection with a response, and the caller has to linger on it.
func (s *Server) admit(raw net.Conn) (c *conn, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.connCount++
	admitted = s.phase < phaseNotAccepting &&
		(s.servingCount() < s.opt.Limits.MaxConnections || s.evict(now, s.opt.Limits.EvictionIdleTimeout/8))
	c = s.newConn(raw, now)
	_ = raw.SetReadDeadline(c.firstDeadline) // before another goroutine can set another one
	s.conns[c] = true
	if !admitted {
		s.rejected++
		_ = raw.SetWriteDeadline(now.Add(lingerTimeout)) // the socket's send buffer is empty, so the write does not block
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

// beginRequest registers a request. It rejects the request if one with the same ID is open or must not run again, or if
// there is not enough memory for its body.
func (s *Server) beginRequest(id string, bodyBytes int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openIDs[id] {
		return &http1.Error{Status: http.StatusConflict, Reason: "a request of this id is open"}
	}
	if !s.repeats.MayRun(id) {
		return &http1.Error{Status: http.StatusConflict, Reason: "a request of this id may have run"}
	}
	if s.bodyBytes+bodyBytes > s.opt.Limits.MaxBodyBytes {
		return &http1.Error{Status: http.StatusServiceUnavailable, Reason: "too many bytes are held"}
	}
	s.openIDs[id] = true
	s.bodyBytes += bodyBytes
	return nil
}

// recordRun records that a request may have run. It is called while the request is registered.
func (s *Server) recordRun(id, class string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeats.RecordRun(id, class)
}

// endRequest undoes beginRequest.
func (s *Server) endRequest(id string, bodyBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openIDs, id)
	s.bodyBytes -= bodyBytes
}

// reserveBytes reserves memory for read-ahead, or releases it if bytes is negative. It returns false if there is not
// enough memory left.
func (s *Server) reserveBytes(bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes > 0 && s.bodyBytes+bytes > s.opt.Limits.MaxBodyBytes {
		return false
	}
	s.bodyBytes += bytes
	return true
}
