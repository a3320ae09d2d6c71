// Package agent is a gateway's part in allocating what nodes in slow start may be sent. It has two duties: it
// requests allocations for the requests that wait in its own gateway, and allocates the budgets of the nodes
// that it owns to all gateways. The program that assembles a gateway starts it, next to the client of the
// replicas.
//
// Who owns which budget is decided by the pure package epoch, who gets what by the pure package budget, and what
// an allocation is used for by the scheduler. This package has the clock, the sockets and the goroutines. All of
// its state is in memory; an owner that restarts begins with nothing available. The gateway's loop never waits
// for it.
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

// Loop is what an agent needs of its gateway's loop. Both methods are false when the loop has ended.
type Loop interface {
	// SlowStartDemand is the units that wait for nodes in slow start, and the rate of nodes that are not.
	SlowStartDemand() (gateway.SlowStartDemand, bool)
	// AllocateSlowStart lets units, and no more, be sent to a node until a time; startedAt says to which start of it. It
	// returns what remained of the allocation before. A time of 0 ends the allocation: the scheduler's own rules
	// apply.
	AllocateSlowStart(addr string, startedAt scheduler.Time, units float64, until scheduler.Time) (remaining float64, ok bool)
}

// Options are the settings that an agent starts with.
type Options struct {
	Gateway       string            // the gateway's name, for logs
	Holder        string            // names this start of the gateway, as to the replicas
	ListenAddr    string            // where other gateways reach it
	AddrOverrides map[string]string // where this gateway reaches another, by the address that the other states
	Settings      budget.Settings
	Now           func() scheduler.Time // the loop's clock
	Logger        *slog.Logger
}

// Limits of the sockets.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	idleConnTimeout   = 30 * time.Second
	maxIdleConns      = 4 // to each gateway
	maxMessageBytes   = 1 << 16
)

// Agent requests allocations for its gateway, and allocates the budgets that it owns. Listen makes one.
type Agent struct {
	opt      Options // Settings are guarded by mutex
	loop     Loop
	listener net.Listener
	server   *http.Server
	client   *http.Client
	// allocationTime is how long allocations are valid. It stays as it was at the start, so that holders and
	// allocators mean the same.
	allocationTime scheduler.Time
	requestSlots   chan struct{} // has an element for each request that is in flight

	mutex        sync.Mutex // guards what follows, and opt.Settings
	ownership    *epoch.Ownership
	peerAddrs    map[string]string // by member
	demands      map[string]scheduler.SlowStartDemand
	rate         float64                 // units a second of a node that is not in slow start; 0: not known
	budgets      map[string]*nodeBudget  // by node, of the nodes that are owned
	reservations map[string]*reservation // by node
	suspensions  []suspension            // for the loop, at the next poll

	cancel     context.CancelFunc // nil: not started
	goroutines sync.WaitGroup
}

// Listen opens an agent's socket. It serves once it is started.
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

// newPeerClient makes the client of other gateways; a call takes no longer than the timeout.
func newPeerClient(timeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: timeout / 2}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &http.Client{Timeout: timeout, Transport: transport}
}

// Addr is where other gateways reach it.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Start begins to serve, and to request allocations for a loop.
func (a *Agent) Start(loop Loop) {
	a.loop = loop
	var ctx context.Context
	ctx, a.cancel = context.WithCancel(context.Background())
	a.goroutines.Add(2)
	go func() {
		defer a.goroutines.Done()
		_ = a.server.Serve(a.listener) // ends with Close
	}()
	go func() {
		defer a.goroutines.Done()
		a.requestLoop(ctx)
	}()
}

// Close ends the agent, and returns once its goroutines have ended.
func (a *Agent) Close() {
	if a.cancel == nil {
		_ = a.listener.Close()
		return
	}
	a.cancel()
	_ = a.server.Close() // its connections' errors are their peers' to see
	a.goroutines.Wait()
	a.client.CloseIdleConnections()
}

// HandleMembership takes the members that came with a lease.
func (a *Agent) HandleMembership(update *lease.MembershipUpdate) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	before := a.ownership.Epoch()
	a.ownership.HandleMembership(update.RequestedAt, a.opt.Now(), update.Membership)
	if a.ownership.Epoch() != before {
		a.peerAddrs = update.PeerAddrs
	}
}

// UpdateSettings takes the scheduler's settings that are in effect from now on. Allocations stay valid; if the
// budget's settings differ, the nodes' budgets begin anew with nothing available.
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
