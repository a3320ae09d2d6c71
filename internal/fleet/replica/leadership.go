package replica

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"irispost/internal/fleet/lease"
)

// leadership is what a replica knows about who leads the group.
type leadership struct {
	leader   uint64         // as reported by Raft; 0: unknown
	isLeader bool           // whether Raft reports that this replica leads
	manager  *lease.Manager // nil: this replica does not lead, or has not applied an entry of its term yet
	term     uint64         // for which the manager was created
}

// leading reports whether this replica grants leases: it leads, and the group has its lease settings.
func (r *Replica) leading() bool {
	return r.leadership.manager != nil && r.machine.Settings.LeaseDuration > 0
}

// leaderChanged handles Raft's report of who leads.
func (r *Replica) leaderChanged(state *raft.SoftState) {
	isLeader := state.RaftState == raft.StateLeader
	if r.leadership.isLeader && !isLeader {
		r.logger.Info("lost leadership", "leader", state.Lead)
	}
	r.leadership.leader = state.Lead
	r.leadership.isLeader = isLeader
	if !isLeader {
		r.leadership.manager = nil
		r.rejectPending()
	}
}

// rejectPending answers all waiting requests that this replica does not lead. Their proposals may still get into the
// log.
func (r *Replica) rejectPending() {
	for _, callback := range r.reads.drain() {
		callback(nil)
	}
	if result := r.membership.pending; result != nil {
		result <- ErrNotLeader
		r.membership.pending = nil
	}
	for id, result := range r.proposals {
		delete(r.proposals, id)
		result <- proposalResult{err: ErrNotLeader}
	}
}

// startLeadership creates the lease manager when the first entry of this replica's own term is applied: no entry of an
// earlier leader can follow it.
func (r *Replica) startLeadership(entry *raftpb.Entry) {
	term := r.currentTerm()
	newTerm := r.leadership.manager == nil || r.leadership.term != term
	if !r.leadership.isLeader || !newTerm || entry.GetTerm() != term {
		return
	}
	r.leadership.term = term
	r.leadership.manager = lease.NewManager(r.now(), term, r.machine, 0)
	r.logger.Info("became leader", "term", term, "gateways", len(r.machine.Holders), "in_force", r.machine.InForce,
		"announced", r.machine.Announced)
	if r.machine.Settings.LeaseDuration == 0 {
		r.appendCommand(&lease.Command{Bootstrap: &r.options.LeaseSettings})
	}
}
