// Package gateway runs one scheduler in real time. The front ends, the configuration client and the endpoint manager
// call it.
//
// One goroutine, the event loop, owns the scheduler, the clock reading and all requests and attempts in flight. It
// takes events from a bounded queue, passes them to the scheduler, and carries out what the scheduler decides. The
// package decides nothing itself and keeps nothing after its end.
package gateway

import (
	"maps"
	"sync"
	"time"

	"irispost/scheduler"
)

// event is something that has happened; it is run on the loop.
type event func(now scheduler.Time)

// Loop is a running gateway.
type Loop struct {
	opt    Options
	events chan event

	stop      chan struct{}
	stopOnce  sync.Once
	ended     chan struct{}
	postMutex sync.RWMutex // held for reading while an event is posted, so that the end of the loop misses none

	// What follows is owned by the loop's goroutine.
	scheduler        tappedScheduler
	followUps        []event // outcomes of what was just carried out, for the same turn
	requests         map[*scheduler.Request]*request
	submittedCount   int64 // requests passed to the scheduler so far
	timeouts         timeoutHeap
	clockStale       bool               // a deadline has passed within a turn, so that the clock has to be read anew
	settings         scheduler.Settings // in force at the scheduler
	configValidUntil scheduler.Time     // nothing is sent after it by what was decided before; 0: no such time
	stats            Stats
}

// Start starts a loop. Stop ends it.
func Start(opt Options) *Loop {
	l := &Loop{
		opt:      opt,
		events:   make(chan event, max(opt.QueueSize, 1)),
		stop:     make(chan struct{}),
		ended:    make(chan struct{}),
		requests: map[*scheduler.Request]*request{},
		settings: opt.Settings,
		stats:    Stats{Classes: map[string]*Counts{}},
	}
	l.scheduler.tap = opt.Tap
	now := opt.Clock.Now()
	l.scheduler.start(now, opt.Seed, opt.Settings)
	if opt.CachedList != nil {
		l.scheduler.updateEndpoints(now, *opt.CachedList)
	}
	go l.run()
	return l
}

// Stop ends the loop and waits for its end. A request that it still holds fails if it may have run, and is rejected
// if not.
func (l *Loop) Stop() {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.ended
}

// Now is the gateway's time.
func (l *Loop) Now() scheduler.Time { return l.opt.Clock.Now() }

// Wake has the loop take a turn. It does not wait.
func (l *Loop) Wake() {
	go l.post(func(scheduler.Time) {})
}

// post hands in an event. It waits while the queue is full, so that the caller stops reading its socket; false when
// the loop has ended.
func (l *Loop) post(e event) bool {
	l.postMutex.RLock()
	defer l.postMutex.RUnlock()
	select {
	case <-l.stop:
		return false
	default:
	}
	select {
	case l.events <- e:
		return true
	case <-l.stop:
		return false
	}
}

// callLoop runs a function on the loop and returns its result; false when the loop has ended.
func callLoop[T any](l *Loop, f func(now scheduler.Time) T) (result T, ok bool) {
	done := make(chan T, 1)
	if !l.post(func(now scheduler.Time) { done <- f(now) }) {
		return result, false
	}
	select {
	case result = <-done:
		return result, true
	case <-l.ended:
		return result, false
	}
}

// run is the loop: it waits for an event or for the time of the next turn, handles what has come, and takes a turn.
func (l *Loop) run() {
	defer close(l.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	last := scheduler.Time(0)
	for {
		var first event
		select {
		case first = <-l.events:
		case <-timer.C:
		case <-l.stop:
			l.finishAll()
			return
		}
		now := max(l.opt.Clock.Now(), last)
		last = now
		l.handleEvents(now, first)
		next := l.turn(now)
		if !timer.Stop() {
			select {
			case <-timer.C:
			default:
			}
		}
		timer.Reset(time.Duration(max(next-l.opt.Clock.Now(), 0)))
	}
}

// handleEvents runs the first event, nil if there is none, and those that wait by then, all at one time.
func (l *Loop) handleEvents(now scheduler.Time, first event) {
	if first != nil {
		first(now)
	}
	for n := len(l.events); n > 0; n-- {
		e := <-l.events
		e(now)
	}
}

// turn times attempts out, asks the scheduler for its decision and carries that out, until nothing follows from it.
// It returns when the next turn is due.
func (l *Loop) turn(now scheduler.Time) scheduler.Time {
	l.applyConfig(now)
	for {
		if l.clockStale {
			now = l.opt.Clock.Now()
			l.applyConfig(now)
		}
		l.expireAttempts(now)
		l.runFollowUps(now)
		d := l.scheduler.decide(now)
		l.executeDecision(now, d)
		if len(l.followUps) == 0 {
			return l.nextTurn(d)
		}
	}
}

// applyConfig brings the scheduler what is in force now, where configuration versions are followed.
func (l *Loop) applyConfig(now scheduler.Time) {
	l.clockStale = false
	if l.opt.Config == nil {
		return
	}
	var active *ActiveConfig
	active, l.configValidUntil = l.opt.Config.At(now)
	if active == nil {
		return
	}
	if active.Settings != nil && !maps.Equal(active.Settings, l.settings) {
		l.settings = active.Settings
		l.scheduler.applySettings(now, active.Settings)
	}
	l.updateEndpoints(now, active.List)
}

// runFollowUps runs the events that follow from what was carried out, and those that follow from them.
func (l *Loop) runFollowUps(now scheduler.Time) {
	for len(l.followUps) > 0 {
		list := l.followUps
		l.followUps = nil
		for _, e := range list {
			e(now)
		}
	}
}

// executeDecision carries out a decision of the scheduler.
func (l *Loop) executeDecision(now scheduler.Time, decision *scheduler.Decision) {
	for _, line := range decision.Log {
		l.opt.Log.Info(line, "gateway", l.opt.Name)
	}
	for _, scheduled := range decision.Finished {
		if r := l.requests[scheduled]; r != nil {
			l.finish(r, Result{
				State:      scheduled.State,
				RetryAfter: time.Duration(scheduled.RetryAfter),
				Reason:     r.reason,
				MayHaveRun: r.mayHaveRun(),
			})
		}
	}
	for _, scheduled := range decision.Cancel {
		l.cancel(scheduled)
	}
	for _, scheduled := range decision.Dispatch {
		l.dispatch(now, scheduled)
	}
	if decision.WatchEndpoints && l.opt.Watch != nil {
		l.opt.Watch()
	}
}

// nextTurn is the time of the next turn after a decision.
func (l *Loop) nextTurn(d *scheduler.Decision) scheduler.Time {
	next := d.NextWake
	if len(l.timeouts) > 0 {
		next = min(next, l.timeouts[0].timeoutAt)
	}
	if l.configValidUntil > 0 {
		next = min(next, l.configValidUntil)
	}
	return next
}

// finishAll gives each request that is still held its final answer, also those that wait in the queue.
func (l *Loop) finishAll() {
	l.postMutex.Lock()
	defer l.postMutex.Unlock()
	for len(l.events) > 0 { // nobody else posts or takes events now
		e := <-l.events
		e(l.opt.Clock.Now())
	}
	for _, r := range l.requests {
		l.finish(r, Result{State: r.stateAtStop(), Reason: "the gateway ends"})
	}
}
