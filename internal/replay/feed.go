package replay

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/capture"
	"irispost/internal/endpoint"
	"irispost/internal/gateway"
	"irispost/internal/snapshot"
	"irispost/scheduler"
)

// Feed takes one record.
func (r *Replay) Feed(rec *capture.Record) error {
	if r.opt.Until > 0 && r.module != nil && rec.At-r.report.from > r.opt.Until {
		r.move(Ended, "the time asked for")
		return nil
	}
	r.report.Records++
	if r.module != nil && rec.Kind != capture.End {
		r.report.Span = rec.At - r.report.from
	}
	switch rec.Kind {
	case capture.Header:
		r.report.Gateway, r.report.Build = rec.Name, rec.Build
		r.report.SameModule = rec.Digest == xxhash.Sum64(scheduler.PolicySource)
		return nil
	case capture.Start:
		r.start(rec)
		return nil
	case capture.Gap:
		r.report.Gaps++
		r.move(Gapped, fmt.Sprintf("%d records were dropped, %.3f s after the start", rec.Dropped, float64(r.report.Span)/1e9))
		r.module = nil
		return nil
	case capture.State:
		return r.restore(rec)
	case capture.End:
		return nil
	}
	if r.module == nil {
		return nil // until the module's start or its next state
	}
	switch rec.Kind {
	case capture.Listed, capture.ListedPart:
		gateway.ApplyEndpointList(r.module, rec.At, endpoint.List{Stale: rec.Stale, Nodes: rec.Nodes}, rec.Kind == capture.Listed)
	case capture.ListFailed, capture.ListSilent:
		r.module.EndpointListFailed(rec.At, rec.Kind == capture.ListSilent)
	case capture.Agreed:
		r.learn(rec.Terms)
		r.module.ApplySettings(rec.At, rec.Terms)
	case capture.Lent:
		r.module.AllocateSlowStart(rec.At, rec.Node, rec.Born, rec.Units, rec.Till)
	case capture.Begun:
		r.tell(rec.Job, rec.At, "execution %d: its answer begins to flow", rec.Number)
		r.module.ResponseStarted(rec.At, rec.Job, rec.Number)
	case capture.Take:
		r.take(rec)
	case capture.Ended:
		addr, n := r.outcomeAt(rec)
		r.tell(rec.Job, rec.At, "execution %d at %s: %s after %.1f ms; the node lately: %.1f ms, %.0f%% not served, %d out from here, %d held",
			rec.Number, addr, outcome(rec.Outcome), float64(rec.Took)/1e6, float64(n.took)/1e6, 100*n.failing, n.out, n.held)
		r.at(addr, rec.At, "%s, execution %d: %s after %.1f ms; lately %.1f ms, %.0f%% not served, %d out, %d held", rec.Job, rec.Number,
			outcome(rec.Outcome), float64(rec.Took)/1e6, float64(n.took)/1e6, 100*n.failing, n.out, n.held)
		if j := r.jobs[rec.Job]; j != nil && rec.Final && rec.Outcome == scheduler.OutcomeServed {
			j.product.Completed++
			if rec.At <= j.goalBy {
				j.product.InGoal++
			}
			r.tell(rec.Job, rec.At, "completed")
			delete(r.jobs, rec.Job)
		}
		r.module.AttemptFinished(rec.At, rec.Job, rec.Number, rec.Outcome, rec.Took, rec.Final, rec.Others)
	case capture.Left:
		if j := r.jobs[rec.Job]; j != nil {
			j.product.Left++
			r.tell(rec.Job, rec.At, "its client has gone")
			delete(r.jobs, rec.Job)
		}
		r.module.ClientLeft(rec.At, rec.Job)
	case capture.Decided:
		r.decided(rec)
	}
	r.before = append(r.before, *rec)
	if len(r.before) > 2*r.opt.Keep {
		r.before = append(r.before[:0], r.before[r.opt.Keep:]...)
	}
	return nil
}

