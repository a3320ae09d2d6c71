package xds

import (
	"fmt"
	"maps"
	"slices"

	"irispost/internal/endpoint"
)

// checkConsistency checks new resources of one type together with those in force of the other type: each address may
// be in one cluster only, and the limits on clusters and endpoints hold.
func (s *Session) checkConsistency(sub *subscription, next resources) error {
	clusters, assignments := next, s.assignments
	if sub == &s.endpointSub {
		clusters, assignments = s.clusters, next
	}
	if len(clusters) > MaxClusters {
		return fmt.Errorf("%d clusters exceed the limit of %d", len(clusters), MaxClusters)
	}
	clusterOf, count := map[string]string{}, 0
	for _, name := range slices.Sorted(maps.Keys(clusters)) {
		a := clusters[name].cluster.assignment(assignments)
		if a == nil {
			continue
		}
		count += len(a.Nodes)
		if count > MaxEndpoints {
			return fmt.Errorf("more than %d endpoints", MaxEndpoints)
		}
		for _, n := range a.Nodes {
			if other := clusterOf[n.Addr]; other != "" {
				return fmt.Errorf("endpoint %s is in clusters %q and %q", n.Addr, other, name)
			}
			clusterOf[n.Addr] = name
		}
	}
	return nil
}

// assignment returns a cluster's assignment, inline or found by its service name; nil if there is none yet.
func (c *Cluster) assignment(assignments resources) *Assignment {
	if c.Inline != nil {
		return c.Inline
	}
	if r := assignments[c.ServiceName]; r != nil {
		return r.assignment
	}
	return nil
}

// replaceClusters puts clusters in force. Clusters that were removed stay in use until each of the new ones has its
// endpoints (make before break).
func (s *Session) replaceClusters(now int64, next resources) {
	for name, r := range s.clusters {
		if next[name] == nil {
			s.removed[name] = r
		}
	}
	for name := range next {
		delete(s.removed, name)
		if s.clusters[name] == nil {
			s.addedAt[name] = now
		}
	}
	s.clusters = next
}

// warming reports whether any cluster is still waiting for its first endpoints.
func (s *Session) warming(now int64) bool {
	for name, r := range s.clusters {
		if r.cluster.assignment(s.assignments) == nil && now < s.addedAt[name]+s.fetchTimeout {
			return true
		}
	}
	return false
}

// update handles a change of resources: it drops those that are no longer needed, subscribes to the endpoints of the
// clusters, and builds the list.
func (s *Session) update(now int64, out *Outcome) {
	if !s.warming(now) {
		clear(s.removed)
	}
	names := s.serviceNames()
	s.dropUnused(names)
	if !slices.Equal(names, s.endpointSub.names) && (len(names) > 0 || s.endpointSub.state != Idle) {
		out.Requests = append(out.Requests, s.request(now, &s.endpointSub, names, ""))
	}
	if !s.clusterSub.everAccepted || !s.listReported && s.warming(now) {
		return
	}
	list := s.list(now, out)
	if !s.listReported && len(list.Nodes) == 0 && len(s.clusters) > 0 && len(s.assignments) == 0 {
		return // no endpoints were ever received, which does not mean that there are none
	}
	out.List, s.listReported = list, true
}

// dropUnused drops the assignments of all services but the given ones, and the addedAt times of removed clusters.
func (s *Session) dropUnused(services []string) {
	for name := range s.assignments {
		if !slices.Contains(services, name) {
			delete(s.assignments, name)
		}
	}
	for name := range s.addedAt {
		if s.clusters[name] == nil {
			delete(s.addedAt, name)
		}
	}
}

// list builds the list of all nodes, ordered by cluster name and then as in the assignments. Removed clusters that
// are still in use come last, so if one has the same address as a current cluster, the current cluster's node is
// listed.
func (s *Session) list(now int64, out *Outcome) *endpoint.List {
	list := &endpoint.List{Version: fmt.Sprintf("c:%s e:%s", s.clusterSub.version, s.endpointSub.version)}
	seen := map[string]bool{}
	for _, clusters := range []resources{s.clusters, s.removed} {
		for _, name := range slices.Sorted(maps.Keys(clusters)) {
			c := clusters[name].cluster
			a := c.assignment(s.assignments)
			if a == nil {
				continue
			}
			for _, n := range a.Nodes {
				if !seen[n.Addr] {
					list.Nodes = append(list.Nodes, n)
				}
				seen[n.Addr] = true
			}
			if c.Inline == nil && s.assignments[c.ServiceName].isStale(now) {
				list.Stale = true
			}
			s.addNewNotes(out, c.Notes)
			s.addNewNotes(out, a.Notes)
		}
	}
	return list
}

// isStale reports whether an assignment was not updated for its StaleAfter.
func (r *resource) isStale(now int64) bool {
	after := int64(r.assignment.StaleAfter)
	return after > 0 && now >= r.receivedAt+after
}

// addNewNotes adds those notes to the outcome that were not logged before.
func (s *Session) addNewNotes(out *Outcome, notes []string) {
	for _, note := range notes {
		if !s.loggedNotes[note] && len(s.loggedNotes) < maxLoggedNotes {
			s.loggedNotes[note] = true
			out.addNote(note)
		}
	}
}
