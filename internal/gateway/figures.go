package gateway

import (
	"slices"
	"strings"

	"irispost/scheduler"
)

// Counts are the jobs of a product by what became of them.
type Counts struct {
	Accepted, Succeeded, Rejected, Failed, Cancelled int64
}

// Stats are what a gateway has done since its start.
type Stats struct {
	Classes        map[string]*Counts
	InFlight       int            // jobs without their final answer
	Attempts       int            // executions out
	AttemptsByNode map[string]int // executions out, by node
	LateReplies    int64          // answers of nodes that came after their execution was given up
}

func (f *Stats) of(product string) *Counts {
	c := f.Classes[product]
	if c == nil {
		c = &Counts{}
		f.Classes[product] = c
	}
	return c
}

func (c *Counts) count(s scheduler.RequestState) {
	switch s {
	case scheduler.RequestSucceeded:
		c.Succeeded++
	case scheduler.RequestRejected:
		c.Rejected++
	case scheduler.RequestFailed:
		c.Failed++
	case scheduler.RequestClientCancelled:
		c.Cancelled++
	}
}

// StateName is the word for a job's final state.
func StateName(s scheduler.RequestState) string {
	switch s {
	case scheduler.RequestSucceeded:
		return "completed"
	case scheduler.RequestRejected:
		return "dismissed"
	case scheduler.RequestFailed:
		return "written off"
	case scheduler.RequestClientCancelled:
		return "left"
	}
	return "held"
}

// Stats tells what the gateway has done; false when it has ended.
func (l *Loop) Stats() (Stats, bool) {
	answer := make(chan Stats, 1)
	ok := l.post(func(scheduler.Time) {
		f := Stats{Classes: map[string]*Counts{}, AttemptsByNode: map[string]int{}, Attempts: len(l.due), LateReplies: l.opt.Nodes.LateReplies()}
		for name, c := range l.figures.Classes {
			copied := *c
			f.Classes[name] = &copied
		}
		for _, j := range l.jobs {
			if !j.over {
				f.InFlight++
			}
		}
		for _, e := range l.due {
			f.AttemptsByNode[e.decided.Node.Addr]++
		}
		answer <- f
	})
	if !ok {
		return Stats{}, false
	}
	select {
	case f := <-answer:
		return f, true
	case <-l.ended:
		return Stats{}, false
	}
}

// sortJobs puts jobs in the order in which they were taken, so that what the module is told does not hang on the
// order of a map.
func sortJobs(list []*job) {
	slices.SortFunc(list, func(a, b *job) int {
		x, y := a.decided.ID, b.decided.ID
		if len(x) != len(y) { // of one session, so the longer has the higher number
			return len(x) - len(y)
		}
		return strings.Compare(x, y)
	})
}
