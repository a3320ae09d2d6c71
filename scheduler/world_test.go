package scheduler

import (
	"fmt"
	"strconv"
	"strings"
)

// terms are start values that use every rule.
func terms(more ...string) Settings {
	t := Settings{"gateways": "2", "discovery": "ask", "cold.from": "0.2", "cold.time": "10000", "cold.multiple": "2",
		"cold.window": "1000", "cold.units": "6", "further.free": "2", "further.share": "0.2", "further.window": "1000",
		"key.rest": "60", "units.mean": "2", "units.largest": "8", "executions.most": "3", "calling_off": "true",
		"second_copies": "true", "retry_after": "true", "retry_after.most": "1000", "plans.count": "2",
		"plans.0.name": "basic", "plans.0.weight": "1", "plans.0.limit": "30", "plans.0.burst": "32",
		"plans.1.name": "gold", "plans.1.weight": "3", "plans.1.reserve": "20", "products.count": "4"}
	for i, p := range []string{"read replayable all", "once single-use all", "mark referenced shard", "line replayable all"} {
		f := strings.Fields(p)
		for name, v := range map[string]string{"name": f[0], "kind": f[1], "group": f[2], "goal": "200", "patience": "600",
			"window": "150", "in_turn": strconv.FormatBool(f[0] == "line")} {
			t[item("products", i, name)] = v
		}
	}
	for _, m := range more {
		name, v, _ := strings.Cut(m, "=")
		t[name] = v
	}
	return t
}

// world is a client, a list and nodes that answer as a script or chance says. It checks the rules after every step.
type world struct {
	g       *Scheduler
	t       Settings
	now     Time
	chance  chance
	hosts   float64 // of each volume; 0: two
	jobs    []*Request
	out     []*Attempt
	ended   map[*Request]bool
	told    map[string]EndpointState
	lines   map[int64][]*Request
	rest    map[int64]Time
	takes   []Time
	further []Time
	store   map[*Volume]*TokenBucket
	started []*Attempt // by the last decision
	begins  Time
	trace   strings.Builder
	broken  string
}

func newWorld(seed uint64, t Settings) *world {
	w := &world{t: t, now: Second, chance: newChance(seed), ended: map[*Request]bool{}, told: map[string]EndpointState{},
		lines: map[int64][]*Request{}, rest: map[int64]Time{}, store: map[*Volume]*TokenBucket{}, begins: Second}
	w.g = New(w.now, seed, t)
	return w
}

