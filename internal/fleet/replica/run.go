package replica

import (
	"context"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// run is the owner goroutine, the only one that uses Raft, the state machine and the lease manager.
func (r *Replica) run(ctx context.Context) {
	defer r.shutDown()
	if !r.announceStart(ctx) {
		return
	}
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.node.Tick()
		case <-r.reads.timer.C:
		case call := <-r.calls:
			call()
		}
		for range len(r.calls) {
			(<-r.calls)()
		}
		if r.err = r.processReady(); r.err != nil {
			return
		}
	}
}

// shutDown stops everything that the replica has started. It is the last thing that the owner goroutine does.
func (r *Replica) shutDown() {
	if r.err != nil {
		r.logger.Error("replica stopped", "err", r.err)
	}
	r.cancel()
	_ = r.httpServer.Close() // an error of closing the listener changes nothing
	r.goroutines.Wait()
	_ = r.store.db.Close() // each write was synced before anything depended on it
	close(r.stopped)
}

// processReady processes the consequences of all events since the last call.
func (r *Replica) processReady() error {
	if r.err != nil { // set by a function from r.calls
		return r.err
	}
	for {
		r.advanceReads()
		r.proposeNextCommand()
		r.notifyWatchers()
		if !r.node.HasReady() {
			return nil
		}
		if err := r.handleReady(r.node.Ready()); err != nil {
			return err
		}
	}
}

// handleReady persists, sends and applies what Raft has ready, in the order that Raft requires: nothing is sent or
// applied before it is on disk.
func (r *Replica) handleReady(ready raft.Ready) error {
	if ready.SoftState != nil {
		r.leaderChanged(ready.SoftState)
	}
	if err := r.store.save(&ready); err != nil {
		return fmt.Errorf("persisting the raft state failed, so nothing is promised by it: %w", err)
	}
	r.send(ready.Messages)
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := r.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	for _, entry := range ready.CommittedEntries {
		if err := r.apply(entry); err != nil {
			return err
		}
	}
	for _, state := range ready.ReadStates {
		r.reads.markConfirmed(state)
	}
	r.node.Advance(ready)
	if !r.store.needsCompaction(r.appliedIndex, r.options.CompactionEntries) {
		return nil
	}
	return r.compact()
}

// send queues messages on the connections to their receivers.
func (r *Replica) send(messages []*raftpb.Message) {
	for _, message := range messages {
		if peer := r.membership.peers[message.GetTo()]; peer != nil {
			peer.send(message)
		}
	}
}

// step passes messages of other replicas to Raft.
func (r *Replica) step(messages []*raftpb.Message) {
	if !r.ready {
		return // a vote or an acknowledgement could contradict what an earlier incarnation has sent
	}
	defer func() { // Raft panics if its log is behind what it has acknowledged
		if cause := recover(); cause != nil {
			r.err = fmt.Errorf("%w (%v)", ErrStaleIncarnation, cause)
		}
	}()
	for _, message := range messages {
		if err := r.node.Step(message); err != nil {
			r.logger.Debug("raft message rejected", "peer", message.GetFrom(), "err", err)
		}
	}
}

// compact replaces the log up to the applied index with a snapshot of the state machine. The last entries, a tenth of
// Options.CompactionEntries, are retained for replicas that lag a little.
func (r *Replica) compact() error {
	data := r.machine.Snapshot()
	retained := r.options.CompactionEntries / 10
	if err := r.store.compact(r.appliedIndex, r.membership.configuration, data, retained); err != nil {
		return fmt.Errorf("compacting the log up to entry %d failed: %w", r.appliedIndex, err)
	}
	return nil
}
