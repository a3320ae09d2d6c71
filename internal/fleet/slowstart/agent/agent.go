// Package agent is a gateway's part in dealing out what cold nodes bear: one duty borrows for its own work, another deals out the budgets
// that are its own. What is lent to whom is decided by the pure packages budget and tenure, and what is done with it by the decision
// module; this package brings clock, sockets and goroutines. The gateway's loop never waits for it.
package agent

import (
	"cmp"
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

// Loop is what an agent needs of its gateway's loop.
type Loop interface {
	SlowStartDemand() (gateway.SlowStartDemand, bool)
	Allocate(addr string, born scheduler.Time, units float64, till scheduler.Time) (left float64, ok bool)
}

// Options are what an agent is started with.
type Options struct {
	Gateway       string
	Holder        string            // its name as the keepers have it: with its start
	ListenAddr    string            // where other gateways reach it
	AddrOverrides map[string]string // where this gateway reaches another, by the address that it gives; what is not there is reached as given
	Settings      budget.Settings
	Now           func() scheduler.Time // the loop's clock
	Logger        *slog.Logger
}

// Paces, as parts of a loan's time.
const (
	paceParts  = 12 // a gateway looks for work that waits so often
	holdParts  = 3  // an ask is left waiting for this part at most
	asksAtOnce = 32 // asks of others that are out at a time; one more is made at the next look
	sureFor    = 8  // so many loans' times after its last word a dealer is taken to be there, where there is no work to ask for
	restMost   = 16 // the longest rest after asks that failed, in loans' times
)

// Agent is a running one.
type Agent struct {
	opt      Options
	loop     Loop
	listener net.Listener
	server   *http.Server
	client   *http.Client
	each     scheduler.Time // how long a loan counts: it stays as it was at the start, so that who asks and who deals mean the same
	lock     sync.Mutex
	tenure   *epoch.Ownership
	peers    map[string]string // addresses of members
	seen     map[string]scheduler.SlowStartDemand
	rate     float64
	desks    map[string]*desk // by node, of budgets that are its own
	debts    map[string]*debt // by node
	empty    []debtOf
	free     chan struct{}
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Listen opens an agent's socket. It serves once it is begun.
func Listen(opt Options) (*Agent, error) {
	l, err := net.Listen("tcp", opt.ListenAddr)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, listener: l, tenure: epoch.NewOwnership(opt.Holder, 0), peers: map[string]string{}, seen: map[string]scheduler.SlowStartDemand{},
		desks: map[string]*desk{}, debts: map[string]*debt{}, free: make(chan struct{}, asksAtOnce)}
	a.each = opt.Settings.AllocationTime
	each := time.Duration(a.each)
	a.client = &http.Client{Timeout: each, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: each / 2}).DialContext, MaxIdleConnsPerHost: 4,
		IdleConnTimeout: 30 * time.Second}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cold/ask", a.serve)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	return a, nil
}

// Addr is where other gateways reach it.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Start starts the duties.
func (a *Agent) Start(loop Loop) {
	a.loop = loop
	var ctx context.Context
	ctx, a.cancel = context.WithCancel(context.Background())
	a.done.Add(2)
	go func() { defer a.done.Done(); a.server.Serve(a.listener) }()
	go func() { defer a.done.Done(); a.borrow(ctx) }()
}

// Close ends them.
func (a *Agent) Close() {
	if a.cancel == nil {
		a.listener.Close()
		return
	}
	a.cancel()
	a.server.Close()
	a.done.Wait()
	a.client.CloseIdleConnections()
}

// HandleMembership takes in who is present, as a lease from the keepers told.
func (a *Agent) HandleMembership(m *lease.MembershipUpdate) {
	a.lock.Lock()
	defer a.lock.Unlock()
	before := a.tenure.Epoch()
	a.tenure.HandleMembership(m.RequestedAt, a.opt.Now(), m.Membership)
	if a.tenure.Epoch() != before {
		a.peers = m.PeerAddrs
	}
}

// UpdateSettings has other terms count, which the module acts on from now on. What was dealt out goes on; new desks begin with nothing ready.
func (a *Agent) UpdateSettings(t scheduler.Settings) {
	terms := SettingsFrom(t, a.opt.Settings.MaxClockDrift)
	a.lock.Lock()
	defer a.lock.Unlock()
	if terms.AllocationTime = a.each; terms != a.opt.Settings {
		a.opt.Settings = terms
		clear(a.desks)
	}
}

// SettingsFrom are a budget's, from what the module acts on.
func SettingsFrom(t scheduler.Settings, drift float64) budget.Settings {
	number, span := reader(t)
	window := span("cold.window")
	return budget.Settings{InitialFraction: number("cold.from"), WarmupTime: span("cold.time"), OverloadMultiple: number("cold.multiple"), Window: window, MinUnits: number("cold.units"),
		AllocatedShare: share, AllocationTime: min(cmp.Or(window/6, longestLoan), longestLoan), MaxClockDrift: drift}
}

// What is dealt out of what a node bears. The rest is for gateways that reach no dealer: by the module's own ways they send half of it at
// most, all together.
const (
	share       = 0.5
	longestLoan = scheduler.Second / 2
)