func (w *world) breaks(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// list tells of one node.
func (w *world) list(addr string, shard int, born Time, s EndpointState) {
	w.told[addr] = s
	w.g.BeginEndpointList(w.now, false, false)
	w.g.UpdateEndpoint(addr, "z"+addr[:1], shard, born, s)
	w.g.FinishEndpointList()
}

// take hands in a job.
func (w *world) take(volume int64, product string, shard int, units float64) *Request {
	j := &Request{ID: strconv.Itoa(len(w.jobs)), Units: units, Shard: shard, Key: volume % 3, Deadline: w.now + 600*Millisecond}
	w.jobs, w.takes = append(w.jobs, j), append(w.takes, w.now)
	w.g.Submit(w.now, j, volume, []string{"basic", "gold"}[volume%2], product, max(w.hosts, 2), true)
	if product == "line" {
		w.lines[j.Key] = append(w.lines[j.Key], j)
	}
	if w.store[j.Volume] == nil {
		w.store[j.Volume] = &TokenBucket{Rate: 15, Capacity: 16, UpdatedAt: w.begins}
	}
	return j
}

// end gives an execution its outcome.
func (w *world) end(e *Attempt, o Outcome) {
	for i := range w.out {
		if w.out[i] == e {
			w.out = append(w.out[:i], w.out[i+1:]...)
			break
		}
	}
	final := o == OutcomeServed || w.ended[e.Request]
	if o == OutcomeServed {
		w.ended[e.Request] = true
	}
	if e.Request.Class.Ordered && (o == OutcomeTimeout || o == OutcomeReset || o == OutcomeCancelled) {
		w.rest[e.Request.Key] = max(w.rest[e.Request.Key], w.now+60*Millisecond)
	}
	w.g.AttemptFinished(w.now, e.Request.ID, e.Number, o, w.now-e.SentAt, final, 0)
}

// decide asks for the decision and checks it.
func (w *world) decide() {
	w.g.now = w.now
	for _, n := range w.g.nodes {
		w.g.learn(n) // so that the bound that check sees is the bound that was decided by
	}
	d := w.g.Decide(w.now)
	for _, j := range d.Finished {
		fmt.Fprintf(&w.trace, "%d %s ends %d wait %d\n", w.now, j.ID, j.State, j.RetryAfter)
		if w.ended[j] {
			w.breaks("job %s has two final answers", j.ID)
		}
		w.ended[j] = true
		for _, e := range j.Attempts {
			if maybe := !e.Outcome.NeverExecuted(); maybe && j.State == RequestRejected && (j.Class.Name == "once" || j.Class.Name == "mark") {
				w.breaks("job %s is dismissed though it may have run", j.ID)
			}
		}
		if j.RetryAfter > Second {
			w.breaks("job %s is to wait %d", j.ID, j.RetryAfter)
		}
	}
	for _, e := range d.Cancel {
		if e.Outcome == OutcomePending {
			w.end(e, OutcomeCancelled)
		}
	}
	w.started = append(w.started[:0], d.Dispatch...)
	for _, e := range d.Dispatch {
		fmt.Fprintf(&w.trace, "%d %s.%d to %s\n", w.now, e.Request.ID, e.Number, e.Node.Addr)
		w.check(e)
		w.out = append(w.out, e)
	}
	for _, line := range d.Log {
		fmt.Fprintln(&w.trace, line)
	}
	if d.NextWake <= w.now {
		w.breaks("next wake is not ahead")
	}
}

// check looks at one sending.
func (w *world) check(e *Attempt) {
	j, n := e.Request, e.Node
	if w.ended[j] {
		w.breaks("job %s is sent after its end", j.ID)
	}
	if w.told[n.Addr] != EndpointReady {
		w.breaks("%s is sent to though not ready", n.Addr)
	}
	if j.Shard >= 0 && j.Shard != n.Shard {
		w.breaks("job %s is sent to the wrong shard", j.ID)
	}
	for _, o := range j.Attempts[:e.Number] {
		switch name := j.Class.Name; {
		case o.Outcome.NeverExecuted():
		case name == "once", name == "mark" && (o.Node.Shard != n.Shard || w.now-o.SentAt >= 150*Millisecond):
			w.breaks("job %s may run twice", j.ID)
		}
	}
	if j.Class.Name == "line" {
		if w.rest[j.Key] > w.now && e.Number == 0 {
			w.breaks("job %s: key %d does not rest at %d", j.ID, j.Key, w.now)
		}
		for _, o := range w.lines[j.Key] {
			if o == j {
				break
			}
			if !w.ended[o] || o.out() > 0 {
				w.breaks("job %s overtakes %s", j.ID, o.ID)
			}
		}
	}
	within := func(list []Time) (n float64) {
		for _, at := range list {
			if at > w.now-Second {
				n++
			}
		}
		return n
	}
	if e.Number > 0 {
		w.further = append(w.further, w.now)
		if within(w.further) > 2+0.2*within(w.takes) {
			w.breaks("too many further executions")
		}
	} else if s := w.store[j.Volume]; j.Volume.ServiceLevel.RateLimit > 0 {
		s.Refill(w.now)
		if s.Level -= j.Units; s.Level < -1e-9 {
			w.breaks("job %s passes the limit", j.ID)
		}
	}
	units, execs := j.Units, 0
	for _, o := range w.out {
		if o.Node == n && !o.PresumedLost {
			units, execs = units+o.Request.Units, execs+1
		}
	}
	if execs > 0 && (execs > 1 || !w.g.light(n)) && !n.Suspected && units > w.g.bound(n)+1e-9 || units > 2*boundCeiling*w.g.mean {
		w.breaks("%s has %g units out in %d, told %g in %d, bound %g, at %d", n.Addr, units, execs, n.UnitsInFlight, n.AttemptsInFlight, w.g.bound(n), w.now)
	}
}

// pass lets time go by, with time-outs, and decides.
func (w *world) pass(span Time) {
	w.now += span
	for _, e := range append([]*Attempt(nil), w.out...) {
		if w.now >= e.Request.Deadline {
			w.end(e, OutcomeTimeout)
		}
	}
	w.decide()
	for _, j := range w.jobs {
		if !w.ended[j] && w.now > j.Deadline {
			w.breaks("job %s is lost", j.ID)
		}
	}
}

// wait lets a longer time go by in small steps.
func (w *world) wait(span Time) {
	for ; span > 0; span -= 20 * Millisecond {
		w.pass(min(span, 20*Millisecond))
	}
}
