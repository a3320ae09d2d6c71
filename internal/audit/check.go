package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Terms are the figures of the rules. Times are nanoseconds.
type Terms struct {
	Slack         int64   // after a client's limit during which an answer still counts
	Transit       int64   // longest way of an execution from a gateway to a node's record
	Grace         int64   // of drains
	ListDelay     int64   // from a list's hand-out until a gateway has it, at most
	Window        int64   // how long the nodes of a group know a referenced job's repeats
	KeyRest       int64   // after an execution that may still run
	FurtherFree   float64 // further executions in a window
	FurtherShare  float64
	FurtherWindow int64 // 0: no budget is stated
	ColdFrom      float64
	ColdTime      int64
	ColdMultiple  float64
	ColdWindow    int64
	ColdUnits     float64
	Limits        map[int64]Limit // by volume
}

// Limit is a volume's limit, in units a second and units.
type Limit struct{ Rate, Burst, Slack float64 }

// Rule is what was found of one rule.
type Rule struct {
	Name    string   `json:"name"`
	Checked int      `json:"checked"` // how often it could have been broken
	Broken  int      `json:"broken"`
	First   []string `json:"first,omitempty"` // the first few breaks
}

func (r *Rule) breaks(format string, args ...any) {
	if r.Broken++; len(r.First) < 5 {
		r.First = append(r.First, fmt.Sprintf(format, args...))
	}
}

// Names of the seven rules, as the brief has them.
const (
	NoneLost   = "no job is lost"
	NoneTwice  = "no effect happens twice"
	Drains     = "drains are kept"
	Cold       = "a cold node is not pushed over"
	Order      = "order is kept"
	Budget     = "further executions stay within the budget"
	LimitsKept = "limits are kept"
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
	terms    Terms
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
	limit := a.Limit
	for _, s := range d.stood[gateway] {
		switch {
		case s[0] > a.Limit || a.At > s[1]:
		case a.At+d.terms.Transit >= s[0]: // it was read once the gateway went on
			limit = max(limit, s[1]+a.Limit-a.At)
		default:
			limit = max(limit, s[1])
		}
	}
	return limit + d.terms.Slack
}

