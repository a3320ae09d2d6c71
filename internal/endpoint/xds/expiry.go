package xds

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Tick handles timeouts: it expires resources, marks assignments as stale, and reports overdue first responses.
func (s *Session) Tick(now int64) (out Outcome) {
	expired := s.expire(now, &out)
	s.checkFirstResponse(now, &out)
	missing := s.checkFirstEndpoints(now, &out)
	stale := s.markStale(now)
	if expired || missing || stale {
		s.update(now, &out)
	}
	return out
}

// expire drops resources whose time to live has elapsed, and returns whether there were any.
func (s *Session) expire(now int64, out *Outcome) (changed bool) {
	for _, all := range []resources{s.clusters, s.assignments} {
		for _, name := range slices.Sorted(maps.Keys(all)) {
			if r := all[name]; r.expiresAt == 0 || now < r.expiresAt {
				continue
			}
			out.addNote(fmt.Sprintf("%q expired: its time to live elapsed without an update", name))
			delete(all, name)
			changed = true
		}
	}
	return changed
}

// checkFirstResponse reports, once per stream, that the first response is overdue.
func (s *Session) checkFirstResponse(now int64, out *Outcome) {
	if at := s.firstResponseDue(); at == 0 || now < at {
		return
	}
	s.clusterSub.reportedOverdue = true
	out.Rejected = fmt.Errorf("no response to the first request for clusters within %v", time.Duration(s.fetchTimeout))
}

// firstResponseDue returns the deadline of the first response; 0 if it was received or was reported as overdue.
func (s *Session) firstResponseDue() int64 {
	if s.clusterSub.state != Requested || s.clusterSub.reportedOverdue {
		return 0
	}
	return s.clusterSub.since + s.fetchTimeout
}

// checkFirstEndpoints reports clusters whose first endpoints are overdue, and returns whether there were any. The
// session then stops waiting for them.
func (s *Session) checkFirstEndpoints(now int64, out *Outcome) (changed bool) {
	for name := range s.clusters {
		if at := s.firstEndpointsDue(name); at == 0 || now < at {
			continue
		}
		s.addedAt[name] = 0
		out.Rejected = fmt.Errorf("no endpoints of cluster %q received", name)
		changed = true
	}
	return changed
}

// firstEndpointsDue returns the deadline of a cluster's first endpoints; 0 if they were received or were reported as
// missing.
func (s *Session) firstEndpointsDue(cluster string) int64 {
	addedAt := s.addedAt[cluster]
	if addedAt <= 0 || s.clusters[cluster].cluster.assignment(s.assignments) != nil {
		return 0
	}
	return addedAt + s.fetchTimeout
}

// markStale marks assignments that were not updated for their StaleAfter, once each, and returns whether there were
// any.
func (s *Session) markStale(now int64) (changed bool) {
	for _, r := range s.assignments {
		if at := r.staleDue(); at > 0 && now >= at {
			r.receivedAt = -int64(r.assignment.StaleAfter) // stale at any time from now on
			changed = true
		}
	}
	return changed
}

// staleDue returns when an assignment becomes stale; 0 if it never does or already is.
func (r *resource) staleDue() int64 {
	if r.assignment == nil || r.assignment.StaleAfter <= 0 || r.receivedAt <= 0 {
		return 0
	}
	return r.receivedAt + int64(r.assignment.StaleAfter)
}

// NextDeadline returns when Tick is to be called next; 0 if nothing is pending.
func (s *Session) NextDeadline() (at int64) {
	consider := func(t int64) {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	for name, r := range s.clusters {
		consider(r.expiresAt)
		consider(s.firstEndpointsDue(name))
	}
	for _, r := range s.assignments {
		consider(r.expiresAt)
		consider(r.staleDue())
	}
	consider(s.firstResponseDue())
	return at
}