// restore goes on from a full state. What the replay itself knows of jobs is void.
func (r *Replay) restore(rec *capture.Record) error {
	if r.module != nil {
		return nil // it is there already, and was compared so far
	}
	g, err := snapshot.Restore[scheduler.Scheduler]([]byte(rec.State), scheduler.StoredNames)
	if err != nil {
		return fmt.Errorf("record %d, the module's state: %w", r.report.Records, err)
	}
	if r.module = g; r.report.from == 0 {
		r.report.from = rec.At
	}
	r.jobs = map[string]*job{}
	r.move(Running, r.report.Why)
	return nil
}

func (r *Replay) start(rec *capture.Record) {
	r.module = scheduler.New(rec.At, rec.Seed, rec.Terms)
	r.report.from, r.jobs = rec.At, map[string]*job{} // of one that was killed, nothing is left
	r.learn(rec.Terms)
	r.move(Running, "")
}

// learn takes the products' goals from terms.
func (r *Replay) learn(terms scheduler.Settings) {
	for i := 0; ; i++ {
		item := fmt.Sprintf("products.%d.", i)
		name, there := terms[item+"name"]
		if !there {
			return
		}
		var ms float64
		_, _ = fmt.Sscan(terms[item+"goal"], &ms)
		r.goals[name] = scheduler.Time(ms * 1e6)
	}
}

func (r *Replay) take(rec *capture.Record) {
	p := r.products[rec.Product]
	if p == nil {
		p = &Product{Name: rec.Product}
		r.products[rec.Product] = p
		r.report.Products = append(r.report.Products, p)
	}
	p.Jobs++
	r.jobs[rec.Job] = &job{product: p, goalBy: rec.At + r.goals[rec.Product]}
	r.tell(rec.Job, rec.At, "taken: %s of volume %d (%s), %.2f units, shard %d", rec.Product, rec.Volume, rec.Plan, rec.Units, rec.Shard)
	j := &scheduler.Request{ID: rec.Job, Units: rec.Units, Shard: rec.Shard, Key: rec.Key, Write: rec.Write, Deadline: rec.StopBy}
	r.module.Submit(rec.At, j, rec.Volume, rec.Plan, rec.Product, rec.Hosts, rec.Keyed)
}

// seen is what the replay has seen of a node.
type seen struct {
	out     int
	took    scheduler.Time // of the latest executions, averaged
	failing float64        // share of them that were not served
	held    int            // by its last load report
}

func execution(job string, number int) string { return job + " " + strconv.Itoa(number) }

func (r *Replay) node(addr string) *seen {
	n := r.seen[addr]
	if n == nil {
		n = &seen{}
		r.seen[addr] = n
	}
	return n
}

// outcomeAt notes an outcome at its node, and returns what is seen of the node since.
func (r *Replay) outcomeAt(rec *capture.Record) (addr string, n *seen) {
	key := execution(rec.Job, rec.Number)
	addr = r.nodes[key]
	delete(r.nodes, key)
	n = r.node(addr)
	failed := 1.0
	if rec.Outcome == scheduler.OutcomeServed {
		failed = 0
		n.took += (rec.Took - n.took) / 8
		n.held = rec.Inflight
	}
	n.failing += (failed - n.failing) / 8
	n.out = max(n.out-1, 0)
	return addr, n
}

// at adds to a node's story.
func (r *Replay) at(addr string, at scheduler.Time, format string, args ...any) {
	if addr != "" && addr == r.opt.Node {
		r.report.Story = append(r.report.Story, fmt.Sprintf("%10.3f ms  ", float64(at-r.report.from)/1e6)+fmt.Sprintf(format, args...))
	}
}

