package gateway

import "irispost/scheduler"

// Counts are the numbers of requests of a class: all accepted ones, and the finished ones by final state.
type Counts struct {
	Accepted, Succeeded, Rejected, Failed, Cancelled int64
}

// add counts a request with its final state.
func (c *Counts) add(state scheduler.RequestState) {
	switch state {
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

// Stats are a gateway's counters since its start and its current load.
type Stats struct {
	Classes        map[string]*Counts // by name
	InFlight       int                // requests without a final answer
	Attempts       int                // attempts in flight
	AttemptsByNode map[string]int     // attempts in flight by node address
	LateReplies    int64              // node replies that arrived after their attempt was cancelled
}

// forClass returns the counts of a class, which it adds if needed.
func (s *Stats) forClass(class string) *Counts {
	c := s.Classes[class]
	if c == nil {
		c = &Counts{}
		s.Classes[class] = c
	}
	return c
}

// Stats returns a copy of the gateway's statistics. The second result is false if the loop has ended.
func (l *Loop) Stats() (Stats, bool) {
	return callLoop(l, func(scheduler.Time) Stats { return l.collectStats() })
}

// collectStats copies the counters and counts the requests and attempts in flight.
func (l *Loop) collectStats() Stats {
	s := Stats{
		Classes:        map[string]*Counts{},
		AttemptsByNode: map[string]int{},
		Attempts:       len(l.timeouts),
		LateReplies:    l.opt.Nodes.LateReplies(),
	}
	for name, counts := range l.stats.Classes {
		copied := *counts
		s.Classes[name] = &copied
	}
	for _, r := range l.requests {
		if !r.finished {
			s.InFlight++
		}
	}
	for _, a := range l.timeouts {
		s.AttemptsByNode[a.scheduled.Node.Addr]++
	}
	return s
}

// StateName returns the name of a request's state in reports.
func StateName(state scheduler.RequestState) string {
	switch state {
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
