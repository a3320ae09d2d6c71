// Package manager runs the sources of lists of nodes and hands on what package members makes of them. It decides
// nothing: it brings the time, keeps the last lists in a folder, and passes words both ways.
package manager

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/membership"
)

// NamedSource is a source with its name, which is unique in the gateway.
type NamedSource struct {
	Name   string
	Source endpoint.Source
}

// Options are what a roster is started with.
type Options struct {
	Gateway  string
	Settings membership.Settings
	Sources  []NamedSource       // by precedence
	Dir      string              // for the last lists; empty: they are not kept
	Now      func() int64        // nanoseconds since 1970; it never goes back
	OnChange func(endpoint.List) // the module, through the loop
	Log      *slog.Logger
}

// Manager is a running one.
type Manager struct {
	opt    Options
	fleet  *membership.Tracker
	calls  chan func()
	ended  chan struct{}
	first  chan struct{}
	silent map[*membership.Source]bool // that have not spoken yet
	tellAt int64                       // of the last list told
	done   sync.WaitGroup
	cancel context.CancelFunc
}

// Start starts sources and fleet.
func Start(opt Options) *Manager {
	names := make([]string, len(opt.Sources))
	for i, s := range opt.Sources {
		names[i] = s.Name
	}
	r := &Manager{opt: opt, fleet: membership.New(opt.Settings, names...), calls: make(chan func(), 64), ended: make(chan struct{}),
		first: make(chan struct{}), silent: map[*membership.Source]bool{}}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	for i, s := range r.fleet.Sources() {
		r.silent[s] = true
		r.kept(s)
		e := &subscriber{roster: r, ctx: ctx, source: s, keep: make(chan endpoint.List, 1)}
		r.done.Add(2)
		go func() { defer r.done.Done(); e.keeper() }()
		go func() {
			defer r.done.Done()
			defer close(e.keep)
			if err := opt.Sources[i].Source.Run(ctx, e); err != nil && ctx.Err() == nil {
				e.OnRejected(fmt.Errorf("the source has ended: %w", err))
				e.OnLink(false, err.Error())
			}
		}()
	}
	if len(r.silent) == 0 {
		close(r.first)
	}
	go r.run(ctx)
	return r
}

// Synced is closed when each source has spoken: a list, or one that was refused.
func (r *Manager) Synced() <-chan struct{} { return r.first }

// Close ends sources and fleet.
func (r *Manager) Close() {
	r.cancel()
	r.done.Wait()
	<-r.ended
}

// run is the one goroutine that the fleet belongs to.
func (r *Manager) run(ctx context.Context) {
	defer close(r.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-r.calls:
			call()
		case <-timer.C:
		}
		t := r.fleet.Reconcile(r.opt.Now())
		for _, line := range t.Log {
			r.opt.Log.Info(line, "gateway", r.opt.Gateway)
		}
		if t.Changed {
			r.tellAt = r.opt.Now()
			r.opt.Log.Info("list of nodes", "gateway", r.opt.Gateway, "version", t.List.Version, "nodes", len(t.List.Nodes), "old", t.List.Stale)
			r.opt.OnChange(t.List)
		}
		timer.Stop()
		if t.NextAt > 0 {
			timer.Reset(time.Duration(max(t.NextAt-r.opt.Now(), 0) + 1))
		}
	}
}

// do has something done by the fleet's goroutine; false tells that it has ended.
func (r *Manager) do(ctx context.Context, f func()) bool {
	select {
	case r.calls <- f:
		return true
	case <-ctx.Done():
		return false
	case <-r.ended:
		return false
	}
}

// ask does the same and waits for it.
func (r *Manager) ask(f func()) bool {
	done := make(chan struct{})
	if !r.do(context.Background(), func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-r.ended:
		return false
	}
}

// Confirm takes what is held at its word.
func (r *Manager) Confirm() (nodes, lists int, running bool) {
	running = r.ask(func() { nodes, lists = r.fleet.Confirm() })
	return nodes, lists, running
}

// View has somebody look at the fleet, as it is between two events; now is its time, toldAt when the module was told last.
func (r *Manager) View(look func(now, toldAt int64, f *membership.Tracker)) bool {
	return r.ask(func() { look(r.opt.Now(), r.tellAt, r.fleet) })
}

// spoken notes that a source has spoken.
func (r *Manager) spoken(s *membership.Source) {
	if len(r.silent) == 0 {
		return
	}
	if delete(r.silent, s); len(r.silent) == 0 {
		// What it said is decided on after this call, so the next call is the first that finds it told.
		go r.do(context.Background(), func() { close(r.first) })
	}
}

// subscriber is what a source speaks to.
type subscriber struct {
	roster *Manager
	ctx    context.Context
	source *membership.Source
	keep   chan endpoint.List // the last one to be kept
}

func (e *subscriber) OnUpdate(l endpoint.List) {
	r := e.roster
	r.do(e.ctx, func() {
		e.source.Receive(r.opt.Now(), l)
		r.spoken(e.source)
	})
	if r.opt.Dir == "" {
		return
	}
	select {
	case <-e.keep: // one that is not written yet is out of date
	default:
	}
	e.keep <- l
}

func (e *subscriber) OnRejected(why error) {
	r := e.roster
	r.do(e.ctx, func() {
		e.source.Reject(r.opt.Now(), why.Error())
		r.spoken(e.source)
	})
}

func (e *subscriber) OnLink(up bool, why string) {
	r := e.roster
	r.do(e.ctx, func() {
		if up {
			e.source.LinkUp(r.opt.Now())
		} else {
			e.source.LinkDown(r.opt.Now(), why)
		}
	})
}

// keeper writes the last list to the folder, whole or not at all.
func (e *subscriber) keeper() {
	for l := range e.keep {
		file := e.roster.file(e.source)
		if err := renameio.WriteFile(file, endpoint.FormatList(l), 0o600); err != nil {
			e.roster.opt.Log.Warn("a list is not kept", "gateway", e.roster.opt.Gateway, "source", e.source.Name, "why", err)
		}
	}
}

func (r *Manager) file(s *membership.Source) string {
	return filepath.Join(r.opt.Dir, r.opt.Gateway+"."+s.Name+".nodes.hcl")
}

// kept has the fleet told of the list that an earlier life has kept, if there is one that can be read.
func (r *Manager) kept(s *membership.Source) {
	if r.opt.Dir == "" {
		return
	}
	src, err := os.ReadFile(r.file(s))
	if os.IsNotExist(err) {
		return
	}
	if err == nil {
		var l endpoint.List
		if l, err = endpoint.ParseList(r.file(s), src); err == nil {
			l.Stale = true
			s.Receive(r.opt.Now(), l)
			return
		}
	}
	r.opt.Log.Warn("the list that was kept cannot be read, and does not count", "gateway", r.opt.Gateway, "source", s.Name, "why", err)
}
