// Package gateway runs one scheduler in real time. It is called by the front ends, the configuration client and the
// endpoint manager.
//
// One goroutine, the event loop, owns the scheduler, the clock reading and all requests and attempts in flight. It
// takes events from a bounded queue, passes them to the scheduler, and executes the scheduler's decisions. The package
// makes no scheduling decisions itself and persists no state.
package gateway

import (
	"maps"
	"sync"
	"time"

	"irispost/scheduler"
)

// event handles something that has happened. It runs on the loop, with the current time.
type event func(now scheduler.Time)

// Loop is a running gateway.
type Loop struct {
	opt    Options
	events chan event

	stop      chan struct{}
	stopOnce  sync.Once
	ended     chan struct{}
	postMutex sync.RWMutex // read-locked while an event is posted, so that finishAll handles every posted event

	// The fields below are owned by the loop's goroutine.
	scheduler        tappedScheduler
	followUps        []event // outcomes of the decision just executed, handled in the same turn
	requests         map[*scheduler.Request]*request
	submittedCount   int64 // requests submitted to the scheduler so far; numbers their IDs
	timeouts         timeoutHeap
	clockStale       bool               // a decision expired within the turn, so the clock has to be read again
	settings         scheduler.Settings // that the scheduler currently applies
	configValidUntil scheduler.Time     // attempts decided before this time must not be sent after it; 0: no limit
	stats            Stats
}

// Start starts a gateway. Stop ends it.
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

// Stop ends the loop and waits until it has ended. Of the requests without a final answer, those that may have run
// fail and the others are rejected.
func (l *Loop) Stop() {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.ended
}

// Now returns the current time by the gateway's clock.
func (l *Loop) Now() scheduler.Time { return l.opt.Clock.Now() }

// Wake makes the loop take a turn. It returns at once.
func (l *Loop) Wake() {
	go l.post(func(scheduler.Time) {})
}

// post queues an event for the loop and reports whether it did; it does not if the loop is stopped. It blocks while
// the queue is full, so that the caller stops reading its socket.
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

// callLoop runs f on the loop and returns its result. ok is false if the loop ended first.
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

// run is the event loop: it waits for an event or for the time of the next turn, handles the queued events, and takes
// a turn.
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

// handleEvents runs first, which may be nil, and then the events that are queued by then, all with the same time.
func (l *Loop) handleEvents(now scheduler.Time, first event) {
	if first != nil {
		first(now)
	}
	for n := len(l.events); n > 0; n-- {
		e := <-l.events
		e(now)
	}
}

// turn expires attempts, asks the scheduler for a decision and executes it, and repeats this until a decision has no
// follow-up events. It returns the time of the next turn.
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

// applyConfig passes the configuration that is in force now to the scheduler, if there is a ConfigSource and the
// configuration has changed.
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

// runFollowUps runs the follow-up events of the decision just executed, including those that they add themselves.
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

// nextTurn returns the time of the next turn after a decision.
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

// finishAll gives each unfinished request its final answer, including those that are still in the event queue.
func (l *Loop) finishAll() {
	l.postMutex.Lock()
	defer l.postMutex.Unlock()
	for len(l.events) > 0 { // no other goroutine posts or takes events at this point
		e := <-l.events
		e(l.opt.Clock.Now())
	}
	for _, r := range l.requests {
		l.withdrawUnsent(r) // before the state is chosen: a request of which nothing was sent is rejected
		l.finish(r, Result{State: r.stateAtStop(), Reason: "the gateway ends"})
	}
}
