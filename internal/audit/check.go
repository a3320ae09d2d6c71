package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Parameters are the figures of the rules. Times are nanoseconds.
type Parameters struct {
	Slack              int64   // after a client's limit during which an answer still counts
	Transit            int64   // longest way of an execution from a gateway to a node's record
	DrainGrace         int64   // of drains
	ListDelay          int64   // from a list's hand-out until a gateway has it, at most
	DedupWindow        int64   // how long the nodes of a group know a referenced job's repeats
	KeyRest            int64   // after an execution that may still run
	FreeRetries        float64 // further executions in a window
	RetryShare         float64
	RetryWindow        int64 // 0: no budget is stated
	SlowStartFrom      float64
	SlowStartTime      int64
	SlowStartMultiple  float64
	SlowStartWindow    int64
	SlowStartFreeUnits float64
	VolumeLimits       map[int64]VolumeLimit // by volume
}

// VolumeLimit is a volume's limit, in units a second and units.
type VolumeLimit struct{ Rate, Burst, Slack float64 }

// RuleResult is what was found of one rule.
type RuleResult struct {
	Name       string   `json:"name"`
	Checked    int      `json:"checked"` // how often it could have been broken
	Violations int      `json:"broken"`
	Examples   []string `json:"first,omitempty"` // the first few breaks
}

