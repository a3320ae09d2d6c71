// Package discovery brings the list of storage nodes from a service that answers when it is asked, over HTTP/1.1: the whole list,
// or a watch on its changes. It asks when the module wants the list watched; when to ask again after a failure is the module's.
// What it is told goes on at once. A call that ends without a word is told apart from one that fails: what it missed counts as told
// a while after the service fell silent.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/http1"
)

// Response is a list as the service writes it.
type Response struct {
	Revision int64    `json:"rev"`
	Full     bool     `json:"all"`
	Targets  []Target `json:"targets"`
}

// Target is one entry.
type Target struct {
	UID           string  `json:"uid"`
	Endpoint      string  `json:"endpoint"`
	Zone          string  `json:"az"`
	Model         string  `json:"model"`
	Shard         int     `json:"pod_group"`
	State         string  `json:"state"`
	Weight        float64 `json:"capacity_hint"`
	StartedMillis int64   `json:"boot_ms"`
}

// Table holds what was told last, by the service's ids, and turns what it says into lists by address. It is pure.
type Table struct {
	rev  int64
	last map[string]endpoint.Node
}

var standings = map[string]endpoint.Health{"ready": endpoint.Ready, "draining": endpoint.Draining, "gone": endpoint.Removed}

// Apply takes in what the service says. Where several ids have one address, the one that started last counts; a node that has
// another address now leaves none behind.
func (t *Table) Apply(f *Response, stale bool) (endpoint.List, error) {
	l := endpoint.List{Version: strconv.FormatInt(f.Revision, 10), Stale: stale, Partial: !f.Full}
	said := make([]endpoint.Node, 0, len(f.Targets))
	for _, e := range f.Targets {
		s, ok := standings[e.State]
		if !ok || e.UID == "" || s != endpoint.Removed && e.Endpoint == "" {
			return l, fmt.Errorf("an entry that can't be read: uid %q, endpoint %q, state %q", e.UID, e.Endpoint, e.State)
		}
		said = append(said, endpoint.Node{Addr: e.Endpoint, Name: e.UID, Zone: e.Zone, Shard: e.Shard, Weight: e.Weight,
			StartedAt: e.StartedMillis * int64(time.Millisecond), Health: s})
	}
	before := t.last
	if f.Full || before == nil {
		t.last = map[string]endpoint.Node{}
	}
	t.rev = f.Revision
	touched := []endpoint.Node{} // whose address is told of anew
	for _, n := range said {
		old, known := before[n.Name]
		if n.Health == endpoint.Removed {
			delete(t.last, n.Name)
		} else {
			t.last[n.Name] = n
		}
		if known && old.Addr != n.Addr {
			old.Health = endpoint.Removed
			touched = append(touched, old)
		}
		if n.Addr != "" {
			touched = append(touched, n)
		}
	}
	held := map[string]endpoint.Node{} // by address, the one that started last counts
	for _, n := range t.last {
		if o, ok := held[n.Addr]; !ok || n.StartedAt > o.StartedAt || n.StartedAt == o.StartedAt && n.Name > o.Name {
			held[n.Addr] = n
		}
	}
	told := map[string]bool{}
	for _, n := range touched {
		if told[n.Addr] {
			continue
		}
		told[n.Addr] = true
		o, ok := held[n.Addr]
		switch {
		case ok:
			l.Nodes = append(l.Nodes, o)
		case l.Partial:
			n.Health = endpoint.Removed
			l.Nodes = append(l.Nodes, n)
		}
	}
	return l, nil
}

// Options are what a client is started with.
type Options struct {
	Gateway  string
	Address  string
	Cached   *Response     // the list as this gateway last held it; nil: none
	LongPoll time.Duration // how long the service may hold a watch open
	Timeout  time.Duration // how much longer an answer may take
	Log      *slog.Logger
}

// Client watches one service.
type Client struct {
	opt   Options
	table Table
	tell  func(endpoint.List)
	wake  chan struct{}
	lock  sync.Mutex
	addr  string
	moved bool // the address has changed since the last call began
	quick bool // the last call ended without a word: the next is not to wait for changes, so that an answer shows at once; Run's
	conn  net.Conn
	in    *bufio.Reader
	undo  context.CancelFunc // ends the dial that is under way
	dial  func(ctx context.Context, network, addr string) (net.Conn, error)
}