// Check checks the rules.
func Check(events []Event, t Terms) []Rule {
	d := &day{terms: t, events: slices.Clone(events), jobs: map[string][]*execution{},
		requests: map[requestKey][]*execution{}, killed: map[string][]int64{}, stood: map[string][][2]int64{}}
	slices.SortStableFunc(d.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	type number struct {
		job string
		n   int
	}
	byNumber, byConn := map[number]*execution{}, map[int64][]*execution{}
	for _, e := range d.events {
		switch e.What {
		case Got:
			x := &execution{Event: e}
			d.execs = append(d.execs, x)
			d.jobs[e.Job] = append(d.jobs[e.Job], x)
			byNumber[number{e.Job, e.Number}] = x
			byConn[e.Conn] = append(byConn[e.Conn], x)
			if session, id, _ := partsOf(e.Job); id > 0 {
				k := requestKey{session, id}
				d.requests[k] = append(d.requests[k], x)
			}
		case Gave:
			if x := byNumber[number{e.Job, e.Number}]; x != nil {
				x.answered, x.never = e.At, e.Never
			}
		case Called:
			if x := byNumber[number{e.Job, e.Number}]; x != nil {
				x.off = e.At
			}
		case Broke:
			for _, x := range byConn[e.Conn] {
				if x.off == 0 && x.answered == 0 {
					x.off = e.At
				}
			}
		case Killed:
			d.killed[e.Gateway] = append(d.killed[e.Gateway], e.At)
		case Stood:
			d.stood[e.Gateway] = append(d.stood[e.Gateway], [2]int64{e.At, e.At})
		case WentOn:
			if n := len(d.stood[e.Gateway]); n > 0 {
				d.stood[e.Gateway][n-1][1] = e.At
			}
		}
	}
	return []Rule{d.lost(), d.twice(), d.drains(), d.cold(), d.order(), d.budget(), d.limits()}
}

type requestKey struct {
	session string
	id      uint32
}

// lost: each request that a running gateway has taken gets one answer in time, and none after its client has gone.
func (d *day) lost() Rule {
	r := Rule{Name: NoneLost}
	asked, told, gone := map[requestKey]Event{}, map[requestKey]int{}, map[string]int64{}
	broke := map[string]bool{} // connections that broke while their gateway ran
	end := int64(0)
	var order []requestKey
	for _, e := range d.events {
		end = max(end, e.At)
		k := requestKey{e.Session, e.ID}
		switch e.What {
		case Asked:
			asked[k] = e
			order = append(order, k)
		case ClientGo:
			gone[e.Session] = e.At
			gateway, _, _ := strings.Cut(e.Session, "/")
			broke[e.Session] = e.Word == "broke" && !slices.ContainsFunc(d.killed[gateway], func(at int64) bool {
				return at <= e.At+d.terms.Slack && e.At <= at+int64(5e9)
			})
		case Told:
			a, known := asked[k]
			if told[k]++; told[k] > 1 {
				r.breaks("request %d of %s has %d answers", e.ID, e.Session, told[k])
			}
			for _, x := range d.requests[k] {
				if x.At > e.At+d.terms.Slack {
					r.breaks("execution %d of %s is sent %d ms after its final answer", x.Number, x.Job, (x.At-e.At)/1e6)
				}
			}
			if told[k] > 1 {
				continue
			}
			if !known {
				r.breaks("an answer to request %d of %s, which was never asked", e.ID, e.Session)
			} else if e.At > d.limit(a) {
				r.breaks("request %d of %s (%s) is answered %d ms after its client's limit", e.ID, e.Session, a.Product,
					(e.At-a.Limit)/1e6)
			}
		}
	}
	for _, k := range order {
		r.Checked++
		a := asked[k]
		left, went := gone[k.session]
		leftInTime := went && !broke[k.session] && left <= d.limit(a)
		if told[k] == 0 && !leftInTime && end > d.limit(a) {
			r.breaks("request %d of %s (%s) has no answer", k.id, k.session, a.Product)
		}
	}
	return r
}

// twice: the effects of a mark are there once, and executions are added and jobs dismissed only where that is sure.
func (d *day) twice() Rule {
	r := Rule{Name: NoneTwice}
	ran := map[string]int{}
	for _, e := range d.events {
		if e.What == Ran && e.Change && e.Kind != 0 {
			r.Checked++
			if ran[e.Mark]++; ran[e.Mark] > 1 {
				r.breaks("the effect of %s is there %d times", e.Mark, ran[e.Mark])
			}
		}
	}
	for job, list := range d.jobs {
		for i, x := range list[1:] {
			r.Checked++
			for _, o := range list[:i+1] {
				proven := o.never && o.answered <= x.At
				switch {
				case proven || x.Kind == 0:
				case x.Kind == 2:
					r.breaks("single-use job %s is sent again while execution %d may have run", job, o.Number)
				case o.Shard != x.Shard:
					r.breaks("referenced job %s is sent to shard %d after %d", job, x.Shard, o.Shard)
				case x.At-o.At > d.terms.Window:
					r.breaks("referenced job %s is sent again after %d ms", job, (x.At-o.At)/1e6)
				}
			}
		}
	}
	for _, e := range d.events { // a dismissal promises that trying again is harmless
		if e.What != Told || e.Answer != Dismissed {
			continue
		}
		r.Checked++
		for _, x := range d.requests[requestKey{e.Session, e.ID}] {
			neverRan := x.never && x.answered <= e.At
			if x.Kind != 0 && x.Change && !neverRan {
				r.breaks("request %d of %s is dismissed while execution %d of %s may have run", e.ID, e.Session, x.Number, x.Job)
			}
		}
	}
	return r
}

// drains: nothing new to a node later than the grace after the list said that it drains or is gone.
func (d *day) drains() Rule {
	r := Rule{Name: Drains}
	since := map[string]int64{}
	for _, e := range d.events {
		switch e.What {
		case Listed:
			if e.Word == "ready" {
				delete(since, e.Node)
			} else if _, known := since[e.Node]; !known {
				since[e.Node] = e.At
				r.Checked++
			}
		case Got:
			if at, out := since[e.Node]; out && e.At > at+d.terms.ListDelay+d.terms.Grace {
				r.breaks("%s gets execution %d of %s %d ms after it was listed as leaving", e.Node, e.Number, e.Job, (e.At-at)/1e6)
			}
		}
	}
	return r
}

// order: nothing is sent for a job while an earlier one of its key, taken by the same gateway, is out, nor before the
// key has rested after one that may still run.
func (d *day) order() Rule {
	r := Rule{Name: Order}
	type line struct {
		gateway string
		key     int64
	}
	lines := map[line][]*execution{}
	for _, x := range d.execs {
		if x.Key == 0 {
			continue
		}
		session, _, count := partsOf(x.Job)
		gateway := session // with its boot: a gateway that was started anew does not know what it had sent
		if i := strings.LastIndexByte(session, '/'); i > 0 {
			gateway = session[:i]
		}
		k := line{gateway, x.Key}
		for _, o := range lines[k] {
			if o.Job == x.Job {
				continue
			}
			r.Checked++
			over := o.At + o.Left + d.terms.KeyRest // if it timed out at the gateway
			if o.off > 0 {
				over = min(over, o.off+d.terms.KeyRest)
			}
			over -= d.terms.Transit
			if o.answered > 0 {
				over = min(over, o.answered)
			}
			if x.At < over {
				r.breaks("%s is sent for key %d while %s may run, %d ms early", x.Job, x.Key, o.Job, (over-x.At)/1e6)
			}
			if _, _, n := partsOf(o.Job); n > count && x.Number == 0 {
				r.breaks("%s is sent for key %d after the later %s", x.Job, x.Key, o.Job)
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
func (d *day) budget() Rule {
	r := Rule{Name: Budget}
	if d.terms.FurtherWindow == 0 {
		return r
	}
	taken, further := map[string][]int64{}, map[string][]int64{}
	for _, e := range d.events {
		switch e.What {
		case Asked:
			gateway, _, _ := strings.Cut(e.Session, "/")
			taken[gateway] = append(taken[gateway], e.At)
		case Got:
			if e.Number == 0 {
				taken[e.Gateway+" jobs"] = append(taken[e.Gateway+" jobs"], e.At)
				continue
			}
			further[e.Gateway] = append(further[e.Gateway], e.At)
			within := func(list []int64) (n float64) {
				for i := len(list) - 1; i >= 0 && list[i] > e.At-d.terms.FurtherWindow; i-- {
					n++
				}
				return n
			}
			most := d.terms.FurtherFree + d.terms.FurtherShare*max(within(taken[e.Gateway]), within(taken[e.Gateway+" jobs"]))
			if r.Checked++; within(further[e.Gateway]) > most+1 { // an edge of the window may lie between two clocks
				r.breaks("%s sends %.0f further executions in a window, %.1f are allowed", e.Gateway, within(further[e.Gateway]), most)
			}
		}
	}
	return r
}

// limits: what all gateways send of a volume's jobs, at their first sending, stays in the volume's store.
func (d *day) limits() Rule {
	r := Rule{Name: LimitsKept}
	type store struct {
		level float64
		at    int64
	}
	stores := map[int64]*store{}
	for _, x := range d.execs {
		l, limited := d.terms.Limits[x.Volume]
		if !limited || x.Number > 0 {
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