// tell adds to a job's story.
func (r *Replay) tell(id string, at scheduler.Time, format string, args ...any) {
	line := fmt.Sprintf("%10.3f ms  ", float64(at-r.report.from)/1e6) + fmt.Sprintf(format, args...)
	if id == r.opt.Job {
		r.report.Story = append(r.report.Story, line)
	}
	if j := r.jobs[id]; j != nil {
		j.story = append(j.story, line)
	}
}

// decided asks the module and compares.
func (r *Replay) decided(rec *capture.Record) {
	r.report.Decisions++
	now := capture.DecisionOf(r.module.Decide(rec.At))
	if !now.Equal(rec.Decision) {
		d := &Difference{Record: r.report.Records, At: rec.At - r.report.from, Captured: rec.Decision, Now: now,
			Before: slices.Clone(r.before[max(0, len(r.before)-r.opt.Keep):])}
		if d.Job = firstJob(rec.Decision, now); d.Job != "" {
			if j := r.jobs[d.Job]; j != nil {
				d.Story = j.story
			}
		}
		if r.report.Differing++; r.report.Difference == nil {
			r.report.Difference = d
		}
		if !r.opt.All {
			r.move(Parted, "")
			return
		}
	}
	for _, e := range now.Sent {
		r.nodes[execution(e.Job, e.Number)] = e.Node
		n := r.node(e.Node)
		n.out++
		r.tell(e.Job, rec.At, "execution %d is sent to %s, which now has %d out from here; %d jobs have no answer yet", e.Number, e.Node,
			n.out, len(r.jobs))
		r.at(e.Node, rec.At, "%s, execution %d is sent, %d out", e.Job, e.Number, n.out)
	}
	for _, e := range now.CallOff {
		r.tell(e.Job, rec.At, "execution %d is called off", e.Number)
	}
	for _, a := range now.Ended {
		r.tell(a.Job, rec.At, "%s, to come back in %.0f ms", gateway.StateName(a.State), float64(a.Wait)/1e6)
		if j := r.jobs[a.Job]; j != nil {
			if a.State == scheduler.RequestRejected {
				j.product.Dismissed++
			} else {
				j.product.WrittenOff++
			}
			delete(r.jobs, a.Job)
		}
	}
}

// firstJob is the first job that two decisions treat otherwise.
func firstJob(a, b capture.Decision) string {
	for i := range max(len(a.Ended), len(b.Ended)) {
		if i >= len(a.Ended) {
			return b.Ended[i].Job
		}
		if i >= len(b.Ended) || a.Ended[i] != b.Ended[i] {
			return a.Ended[i].Job
		}
	}
	for _, pair := range [][2][]capture.Execution{{a.Sent, b.Sent}, {a.CallOff, b.CallOff}} {
		for i := range max(len(pair[0]), len(pair[1])) {
			if i >= len(pair[0]) {
				return pair[1][i].Job
			}
			if i >= len(pair[1]) || pair[0][i] != pair[1][i] {
				return pair[0][i].Job
			}
		}
	}
	return ""
}

var outcomes = [...]string{scheduler.OutcomePending: "out", scheduler.OutcomeServed: "served", scheduler.OutcomeError: "failed", scheduler.OutcomeOverloaded: "turned away as full",
	scheduler.OutcomeTimeout: "timed out", scheduler.OutcomeConnectFailed: "no connection", scheduler.OutcomeReset: "the connection broke",
	scheduler.OutcomeCancelled: "called off", scheduler.OutcomeMisdirected: "not this shard"}

func outcome(o scheduler.Outcome) string {
	if int(o) < len(outcomes) {
		return outcomes[o]
	}
	return fmt.Sprintf("outcome %d", o)
}

// Report is what the replay has come to.
func (r *Replay) Report() *Report {
	r.report.How = r.report.State.String()
	slices.SortFunc(r.report.Products, func(a, b *Product) int { return cmp.Compare(a.Name, b.Name) })
	return &r.report
}

// Same tells whether all that could be replayed was decided as in the capture.
func (r *Report) Same() bool { return r.Difference == nil && r.Decisions > 0 }
