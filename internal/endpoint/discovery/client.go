// Package discovery gets the list of storage nodes from a discovery service over HTTP/1.1: first the complete list,
// then its changes by long polling.
//
// The scheduler decides when to watch and when to retry after a failure; the Client makes the requests and passes
// lists on immediately. The Client distinguishes a poll that got no response from one that failed otherwise, because
// changes that such a poll missed count as delivered some time after the service stopped responding. A Client owns its
// connection and its Table; it stores nothing on disk.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/http1"
)

// errNoResponse is returned if the service accepted a request and did not respond in time.
var errNoResponse = errors.New("no response from the discovery service")

// Options configure a Client.
type Options struct {
	Gateway  string
	Address  string        // host:port of the service
	Cached   *Response     // the last list of this gateway; nil: none
	LongPoll time.Duration // how long the service may wait for a change before it responds
	Timeout  time.Duration // for connecting; also how much longer than LongPoll a response may take
	Log      *slog.Logger
}

// Client watches the list of one service. Run must be called only once; the other methods are safe for concurrent use.
type Client struct {
	opt  Options
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	wake chan struct{} // holds a pending Watch

	// Owned by Run.
	table    Table
	onUpdate func(list endpoint.List)
	// The last poll got no response. The next one asks for an immediate response, which shows at once that the service
	// is back.
	noResponse bool

	lock       sync.Mutex // guards the fields below
	addr       string
	moved      bool // addr has changed since the last poll began
	conn       net.Conn
	in         *bufio.Reader
	cancelDial context.CancelFunc // of the last poll
}

// New returns a Client, and the cached list marked stale, or nil if there is none.
func New(opt Options) (*Client, *endpoint.List, error) {
	c := &Client{
		opt:        opt,
		dial:       (&net.Dialer{}).DialContext,
		wake:       make(chan struct{}, 1),
		addr:       opt.Address,
		cancelDial: func() {},
	}
	if opt.Cached == nil {
		return c, nil, nil
	}
	cached := *opt.Cached
	cached.Full = true
	list, err := c.table.Apply(&cached, true)
	return c, &list, err
}

// Watch makes Run watch the list until a poll fails. It does not block.
func (c *Client) Watch() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetAddress changes the service's address. A poll in progress at the old address is aborted and repeated at the new
// one at once. Its failure is not reported, as it says nothing about the new address.
func (c *Client) SetAddress(addr string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if addr == c.addr {
		return
	}
	c.addr, c.moved = addr, true
	c.cancelDial()
	c.closeConn()
	c.Watch()
}

// Run watches until the context ends. It passes lists to onUpdate, and calls onFailure when a poll fails; noResponse
// is true if the service accepted the request and did not respond in time.
func (c *Client) Run(ctx context.Context, onUpdate func(list endpoint.List), onFailure func(noResponse bool)) {
	c.onUpdate = onUpdate
	stop := context.AfterFunc(ctx, func() {
		c.lock.Lock()
		defer c.lock.Unlock()
		c.closeConn()
	})
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		if err := c.pollUntilFailure(ctx); err != nil {
			c.opt.Log.Info("endpoint list watch ended", "gateway", c.opt.Gateway, "revision", c.table.revision, "err", err)
			onFailure(c.noResponse)
		}
	}
}

// pollUntilFailure polls until a poll fails, and returns its error, or nil if the context ended. Failures of polls at
// a former address are ignored.
func (c *Client) pollUntilFailure(ctx context.Context) error {
	for ctx.Err() == nil {
		err := c.poll(ctx)
		c.noResponse = errors.Is(err, errNoResponse)
		if err == nil {
			continue
		}
		if moved := c.disconnect(); moved {
			continue
		}
		if ctx.Err() == nil {
			return err
		}
	}
	return nil
}

// poll makes one request and passes the resulting list to onUpdate.
func (c *Client) poll(ctx context.Context) error {
	dialCtx, cancelDial := context.WithTimeout(ctx, c.opt.Timeout)
	defer cancelDial()
	addr, conn, in := c.beginPoll(cancelDial)
	if conn == nil {
		var err error
		if conn, in, err = c.connect(dialCtx, addr); err != nil {
			return err
		}
	}
	answer, err := c.exchange(conn, in, addr)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return StatusError(answer.Status)
	}
	var response Response
	if err := json.Unmarshal(answer.Body, &response); err != nil {
		return fmt.Errorf("decode response of the discovery service: %w", err)
	}
	list, err := c.table.Apply(&response, false)
	if err != nil {
		return err
	}
	c.onUpdate(list)
	if answer.Close {
		c.disconnect()
	}
	return nil
}

// beginPoll prepares a poll. It returns the current address, and the open connection if there is one.
func (c *Client) beginPoll(cancelDial context.CancelFunc) (addr string, conn net.Conn, in *bufio.Reader) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.moved {
		c.moved = false
		c.dropConn()
		// This poll serves the Watch of SetAddress. Left pending, that would cause a retry after the next failure
		// without a decision of the scheduler.
		select {
		case <-c.wake:
		default:
		}
	}
	c.cancelDial = cancelDial
	return c.addr, c.conn, c.in
}

// connect opens a connection. It fails if the address has changed meanwhile.
func (c *Client) connect(ctx context.Context, addr string) (net.Conn, *bufio.Reader, error) {
	conn, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	in := bufio.NewReaderSize(conn, http1.MaxLineBytes)
	c.lock.Lock()
	defer c.lock.Unlock()
	c.conn, c.in = conn, in
	if c.moved {
		return nil, nil, net.ErrClosed
	}
	return conn, in, nil
}

// exchange sends a request and reads the response.
func (c *Client) exchange(conn net.Conn, in *bufio.Reader, addr string) (*http1.Response, error) {
	longPoll, limit := c.opt.LongPoll, c.opt.LongPoll+c.opt.Timeout
	if c.noResponse { // after an outage the service may be busy with all gateways that reconnect
		longPoll, limit = min(longPoll, time.Millisecond), 2*c.opt.Timeout
	}
	// SetDeadline fails only on a closed connection, and then the write fails as well.
	_ = conn.SetDeadline(time.Now().Add(limit))
	path := requestPath(c.table.nodes != nil, c.table.revision, longPoll)
	if _, err := conn.Write(http1.NewRequest("GET", path).Field("Host", addr).Body(nil, false)); err != nil {
		return nil, err
	}
	answer, err := http1.ReadResponse(in, responseLimits)
	if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
		return nil, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	return answer, err
}

// disconnect drops the connection, and reports whether the address has changed since the poll began.
func (c *Client) disconnect() (moved bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.dropConn()
	return c.moved
}

// dropConn closes and clears the connection. The caller holds the lock.
func (c *Client) dropConn() {
	c.closeConn()
	c.conn, c.in = nil, nil
}

// closeConn closes the connection, which aborts a poll in progress. The caller holds the lock.
func (c *Client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close() // a poll in progress returns its own error
	}
}
