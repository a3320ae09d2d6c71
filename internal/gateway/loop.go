// Package gateway runs one decision module in real time. One goroutine, the loop, owns the module and the clock: it
// takes events from a bounded queue, tells the module of them, and carries out what the module decides. It decides
// nothing itself.
package gateway

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// job is a job of the module's, with what the loop holds for it.
type job struct {
	work    *RequestSpec
	session *Session // nil for the gateway's own duties
	decided *scheduler.Request
	done    chan Result
	over    bool // its final answer has been given
	why     string
	execs   []*exec
}

// tell hands out a job's final answer.
//
// Guard: Told comes before the result can be had, lest it wake a wait of whoever has gone on with that.
func (j *job) tell(r Result) {
	if j.work.OnResult != nil {
		j.work.OnResult()
	}
	j.done <- r
}

// exec is an execution with its connection.
type exec struct {
	job     *job
	decided *scheduler.Attempt
	sent    node.Attempt
	due     scheduler.Time // it has timed out then
	never   bool           // it is proven that it never ran
	place   int            // in the heap of due times, counted from 1; 0: over
}

// ran tells whether an execution of a job may have run, now or later.
func (j *job) ran() bool {
	return slices.ContainsFunc(j.execs, func(e *exec) bool { return !e.never })
}

// event is something that has happened; it is told on the loop.
type event func(now scheduler.Time)

// Loop is a running gateway.
type Loop struct {
	opt      Options
	module   module
	events   chan event
	again    []event // that follow from what was just carried out
	jobs     map[*scheduler.Request]*job
	count    int64
	due      dueExecs
	outdated bool               // that time has passed within a turn
	terms    scheduler.Settings // that the module acts on
	until    scheduler.Time     // nothing is sent after it by what was decided before; 0: no such time
	figures  Stats
	quit     chan struct{}
	gate     sync.RWMutex // held for reading while an event is handed in, so that the end misses none
	ended    chan struct{}
	once     sync.Once
}

// Start starts a loop.
func Start(opt Options) *Loop {
	l := &Loop{opt: opt, events: make(chan event, max(opt.QueueSize, 1)), jobs: map[*scheduler.Request]*job{},
		terms: opt.Settings, quit: make(chan struct{}), ended: make(chan struct{}), figures: Stats{Classes: map[string]*Counts{}}}
	l.module.tap = opt.Tap
	now := opt.Clock.Now()
	l.module.start(now, opt.Seed, opt.Settings)
	if opt.CachedList != nil {
		l.module.listed(now, *opt.CachedList)
	}
	go l.run()
	return l
}

// Now is the gateway's time.
func (l *Loop) Now() scheduler.Time { return l.opt.Clock.Now() }

// post hands in an event. It waits while the queue is full, so whoever reads a socket stops reading; false tells that
// the loop has ended.
func (l *Loop) post(e event) bool {
	l.gate.RLock()
	defer l.gate.RUnlock()
	select {
	case <-l.quit:
		return false
	default:
	}
	select {
	case l.events <- e:
		return true
	case <-l.quit:
		return false
	}
}

// Submit hands in a job. Its result comes on the channel, exactly once.
func (l *Loop) Submit(s *Session, w *RequestSpec) <-chan Result {
	j := &job{work: w, session: s, done: make(chan Result, 1)}
	if !l.post(func(now scheduler.Time) { l.take(now, j) }) {
		j.tell(Result{State: ending(j), Reason: "the gateway has ended"})
	}
	return j.done
}

// CloseSession tells that a session's client has gone.
func (l *Loop) CloseSession(s *Session) {
	l.post(func(now scheduler.Time) {
		s.gone = true
		left := make([]*job, 0, len(s.jobs))
		for j := range s.jobs {
			left = append(left, j)
		}
		sortJobs(left)
		for _, j := range left {
			l.module.left(now, j.decided)
			l.finish(j, Result{State: scheduler.RequestClientCancelled})
		}
	})
}

