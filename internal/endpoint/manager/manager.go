// Package manager runs a gateway's sources of endpoint lists and hands the scheduler the list that package membership
// makes of their reports.
//
// A Manager owns one goroutine that its Tracker belongs to, and two for each source: one runs the source, the other
// writes its last list to the cache directory. The decisions are the Tracker's; the Manager brings the time, the events
// and the cached lists.
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

// callQueueSize is how many events may wait for the Manager's goroutine before their senders do.
const callQueueSize = 64

// NamedSource is a source with its name, which is unique in the gateway.
type NamedSource struct {
	Name   string
	Source endpoint.Source
}

// Options are what a Manager is started with.
type Options struct {
	Gateway  string
	Settings membership.Settings
	Sources  []NamedSource            // by precedence
	Dir      string                   // where the last lists are cached; empty: nowhere
	Now      func() int64             // nanoseconds since 1970; it never goes back
	OnChange func(list endpoint.List) // receives each new list, in the Manager's goroutine
	Log      *slog.Logger
}

// Manager runs sources and their Tracker. Its methods may be called from any goroutine.
type Manager struct {
	opt    Options
	calls  chan func()   // for the Manager's goroutine
	ended  chan struct{} // closed when that goroutine has ended
	synced chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup // of the sources' goroutines

	// Owned by the Manager's goroutine.
	tracker   *membership.Tracker
	pending   map[*membership.Source]bool // sources that have not reported yet
	changedAt int64                       // when OnChange was called last
}

// Start starts the sources, and hands on their lists until Close.
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

// startSource starts a source's goroutines.
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
			sub.OnRejected(fmt.Errorf("the source has ended: %w", err))
			sub.OnLink(false, err.Error())
		}
	}()
}

// Synced returns a channel that is closed when each source has reported: a list, or an update that was rejected.
func (m *Manager) Synced() <-chan struct{} { return m.synced }

// Close ends the sources, and waits for all goroutines.
func (m *Manager) Close() {
	m.cancel()
	m.done.Wait()
	<-m.ended
}

// run is the Manager's goroutine.
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

// reconcile has the tracker decide, logs what changed and hands a new list on. It returns when it has to be called
// again at the latest; 0: after the next event.
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

// post has the Manager's goroutine make a call. It returns false if the context or that goroutine ended before.
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

// call has the Manager's goroutine make a call, and waits for it. It returns false if that goroutine ended before.
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

// Confirm accepts everything that is held down, and returns how many nodes and lists that were. running is false if the
// Manager was closed.
func (m *Manager) Confirm() (nodes, lists int, running bool) {
	running = m.call(func() { nodes, lists = m.tracker.Confirm() })
	return nodes, lists, running
}

// View calls inspect with the present time, the time of the last OnChange and the tracker, between two events. It returns
// false if the Manager was closed.
func (m *Manager) View(inspect func(now, changedAt int64, tracker *membership.Tracker)) bool {
	return m.call(func() { inspect(m.opt.Now(), m.changedAt, m.tracker) })
}

// markReported notes that a source has reported, in the Manager's goroutine.
func (m *Manager) markReported(s *membership.Source) {
	if len(m.pending) == 0 {
		return
	}
	delete(m.pending, s)
	if len(m.pending) == 0 {
		// The report is reconciled after this call, so the call after it is the first that finds it done. This
		// goroutine can't wait for its own queue; the new one ends when it is served or the Manager closes.
		go m.post(context.Background(), func() { close(m.synced) })
	}
}
