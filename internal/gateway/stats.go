package gateway

import "irispost/scheduler"

// Counts are the requests of a class by their final state.
type Counts struct {
	Accepted, Succeeded, Rejected, Failed, Cancelled int64
}

// add counts a request that has reached a final state.
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

// Stats are what a gateway has done since its start.
type Stats struct {
	Classes        map[string]*Counts
	InFlight       int            // requests without their final answer
	Attempts       int            // attempts in flight
	AttemptsByNode map[string]int // attempts in flight, by the node's address
	LateReplies    int64          // replies of nodes that came after their attempt was given up
}

// forClass returns the counts of a class.
func (s *Stats) forClass(class string) *Counts {
	c := s.Classes[class]
	if c == nil {
		c = &Counts{}
		s.Classes[class] = c
	}
	return c
}

// Stats returns what the gateway has done; false when the loop has ended.
func (l *Loop) Stats() (Stats, bool) {
	return callLoop(l, func(scheduler.Time) Stats { return l.collectStats() })
}

// collectStats copies the counts and counts what is in flight.
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

// StateName is the word for a request's final state in reports.
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
