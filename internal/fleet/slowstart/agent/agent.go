// Package agent runs in each gateway and allocates, together with the agents of the other gateways, the units that may
// be sent to nodes in slow start. It requests allocations for the requests waiting in its own gateway, and it
// allocates the budgets that its gateway owns to all gateways. The program that assembles a gateway starts it, next to
// the client of the replicas.
//
// Package epoch decides which gateway owns which budget, package budget decides how a budget is allocated, and the
// scheduler decides which requests use an allocation; these have no I/O. This package has the clock, the sockets and
// the goroutines. All of its state is in memory; an owner that restarts begins with nothing available. The gateway's
// loop never waits for the agent.
package agent

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/slowstart/budget"
	"irispost/internal/fleet/slowstart/epoch"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// Loop is the part of the gateway's event loop that an agent uses. Both methods return false once the loop has ended.
type Loop interface {
	// SlowStartDemand returns the demand for each node in slow start, and the rate of warmed-up nodes.
	SlowStartDemand() (gateway.SlowStartDemand, bool)
	// AllocateSlowStart permits the given units, and no more, to be sent to a node until the given time; startedAt
	// identifies the start of the node. It returns the units that remained of the previous allocation. If until is 0,
	// the allocation ends and the scheduler's own rules apply.
	AllocateSlowStart(addr string, startedAt scheduler.Time, units float64, until scheduler.Time) (remaining float64, ok bool)
}

// Options are the parameters of Listen.
type Options struct {
	Gateway       string            // name of the gateway, for logs
	Holder        string            // identifies this start of the gateway; the same as toward the replicas
	ListenAddr    string            // address at which other gateways reach this one
	AddrOverrides map[string]string // address to connect to, by the address that another gateway announces
	Settings      budget.Settings
	Now           func() scheduler.Time // clock of the loop
	Logger        *slog.Logger
}

// Timeouts and limits of connections and messages.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	idleConnTimeout   = 30 * time.Second
	maxIdleConns      = 4 // per gateway
	maxMessageBytes   = 1 << 16
)

// Agent requests allocations for its gateway and allocates the budgets that the gateway owns. Listen creates one.
type Agent struct {
	opt      Options // mutex guards opt.Settings
	loop     Loop
	listener net.Listener
	server   *http.Server
	client   *http.Client
	// allocationTime is how long allocations are valid. It never changes after the start, so that holders and
	// allocators agree on it.
	allocationTime scheduler.Time
	requestSlots   chan struct{} // holds one element for each request in flight

	mutex        sync.Mutex // guards the fields below, and opt.Settings
	ownership    *epoch.Ownership
	peerAddrs    map[string]string // by member
	demands      map[string]scheduler.SlowStartDemand
	rate         float64                 // of a warmed-up node, in units per second; 0: unknown
	budgets      map[string]*nodeBudget  // by node, for owned nodes
	reservations map[string]*reservation // by node
	suspensions  []suspension            // passed to the loop at the next poll

	cancel     context.CancelFunc // nil before Start
	goroutines sync.WaitGroup
}

// Listen creates an agent and opens its listening socket. Requests are served after Start.
func Listen(opt Options) (*Agent, error) {
	listener, err := net.Listen("tcp", opt.ListenAddr)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		opt:            opt,
		listener:       listener,
		client:         newPeerClient(time.Duration(opt.Settings.AllocationTime)),
		allocationTime: opt.Settings.AllocationTime,
		requestSlots:   make(chan struct{}, maxConcurrentRequests),
		ownership:      epoch.NewOwnership(opt.Holder, 0),
		peerAddrs:      map[string]string{},
		demands:        map[string]scheduler.SlowStartDemand{},
		budgets:        map[string]*nodeBudget{},
		reservations:   map[string]*reservation{},
	}
	a.server = &http.Server{Handler: a.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	return a, nil
}

// newPeerClient returns an HTTP client for calls to other gateways, each limited by the timeout.
func newPeerClient(timeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: timeout / 2}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &http.Client{Timeout: timeout, Transport: transport}
}

// Addr returns the address of the listening socket.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Start begins to serve other gateways and to request allocations for the loop.
func (a *Agent) Start(loop Loop) {
	a.loop = loop
	var ctx context.Context
	ctx, a.cancel = context.WithCancel(context.Background())
	a.goroutines.Add(2)
	go func() {
		defer a.goroutines.Done()
		_ = a.server.Serve(a.listener) // returns after Close
	}()
	go func() {
		defer a.goroutines.Done()
		a.requestLoop(ctx)
	}()
}

// Close stops the agent and waits for its goroutines.
func (a *Agent) Close() {
	if a.cancel == nil {
		_ = a.listener.Close()
		return
	}
	a.cancel()
	_ = a.server.Close() // errors of its connections concern only their peers
	a.goroutines.Wait()
	a.client.CloseIdleConnections()
}

// HandleMembership processes the membership that came with a lease.
func (a *Agent) HandleMembership(update *lease.MembershipUpdate) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	before := a.ownership.Epoch()
	a.ownership.HandleMembership(update.RequestedAt, a.opt.Now(), update.Membership)
	if a.ownership.Epoch() != before {
		a.peerAddrs = update.PeerAddrs
	}
}

// UpdateSettings processes scheduler settings that have taken effect. Allocations stay valid. If the budget settings
// derived from them differ, all budgets restart with nothing available.
func (a *Agent) UpdateSettings(settings scheduler.Settings) {
	updated := SettingsFrom(settings, a.opt.Settings.MaxClockDrift)
	updated.AllocationTime = a.allocationTime
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if updated != a.opt.Settings {
		a.opt.Settings = updated
		clear(a.budgets)
	}
}