// New makes a client, and returns the list as it was last held; nil: there is none.
func New(opt Options) (*Client, *endpoint.List, error) {
	c := &Client{opt: opt, addr: opt.Address, wake: make(chan struct{}, 1), undo: func() {}, dial: (&net.Dialer{}).DialContext}
	if opt.Cached == nil {
		return c, nil, nil
	}
	known := *opt.Cached
	known.Full = true
	l, err := c.table.Apply(&known, true)
	return c, &l, err
}

// Watch has the list watched from now on. It does not wait.
func (c *Client) Watch() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetAddress changes the service's address. What is under way at the old one is let go and asked anew at once: a failure there
// says nothing of the new one.
func (c *Client) SetAddress(addr string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if addr == c.addr {
		return
	}
	c.addr, c.moved = addr, true
	c.undo()
	if c.conn != nil {
		c.conn.Close()
	}
	c.Watch()
}

// Run watches until the context ends. It tells of lists, and of calls that failed; silent that one was taken and nothing came of it.
func (c *Client) Run(ctx context.Context, tell func(endpoint.List), failed func(silent bool)) {
	c.tell = tell
	stop := context.AfterFunc(ctx, func() {
		c.lock.Lock()
		defer c.lock.Unlock()
		if c.conn != nil {
			c.conn.Close()
		}
	})
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for ctx.Err() == nil {
			err := c.ask(ctx)
			c.quick = errors.Is(err, errSilent)
			if err == nil {
				continue
			}
			c.lock.Lock()
			c.drop()
			moved := c.moved
			c.lock.Unlock()
			if moved {
				continue
			}
			if ctx.Err() == nil {
				c.opt.Log.Info("the watch on the list ended", "gateway", c.opt.Gateway, "rev", c.table.rev, "why", err)
				failed(c.quick)
			}
			break
		}
	}
}

// drop closes the connection; the lock is held.
func (c *Client) drop() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.in = nil, nil
}

// bounds of an answer: lists of many thousands of nodes.
var bounds = http1.Limits{MaxHeadBytes: 8 << 10, MaxFields: 64, MaxBodyBytes: 4 << 20, MaxInformational: 8}

// errSilent tells that a call was taken and nothing came of it.
var errSilent = errors.New("the service is silent")

// ask makes one call.
func (c *Client) ask(ctx context.Context) error {
	c.lock.Lock()
	addr := c.addr
	if c.moved {
		c.moved = false
		c.drop()
		select { // this is the call that Move asked for; left there, it would follow the next failure undecided
		case <-c.wake:
		default:
		}
	}
	conn, in := c.conn, c.in
	dialling, undo := context.WithTimeout(ctx, c.opt.Timeout)
	c.undo = undo
	c.lock.Unlock()
	defer undo()
	if conn == nil {
		var err error
		if conn, err = c.dial(dialling, "tcp", addr); err != nil {
			return err
		}
		in = bufio.NewReaderSize(conn, http1.MaxLineBytes)
		c.lock.Lock()
		c.conn, c.in = conn, in
		moved := c.moved
		c.lock.Unlock()
		if moved {
			return net.ErrClosed
		}
	}
	hold, limit := c.opt.LongPoll, c.opt.LongPoll+c.opt.Timeout
	if c.quick { // the service may be busy with all who come back with us
		hold, limit = min(hold, time.Millisecond), 2*c.opt.Timeout
	}
	target := "/v1/servers"
	if c.table.last != nil {
		target += "?from=" + strconv.FormatInt(c.table.rev, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	}
	conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Write(http1.NewRequest("GET", target).Field("Host", addr).Body(nil, false)); err != nil {
		return err
	}
	a, err := http1.ReadResponse(in, bounds)
	if n := net.Error(nil); errors.As(err, &n) && n.Timeout() {
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	if err != nil {
		return err
	}
	if a.Status != 200 {
		return fmt.Errorf("status %d", a.Status)
	}
	var f Response
	if err := json.Unmarshal(a.Body, &f); err != nil {
		return err
	}
	l, err := c.table.Apply(&f, false)
	if err != nil {
		return err
	}
	c.tell(l)
	if a.Close {
		c.lock.Lock()
		c.drop()
		c.lock.Unlock()
	}
	return nil
}
