package gateway

import (
	"container/heap"
	"fmt"
	"time"

	"irispost/internal/backend/node"
	"irispost/scheduler"
)

// start sends an execution to its node.
func (l *Loop) start(now scheduler.Time, de *scheduler.Attempt) {
	j := l.jobs[de.Request]
	e := &exec{job: j, decided: de, due: j.work.Deadline}
	if de.Timeout > 0 {
		e.due = min(e.due, now+de.Timeout)
	}
	j.execs = append(j.execs, e)
	c := j.work.Call
	c.Gateway, c.RequestID, c.Attempt, c.Volume, c.Units = l.opt.Name, de.Request.ID, de.Number, j.work.Volume.ID, j.work.Units
	c.Timeout, c.Idempotency = time.Duration(e.due-now), j.work.Idempotency
	if de.SendBefore > 0 {
		c.StartWithin = time.Duration(max(de.SendBefore-now, 1))
	}
	if j.work.HasKey {
		c.OrderingKey = j.work.Key
	}
	if c.IdempotencyKey == "" {
		c.IdempotencyKey = de.Request.ID
	}
	heap.Push(&l.due, e)
	if t := l.opt.Clock.Now(); l.until > 0 && t >= l.until || de.SendBefore > 0 && t >= de.SendBefore { // the process stood still since the loop has read the clock
		e.sent, l.outdated = unsent{}, true
		l.again = append(l.again, func(now scheduler.Time) {
			l.outcome(now, e, scheduler.OutcomeConnectFailed, node.Reply{Message: "what was decided is out of date"})
		})
		return
	}
	e.sent = l.opt.Nodes.Start(de.Node.Addr, &c, func(a node.Reply) {
		l.post(func(now scheduler.Time) { l.outcome(now, e, outcomes[a.Outcome], a) })
	})
}

// unsent is an execution that went to no connection.
type unsent struct{}

func (unsent) Cancel() {}

// outcome tells the module how an execution ended. One that is over already is let be.
func (l *Loop) outcome(now scheduler.Time, e *exec, o scheduler.Outcome, a node.Reply) {
	if e.place == 0 {
		return
	}
	heap.Remove(&l.due, e.place-1)
	j := e.job
	e.never = o == scheduler.OutcomeOverloaded || o == scheduler.OutcomeMisdirected || o == scheduler.OutcomeConnectFailed
	if o != scheduler.OutcomeServed && o != scheduler.OutcomeCancelled {
		j.why = a.Message
	}
	served := o == scheduler.OutcomeServed && !j.over
	l.module.ended(now, e.decided, o, served || j.over, a)
	if served {
		l.finish(j, Result{State: scheduler.RequestSucceeded, Reply: a})
	}
	l.forget(j)
}

// finish gives a job its final answer.
func (l *Loop) finish(j *job, r Result) {
	if j.over {
		return
	}
	j.over = true
	l.figures.of(j.work.Class).count(r.State)
	if j.session != nil {
		delete(j.session.jobs, j)
	}
	j.tell(r)
	l.forget(j)
}

// forget drops a job that has its answer and no execution out.
func (l *Loop) forget(j *job) {
	if !j.over {
		return
	}
	for _, e := range j.execs {
		if e.place > 0 {
			return
		}
	}
	delete(l.jobs, j.decided)
}

// ending is the state of a job whose gateway has ended: what can never have run may be tried again without harm.
func ending(j *job) scheduler.RequestState {
	if j.ran() {
		return scheduler.RequestFailed
	}
	return scheduler.RequestRejected
}

// end gives what is held its answer.
func (l *Loop) end() {
	l.gate.Lock()
	defer l.gate.Unlock()
	for {
		select {
		case e := <-l.events: // what was handed in gets its answer too
			e(l.opt.Clock.Now())
			continue
		default:
		}
		break
	}
	for _, j := range l.jobs {
		l.finish(j, Result{State: ending(j), Reason: "the gateway ends"})
	}
}

// dueExecs orders executions by the time when they have timed out, ties by their jobs and numbers.
type dueExecs []*exec

func (d dueExecs) Len() int { return len(d) }
func (d dueExecs) Less(a, b int) bool {
	if d[a].due != d[b].due {
		return d[a].due < d[b].due
	}
	x, y := d[a].decided, d[b].decided
	return x.Request.ID < y.Request.ID || x.Request.ID == y.Request.ID && x.Number < y.Number
}
func (d dueExecs) Swap(a, b int) {
	d[a], d[b] = d[b], d[a]
	d[a].place, d[b].place = a+1, b+1
}
func (d *dueExecs) Push(x any) {
	e := x.(*exec)
	*d = append(*d, e)
	e.place = len(*d)
}
func (d *dueExecs) Pop() any {
	last := len(*d) - 1
	e := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	e.place = 0
	return e
}

// String names a result for people.
func (r Result) String() string {
	return fmt.Sprintf("%s after %q, wait %v", StateName(r.State), r.Reason, r.RetryAfter)
}
