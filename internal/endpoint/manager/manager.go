// Package manager runs a gateway's sources of endpoint lists and passes the scheduler the list that package membership
// derives from their reports.
//
// A Manager has one goroutine that owns its Tracker, and two per source: one runs the source, the other writes its
// latest list to the cache directory. The Tracker makes all decisions; the Manager supplies the time, the events and
// the cached lists.
package manager

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/membership"
)

// callQueueSize is the number of calls queued for the Manager's goroutine; when the queue is full, senders block.
const callQueueSize = 64

// NamedSource is a source with a name that is unique within the gateway.
type NamedSource struct {
	Name   string
	Source endpoint.Source
}

// Options configure a Manager.
type Options struct {
	Gateway  string
	Settings membership.Settings
	Sources  []NamedSource            // in order of precedence
	Dir      string                   // directory for cached lists; empty: no caching
	Now      func() int64             // nanoseconds since 1970; must not decrease
	OnChange func(list endpoint.List) // called with each new list in the Manager's goroutine
	Log      *slog.Logger
}

// Manager runs the sources and their Tracker. Its exported methods are safe for concurrent use.
type Manager struct {
	opt    Options
	calls  chan func()   // run by the Manager's goroutine
	ended  chan struct{} // closed when that goroutine ends
	synced chan struct{} // closed when each source has reported
	cancel context.CancelFunc
	done   sync.WaitGroup // counts the goroutines of the sources

	// Owned by the Manager's goroutine.
	tracker   *membership.Tracker
	pending   map[*membership.Source]bool // sources without a report so far
	changedAt int64                       // time of the last OnChange
}

// Start starts the sources, and passes lists to OnChange until Close.
func Start(opt Options) *Manager {
	names := make([]string, len(opt.Sources))
	for i, s := range opt.Sources {
		names[i] = s.Name
	}
	m := &Manager{
		opt:     opt,
		calls:   make(chan func(), callQueueSize),
		ended:   make(chan struct{}),
		synced:  make(chan struct{}),
		tracker: membership.New(opt.Settings, names...),
		pending: map[*membership.Source]bool{},
	}
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	for i, s := range m.tracker.Sources() {
		m.pending[s] = true
		m.loadCached(s)
		m.startSource(ctx, s, opt.Sources[i].Source)
	}
	if len(m.pending) == 0 {
		close(m.synced)
	}
	go m.run(ctx)
	return m
}

// startSource starts the two goroutines of a source.
func (m *Manager) startSource(ctx context.Context, state *membership.Source, source endpoint.Source) {
	sub := &subscriber{manager: m, ctx: ctx, source: state, cache: make(chan endpoint.List, 1)}
	m.done.Add(2)
	go func() {
		defer m.done.Done()
		sub.writeCache()
	}()
	go func() {
		defer m.done.Done()
		defer close(sub.cache)
		if err := source.Run(ctx, sub); err != nil && ctx.Err() == nil {
			sub.OnRejected(fmt.Errorf("source ended with an error: %w", err))
			sub.OnLink(false, err.Error())
		}
	}()
}

// Synced returns a channel that is closed once each source has reported a list or a rejected update.
func (m *Manager) Synced() <-chan struct{} { return m.synced }

// Close stops the sources, and waits for all goroutines to end.
func (m *Manager) Close() {
	m.cancel()
	m.done.Wait()
	<-m.ended
}

// run is the main loop of the Manager's goroutine.
func (m *Manager) run(ctx context.Context) {
	defer close(m.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-m.calls:
			call()
		case <-timer.C:
		}
		next := m.reconcile()
		timer.Stop()
		if next > 0 {
			timer.Reset(time.Duration(max(next-m.opt.Now(), 0) + 1))
		}
	}
}

// reconcile calls the tracker, logs its events and passes a changed list to OnChange. It returns when it has to be
// called again at the latest, or 0 if only after the next event.
func (m *Manager) reconcile() (next int64) {
	update := m.tracker.Reconcile(m.opt.Now())
	for _, event := range update.Events {
		m.opt.Log.Info(event.Message, append([]any{"gateway", m.opt.Gateway}, event.Attrs...)...)
	}
	if update.Changed {
		m.changedAt = m.opt.Now()
		m.opt.Log.Info("endpoint list updated", "gateway", m.opt.Gateway, "version", update.List.Version,
			"nodes", len(update.List.Nodes), "stale", update.List.Stale)
		m.opt.OnChange(update.List)
	}
	return update.NextAt
}

// post queues a function for the Manager's goroutine. It returns false if the context or that goroutine ended first.
func (m *Manager) post(ctx context.Context, call func()) bool {
	select {
	case m.calls <- call:
		return true
	case <-ctx.Done():
		return false
	case <-m.ended:
		return false
	}
}

// call runs a function in the Manager's goroutine and waits for it. It returns false if that goroutine ended first.
func (m *Manager) call(f func()) bool {
	done := make(chan struct{})
	if !m.post(context.Background(), func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-m.ended:
		return false
	}
}

// Confirm accepts all losses and lists that are held down, and returns the numbers of nodes and lists. running is
// false if the Manager is closed.
func (m *Manager) Confirm() (nodes, lists int, running bool) {
	running = m.call(func() { nodes, lists = m.tracker.Confirm() })
	return nodes, lists, running
}

// View calls inspect in the Manager's goroutine with the current time, the time of the last OnChange and the tracker.
// It returns false if the Manager is closed.
func (m *Manager) View(inspect func(now, changedAt int64, tracker *membership.Tracker)) bool {
	return m.call(func() { inspect(m.opt.Now(), m.changedAt, m.tracker) })
}

// markReported records that a source has reported. It runs in the Manager's goroutine.
func (m *Manager) markReported(s *membership.Source) {
	if len(m.pending) == 0 {
		return
	}
	delete(m.pending, s)
	if len(m.pending) == 0 {
		// The report is reconciled only after this call, so synced is closed by a later call. This goroutine must
		// not block on its own queue; the new one ends when the call is queued or the Manager closes.
		go m.post(context.Background(), func() { close(m.synced) })
	}
}
