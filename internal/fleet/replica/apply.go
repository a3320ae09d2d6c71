package replica

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
)

// proposalResult is the outcome of a proposal: the version that it created, or why it was rejected.
type proposalResult struct {
	version *configversion.Version
	err     error
}

// propose submits a proposal to Raft. Its outcome is sent to result: at once if it is not accepted, else when its
// entry is applied or this replica loses the leadership.
func (r *Replica) propose(proposal *lease.Proposal, result chan<- proposalResult) {
	if !r.leading() {
		result <- proposalResult{err: ErrNotLeader}
		return
	}
	if err := proposal.Validate(); err != nil {
		result <- proposalResult{err: err}
		return
	}
	r.proposals[proposal.ID] = result
	r.appendCommand(&lease.Command{Propose: proposal})
}

// proposeNextCommand submits the next command that the lease manager needs in the log, if there is one.
func (r *Replica) proposeNextCommand() {
	if !r.leading() {
		return
	}
	manager := r.leadership.manager
	manager.AllowForget(r.entryFormat() >= formatWithDeltas)
	if command := manager.NextCommand(r.now()); command != nil {
		r.appendCommand(command)
	}
}

// appendCommand proposes a command to Raft. It is known to be in the log only once its entry is applied.
func (r *Replica) appendCommand(command *lease.Command) {
	entry, err := command.EncodeEntry(r.entryFormat(), r.machine)
	if err != nil {
		r.logger.Error("encoding a command failed", "err", err)
		return
	}
	if err := r.node.Propose(entry); err != nil {
		r.logger.Debug("raft dropped a proposal", "err", err)
	}
}

// apply applies a committed log entry.
func (r *Replica) apply(entry *raftpb.Entry) error {
	r.appliedIndex = entry.GetIndex()
	r.startLeadership(entry)
	switch {
	case entry.GetType() == raftpb.EntryConfChangeV2:
		return r.applyMembershipChange(entry)
	case entry.GetType() != raftpb.EntryNormal || len(entry.GetData()) == 0:
		return nil
	}
	command, err := r.decodeEntry(entry.GetIndex(), entry.GetData())
	if err != nil {
		return err
	}
	return r.applyCommand(entry.GetIndex(), command)
}

func (r *Replica) applyCommand(index uint64, command *lease.Command) error {
	r.recordForgotten(command.Forget)
	version, err := r.machine.Apply(command)
	if errors.Is(err, lease.ErrInvalidEntry) {
		return fmt.Errorf("log entry %d: %w", index, err)
	}
	if command.Propose != nil {
		r.proposalApplied(command.Propose.ID, version, err)
	}
	if command.Activate > 0 && command.Activate == r.machine.InForce {
		r.logger.Info("version in force", "version", r.machine.Version(command.Activate).Name())
		r.machine.ReleaseParsed()
	}
	if manager := r.leadership.manager; manager != nil {
		manager.Applied(command)
	}
	return nil
}

// proposalApplied logs a version that a proposal created and sends the outcome to the caller that waits, if any.
func (r *Replica) proposalApplied(id string, version *configversion.Version, err error) {
	switch {
	case err != nil:
	case version.Content == nil: // a repeated proposal whose version has been forgotten since
		// If the history cannot be read, the result is the version without its content.
		if list, _ := r.forgottenVersions(version.Number, version.Number); len(list) > 0 {
			version = list[0]
		}
	default:
		r.logger.Info("version announced", "version", version.Name(), "author", version.Author,
			"reason", version.Reason)
	}
	if result := r.proposals[id]; result != nil {
		delete(r.proposals, id)
		result <- proposalResult{version, err}
	}
}

// recordForgotten adds the versions that a command is about to remove from the state machine to the history.
func (r *Replica) recordForgotten(numbers []uint64) {
	for _, number := range numbers {
		if number == r.machine.InForce || number == r.machine.Announced {
			continue // the state machine refuses to forget these
		}
		if version := r.machine.Version(number); version != nil {
			r.store.history.add(version, r.machine.Delta(number))
		}
	}
}

// installSnapshot replaces the state machine with the one in a snapshot from the leader. This replica never learns of
// versions that were both announced and forgotten between the two states.
func (r *Replica) installSnapshot(snapshot *raftpb.Snapshot) error {
	machine, err := lease.Restore(snapshot.GetData())
	if err != nil {
		return err
	}
	r.recordForgottenBy(machine)
	r.machine = machine
	r.appliedIndex = snapshot.GetMetadata().GetIndex()
	r.membership.configuration = snapshot.GetMetadata().GetConfState()
	return nil
}

// recordForgottenBy adds the versions that a snapshot's state machine has forgotten to the history.
func (r *Replica) recordForgottenBy(machine *lease.StateMachine) {
	for _, version := range r.machine.Versions {
		if machine.Version(version.Number) == nil {
			r.store.history.add(version, r.machine.Delta(version.Number))
		}
	}
}
