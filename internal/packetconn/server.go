package packetconn

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

// shutdownTimeout is how long Close waits for netpoll to shut down.
const shutdownTimeout = time.Second

// Server accepts connections and creates a Handler for each.
type Server struct {
	loop           netpoll.EventLoop
	listener       net.Listener
	limits         Limits
	maxConnections int // open at a time; 0: no limit
	newHandler     func(*Conn) Handler

	mutex sync.Mutex // guards conns
	conns map[*Conn]bool
}

// Listen starts a server at a TCP address. newHandler creates the handler of each connection. At most maxConnections
// are open at a time (0: no limit).
func Listen(addr string, limits Limits, maxConnections int, newHandler func(*Conn) Handler) (*Server, error) {
	listener, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener:       listener,
		limits:         limits,
		maxConnections: maxConnections,
		newHandler:     newHandler,
		conns:          map[*Conn]bool{},
	}
	s.loop, err = netpoll.NewEventLoop(handleRequest, netpoll.WithOnPrepare(s.accept))
	if err != nil {
		_ = listener.Close() // no connection was accepted on it
		return nil, err
	}
	go func() { _ = s.loop.Serve(listener) }() // returns when Close shuts the loop down
	return s, nil
}

// servedKey is the context key of a connection's servedConn.
type servedKey struct{}

// servedConn is a connection with its handler.
type servedConn struct {
	conn    *Conn
	handler Handler
}

// handleRequest reads the packets that have arrived on a connection. netpoll calls it with the context that accept
// returned.
func handleRequest(ctx context.Context, _ netpoll.Connection) error {
	if served, ok := ctx.Value(servedKey{}).(*servedConn); ok {
		served.conn.readLoop(served.handler)
	}
	return nil
}

// accept prepares a connection that netpoll has accepted, and returns its context. It closes connections over the
// limit.
func (s *Server) accept(raw netpoll.Connection) context.Context {
	c := newConn(raw, s.limits)
	if !s.add(c) {
		c.Close(fmt.Errorf("the limit of %d open connections is reached", s.maxConnections))
		return context.Background()
	}
	served := &servedConn{conn: c, handler: s.newHandler(c)}
	c.start(func(reason error) {
		s.remove(c)
		served.handler.Closed(reason)
	})
	return context.WithValue(context.Background(), servedKey{}, served)
}

// add adds an open connection. It returns false if maxConnections are open.
func (s *Server) add(c *Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.maxConnections > 0 && len(s.conns) >= s.maxConnections {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) remove(c *Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, c)
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Conns returns the open connections.
func (s *Server) Conns() (list []*Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Close stops listening and closes all connections. It waits up to shutdownTimeout for netpoll to shut down.
func (s *Server) Close() {
	for _, c := range s.Conns() {
		c.Close(net.ErrClosed)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.loop.Shutdown(ctx) // an error only means that the timeout has passed
	_ = s.listener.Close()   // fails if Shutdown has closed it already
}