func (r *RuleResult) breaks(format string, args ...any) {
	if r.Violations++; len(r.Examples) < 5 {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// Names of the seven rules, as the brief has them.
const (
	RuleNoRequestLost     = "no job is lost"
	RuleNoDuplicateEffect = "no effect happens twice"
	RuleDraining          = "drains are kept"
	RuleSlowStart         = "a cold node is not pushed over"
	RuleOrdering          = "order is kept"
	RuleRetryBudget       = "further executions stay within the budget"
	RuleVolumeLimits      = "limits are kept"
)

// execution is one sending of a job, as a node's socket saw it.
type execution struct {
	Event
	answered int64 // 0: never
	never    bool  // its answer proves that it never ran
	off      int64 // when it was called off, or its connection broke; 0: never
}

// day is a record, put in order.
type day struct {
	terms    Parameters
	events   []Event
	execs    []*execution
	jobs     map[string][]*execution
	requests map[requestKey][]*execution
	killed   map[string][]int64    // gateways
	stood    map[string][][2]int64 // gateways, from when to when they were stopped
}

// limit is until when a request's answer counts: a gateway that stood still could not give it before it went on.
func (d *day) limit(a Event) int64 {
	gateway, _, _ := strings.Cut(a.Session, "/")
	limit := a.Deadline
	for _, s := range d.stood[gateway] {
		switch {
		case s[0] > a.Deadline || a.At > s[1]:
		case a.At+d.terms.Transit >= s[0]: // it was read once the gateway went on
			limit = max(limit, s[1]+a.Deadline-a.At)
		default:
			limit = max(limit, s[1])
		}
	}
	return limit + d.terms.Slack
}

// Check checks the rules.
func Check(events []Event, t Parameters) []RuleResult {
	d := &day{terms: t, events: slices.Clone(events), jobs: map[string][]*execution{},
		requests: map[requestKey][]*execution{}, killed: map[string][]int64{}, stood: map[string][][2]int64{}}
	slices.SortStableFunc(d.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	type number struct {
		job string
		n   int
	}
	byNumber, byConn := map[number]*execution{}, map[int64][]*execution{}
	for _, e := range d.events {
		switch e.Type {
		case AttemptReceived:
			x := &execution{Event: e}
			d.execs = append(d.execs, x)
			d.jobs[e.RequestID] = append(d.jobs[e.RequestID], x)
			byNumber[number{e.RequestID, e.Attempt}] = x
			byConn[e.Connection] = append(byConn[e.Connection], x)
			if session, id, _ := partsOf(e.RequestID); id > 0 {
				k := requestKey{session, id}
				d.requests[k] = append(d.requests[k], x)
			}
		case AttemptAnswered:
			if x := byNumber[number{e.RequestID, e.Attempt}]; x != nil {
				x.answered, x.never = e.At, e.NotExecuted
			}
		case AttemptCancelled:
			if x := byNumber[number{e.RequestID, e.Attempt}]; x != nil {
				x.off = e.At
			}
		case NodeConnectionEnded:
			for _, x := range byConn[e.Connection] {
				if x.off == 0 && x.answered == 0 {
					x.off = e.At
				}
			}
		case GatewayKilled:
			d.killed[e.Gateway] = append(d.killed[e.Gateway], e.At)
		case GatewayPaused:
			d.stood[e.Gateway] = append(d.stood[e.Gateway], [2]int64{e.At, e.At})
		case GatewayResumed:
			if n := len(d.stood[e.Gateway]); n > 0 {
				d.stood[e.Gateway][n-1][1] = e.At
			}
		}
	}
	return []RuleResult{d.lost(), d.twice(), d.drains(), d.cold(), d.order(), d.budget(), d.limits()}
}

type requestKey struct {
	session string
	id      uint32
}

// lost: each request that a running gateway has taken gets one answer in time, and none after its client has gone.
func (d *day) lost() RuleResult {
	r := RuleResult{Name: RuleNoRequestLost}
	asked, told, gone := map[requestKey]Event{}, map[requestKey]int{}, map[string]int64{}
	broke := map[string]bool{} // connections that broke while their gateway ran
	end := int64(0)
	var order []requestKey
	for _, e := range d.events {
		end = max(end, e.At)
		k := requestKey{e.Session, e.ClientRequest}
		switch e.Type {
		case RequestSent:
			asked[k] = e
			order = append(order, k)
		case ClientDisconnected:
			gone[e.Session] = e.At
			gateway, _, _ := strings.Cut(e.Session, "/")
			broke[e.Session] = e.State == "broke" && !slices.ContainsFunc(d.killed[gateway], func(at int64) bool {
				return at <= e.At+d.terms.Slack && e.At <= at+int64(5e9)
			})
		case ResponseReceived:
			a, known := asked[k]
			if told[k]++; told[k] > 1 {
				r.breaks("request %d of %s has %d answers", e.ClientRequest, e.Session, told[k])
			}
			for _, x := range d.requests[k] {
				if x.At > e.At+d.terms.Slack {
					r.breaks("execution %d of %s is sent %d ms after its final answer", x.Attempt, x.RequestID, (x.At-e.At)/1e6)
				}
			}
			if told[k] > 1 {
				continue
			}
			if !known {
				r.breaks("an answer to request %d of %s, which was never asked", e.ClientRequest, e.Session)
			} else if e.At > d.limit(a) {
				r.breaks("request %d of %s (%s) is answered %d ms after its client's limit", e.ClientRequest, e.Session, a.RequestClass,
					(e.At-a.Deadline)/1e6)
			}
		}
	}
	for _, k := range order {
		r.Checked++
		a := asked[k]
		left, went := gone[k.session]
		leftInTime := went && !broke[k.session] && left <= d.limit(a)
		if told[k] == 0 && !leftInTime && end > d.limit(a) {
			r.breaks("request %d of %s (%s) has no answer", k.id, k.session, a.RequestClass)
		}
	}
	return r
}

// twice: the effects of a mark are there once, and executions are added and jobs dismissed only where that is sure.
func (d *day) twice() RuleResult {
	r := RuleResult{Name: RuleNoDuplicateEffect}
	ran := map[string]int{}
	for _, e := range d.events {
		if e.Type == AttemptExecuted && e.Writes && e.Idempotency != 0 {
			r.Checked++
			if ran[e.IdempotencyKey]++; ran[e.IdempotencyKey] > 1 {
				r.breaks("the effect of %s is there %d times", e.IdempotencyKey, ran[e.IdempotencyKey])
			}
		}
	}
	for job, list := range d.jobs {
		for i, x := range list[1:] {
			r.Checked++
			for _, o := range list[:i+1] {
				proven := o.never && o.answered <= x.At
				switch {
				case proven || x.Idempotency == 0:
				case x.Idempotency == 2:
					r.breaks("single-use job %s is sent again while execution %d may have run", job, o.Attempt)
				case o.Shard != x.Shard:
					r.breaks("referenced job %s is sent to shard %d after %d", job, x.Shard, o.Shard)
				case x.At-o.At > d.terms.DedupWindow:
					r.breaks("referenced job %s is sent again after %d ms", job, (x.At-o.At)/1e6)
				}
			}
		}
	}
	for _, e := range d.events { // a dismissal promises that trying again is harmless
		if e.Type != ResponseReceived || e.Outcome != Rejected {
			continue
		}
		r.Checked++
		for _, x := range d.requests[requestKey{e.Session, e.ClientRequest}] {
			neverRan := x.never && x.answered <= e.At
			if x.Idempotency != 0 && x.Writes && !neverRan {
				r.breaks("request %d of %s is dismissed while execution %d of %s may have run", e.ClientRequest, e.Session, x.Attempt, x.RequestID)
			}
		}
	}
	return r
}

// drains: nothing new to a node later than the grace after the list said that it drains or is gone.
func (d *day) drains() RuleResult {
	r := RuleResult{Name: RuleDraining}
	since := map[string]int64{}
	for _, e := range d.events {
		switch e.Type {
		case NodeListed:
			if e.State == "ready" {
				delete(since, e.Node)
			} else if _, known := since[e.Node]; !known {
				since[e.Node] = e.At
				r.Checked++
			}
		case AttemptReceived:
			if at, out := since[e.Node]; out && e.At > at+d.terms.ListDelay+d.terms.DrainGrace {
				r.breaks("%s gets execution %d of %s %d ms after it was listed as leaving", e.Node, e.Attempt, e.RequestID, (e.At-at)/1e6)
			}
		}
	}
	return r
}

// order: nothing is sent for a job while an earlier one of its key, taken by the same gateway, is out, nor before the
// key has rested after one that may still run.
func (d *day) order() RuleResult {
	r := RuleResult{Name: RuleOrdering}
	type line struct {
		gateway string
		key     int64
	}
	lines := map[line][]*execution{}
	for _, x := range d.execs {
		if x.OrderingKey == 0 {
			continue
		}
		session, _, count := partsOf(x.RequestID)
		gateway := session // with its boot: a gateway that was started anew does not know what it had sent
		if i := strings.LastIndexByte(session, '/'); i > 0 {
			gateway = session[:i]
		}
		k := line{gateway, x.OrderingKey}
		for _, o := range lines[k] {
			if o.RequestID == x.RequestID {
				continue
			}
			r.Checked++
			over := o.At + o.Timeout + d.terms.KeyRest // if it timed out at the gateway
			if o.off > 0 {
				over = min(over, o.off+d.terms.KeyRest)
			}
			over -= d.terms.Transit
			if o.answered > 0 {
				over = min(over, o.answered)
			}
			if x.At < over {
				r.breaks("%s is sent for key %d while %s may run, %d ms early", x.RequestID, x.OrderingKey, o.RequestID, (over-x.At)/1e6)
			}
			if _, _, n := partsOf(o.RequestID); n > count && x.Attempt == 0 {
				r.breaks("%s is sent for key %d after the later %s", x.RequestID, x.OrderingKey, o.RequestID)
			}
		}
		list := lines[k]
		if len(list) > 64 {
			list = list[1:]
		}
		lines[k] = append(list, x)
	}
	return r
}

// budget: the further executions of a gateway in any window stay under a few plus a share of the jobs taken in it.
func (d *day) budget() RuleResult {
	r := RuleResult{Name: RuleRetryBudget}
	if d.terms.RetryWindow == 0 {
		return r
	}
	taken, further := map[string][]int64{}, map[string][]int64{}
	for _, e := range d.events {
		switch e.Type {
		case RequestSent:
			gateway, _, _ := strings.Cut(e.Session, "/")
			taken[gateway] = append(taken[gateway], e.At)
		case AttemptReceived:
			if e.Attempt == 0 {
				taken[e.Gateway+" jobs"] = append(taken[e.Gateway+" jobs"], e.At)
				continue
			}
			further[e.Gateway] = append(further[e.Gateway], e.At)
			within := func(list []int64) (n float64) {
				for i := len(list) - 1; i >= 0 && list[i] > e.At-d.terms.RetryWindow; i-- {
					n++
				}
				return n
			}
			most := d.terms.FreeRetries + d.terms.RetryShare*max(within(taken[e.Gateway]), within(taken[e.Gateway+" jobs"]))
			if r.Checked++; within(further[e.Gateway]) > most+1 { // an edge of the window may lie between two clocks
				r.breaks("%s sends %.0f further executions in a window, %.1f are allowed", e.Gateway, within(further[e.Gateway]), most)
			}
		}
	}
	return r
}

// limits: what all gateways send of a volume's jobs, at their first sending, stays in the volume's store.
func (d *day) limits() RuleResult {
	r := RuleResult{Name: RuleVolumeLimits}
	type store struct {
		level float64
		at    int64
	}
	stores := map[int64]*store{}
	for _, x := range d.execs {
		l, limited := d.terms.VolumeLimits[x.Volume]
		if !limited || x.Attempt > 0 {
			continue
		}
		s := stores[x.Volume]
		if s == nil {
			s = &store{l.Burst, x.At}
			stores[x.Volume] = s
		}
		s.level = min(l.Burst, s.level+l.Rate*float64(x.At-s.at)/1e9) - x.Units
		s.at = x.At
		if r.Checked++; s.level < -l.Slack-1e-6 {
			r.breaks("volume %d is %.1f units over its limit", x.Volume, -s.level)
		}
	}
	return r
}