// SetTap has a tap told of all that passes the module from now on, in place of another; nil: nobody. It returns when that
// is so.
func (l *Loop) SetTap(t Tap) bool {
	done := make(chan struct{})
	if !l.post(func(now scheduler.Time) { l.module.listen(now, t); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.ended:
		return false
	}
}

// UpdateEndpoints tells of a list of nodes, or of what has changed in it.
func (l *Loop) UpdateEndpoints(list endpoint.List) {
	l.post(func(now scheduler.Time) {
		l.listed(now, list)
	})
}

// Wake has the loop take a turn.
func (l *Loop) Wake() {
	go l.post(func(scheduler.Time) {})
}

func (l *Loop) listed(now scheduler.Time, list endpoint.List) {
	l.module.listed(now, list)
	keep, open := map[string]bool{}, map[string]bool{}
	for _, n := range list.Nodes {
		keep[n.Addr], open[n.Addr] = n.Health != endpoint.Removed, standings[n.Health] == scheduler.EndpointReady
	}
	// Guard: what was decided before may still wait for its connection; sent once that is up, it could come after the grace of a drain.
	l.opt.Nodes.AbortQueued(func(addr string) bool { ready, named := open[addr]; return !ready && (named || !list.Partial) })
	if !list.Partial {
		go l.opt.Nodes.Retain(keep)
	}
}

// EndpointListFailed tells that the list could not be had; silent that its service said nothing at all.
func (l *Loop) EndpointListFailed(silent bool) {
	l.post(func(now scheduler.Time) { l.module.listFailed(now, silent) })
}

// Stop ends the loop. What it still holds is written off where it may have run, and dismissed where not.
func (l *Loop) Stop() {
	l.once.Do(func() { close(l.quit) })
	<-l.ended
}

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
		case <-l.quit:
			l.end()
			return
		}
		now := max(l.opt.Clock.Now(), last)
		last = now
		if first != nil {
			first(now)
		}
		for n := len(l.events); n > 0; n-- {
			(<-l.events)(now)
		}
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

// follow brings the module what is acted on now, where versions are followed.
func (l *Loop) follow(now scheduler.Time) {
	l.outdated = false
	if l.opt.Config == nil {
		return
	}
	var acts *ActiveConfig
	if acts, l.until = l.opt.Config.At(now); acts != nil {
		if acts.Settings != nil && !maps.Equal(acts.Settings, l.terms) {
			l.terms = acts.Settings
			l.module.agree(now, acts.Settings)
		}
		l.listed(now, acts.List)
	}
}

// turn tells of time-outs, asks for the decision and carries it out, until nothing follows from it. It returns when
// the next turn is due.
func (l *Loop) turn(now scheduler.Time) scheduler.Time {
	l.follow(now)
	for {
		if l.outdated {
			now = l.opt.Clock.Now()
			l.follow(now)
		}
		for len(l.due) > 0 && l.due[0].due <= now {
			e := l.due[0]
			e.sent.Cancel()
			l.outcome(now, e, scheduler.OutcomeTimeout, node.Reply{Message: "no answer in time"})
		}
		for len(l.again) > 0 {
			list := l.again
			l.again = nil
			for _, e := range list {
				e(now)
			}
		}
		d := l.module.decide(now)
		l.carryOut(now, d)
		if len(l.again) == 0 {
			next := d.NextWake
			if len(l.due) > 0 {
				next = min(next, l.due[0].due)
			}
			if l.until > 0 {
				next = min(next, l.until)
			}
			return next
		}
	}
}

// take tells the module of a job.
func (l *Loop) take(now scheduler.Time, j *job) {
	w := j.work
	l.figures.of(w.Class).Accepted++
	if j.session != nil {
		if j.session.gone {
			l.figures.of(w.Class).count(scheduler.RequestClientCancelled)
			j.tell(Result{State: scheduler.RequestClientCancelled})
			return
		}
		j.session.jobs[j] = true
	}
	l.count++
	name := l.opt.Name
	if j.session != nil {
		name = j.session.Name + ":" + strconv.FormatUint(uint64(w.ClientRequest), 10)
	}
	j.decided = &scheduler.Request{ID: name + "#" + strconv.FormatInt(l.count, 10), Units: w.Units, Shard: w.Call.Shard,
		Key: w.Key, Write: w.Call.Op.Writes(), Deadline: w.Deadline}
	l.jobs[j.decided] = j
	l.module.take(now, j.decided, w)
}

// carryOut does what the module decided.
func (l *Loop) carryOut(now scheduler.Time, d *scheduler.Decision) {
	for _, line := range d.Log {
		l.opt.Log.Info(line, "gateway", l.opt.Name)
	}
	for _, dj := range d.Finished {
		if j := l.jobs[dj]; j != nil {
			l.finish(j, Result{State: dj.State, RetryAfter: time.Duration(dj.RetryAfter), Reason: j.why, MayHaveRun: j.ran()})
		}
	}
	for _, de := range d.Cancel {
		if e := l.execOf(de); e != nil && e.place > 0 {
			e.sent.Cancel()
			l.again = append(l.again, func(now scheduler.Time) { l.outcome(now, e, scheduler.OutcomeCancelled, node.Reply{}) })
		}
	}
	for _, de := range d.Dispatch {
		l.start(now, de)
	}
	if d.WatchEndpoints && l.opt.Watch != nil {
		l.opt.Watch()
	}
}

func (l *Loop) execOf(de *scheduler.Attempt) *exec {
	if j := l.jobs[de.Request]; j != nil && de.Number < len(j.execs) {
		return j.execs[de.Number]
	}
	return nil
}
