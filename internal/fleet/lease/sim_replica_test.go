package lease

import (
	"errors"
	"fmt"
	"slices"
)

type replica struct {
	clock
	state   *StateMachine
	applied int      // number of log entries applied
	manager *Manager // nil: the replica does not believe that it leads
	term    uint64
	pending []*logEntry // proposed to the log, not committed yet
}

// logEntry is a command in the log. It is encoded only in runs with world.encodeEntries set.
type logEntry struct {
	command *Command
	encoded []byte
}

// decode returns the command as a replica decodes it from the log.
func (e *logEntry) decode() *Command {
	if e.encoded == nil {
		return e.command
	}
	command, err := DecodeEntry(e.encoded)
	if err != nil {
		panic(err)
	}
	return command
}

// enqueue has a leading replica propose a command to the log.
func (w *world) enqueue(r *replica, c *Command) *logEntry {
	entry := &logEntry{command: c}
	if w.encodeEntries {
		var err error
		if entry.encoded, err = c.EncodeEntry(Format, r.state); err != nil {
			panic(err)
		}
	}
	r.pending = append(r.pending, entry)
	return entry
}

// commit appends a pending entry to the log, unless another replica leads by now.
func (w *world) commit(r *replica, entry *logEntry) {
	i := slices.Index(r.pending, entry)
	if i < 0 || r != w.leader {
		return
	}
	r.pending = slices.Delete(r.pending, i, i+1)
	w.log = append(w.log, entry)
	for _, number := range entry.command.Forget {
		if v := w.committed.Version(number); v != nil {
			w.forgotten[number] = v.Digest
		}
	}
	version, err := w.committed.Apply(entry.decode())
	if err == nil && version != nil {
		w.acknowledged = append(w.acknowledged, version)
	}
	if errors.Is(err, ErrInvalidEntry) {
		w.violation = err.Error()
	}
	if w.encodeEntries && r.applied > w.firstIndex+8 {
		w.firstIndex = r.applied
		w.snapshot = r.state.Snapshot()
	}
}

// apply has a replica apply the log up to an index.
func (w *world) apply(r *replica, end int) {
	end = min(end, len(w.log))
	if r.applied < min(w.firstIndex, end) {
		w.restore(r)
	}
	for ; r.applied < end; r.applied++ {
		command := w.log[r.applied].decode()
		if _, err := r.state.Apply(command); errors.Is(err, ErrInvalidEntry) {
			w.violation = err.Error()
		}
		if r.manager != nil {
			r.manager.Applied(command)
		}
	}
}

// restore replaces the state of a replica that lags behind the compacted part of the log with the snapshot.
func (w *world) restore(r *replica) {
	r.applied = w.firstIndex
	if w.faults.Has(faultSkipSnapshot) {
		return
	}
	state, err := Restore(w.snapshot)
	if err != nil {
		panic(err)
	}
	r.state = state
	r.manager = nil
}

// checkReplicas compares each replica's state with the committed one.
func (w *world) checkReplicas() {
	snapshot := func(state *StateMachine) string {
		copied := *state
		copied.Format = 0 // so that the snapshot holds the plain contents
		return string(copied.Snapshot())
	}
	for i, r := range w.replicas {
		w.apply(r, len(w.log))
		if w.violation == "" && snapshot(r.state) != snapshot(w.committed) {
			w.violation = fmt.Sprintf(
				"replica %d has %d versions, %d in force, %d announced; the log results in %d versions, %d announced",
				i, len(r.state.Versions), r.state.InForce, r.state.Announced, len(w.committed.Versions), w.committed.Announced)
		}
	}
}

// elect makes a random replica the leader. The previous leader may not learn of it.
func (w *world) elect() {
	if w.leader != nil {
		w.endLeadership(w.leader)
	}
	if w.faults.Has(faultLostLog) && len(w.log) > w.firstIndex+1 && w.rand.IntN(4) == 0 {
		w.loseLastEntry()
	}
	w.term++
	r := w.replicas[w.rand.IntN(len(w.replicas))]
	w.leader = r
	r.manager = nil
	r.term = w.term
	w.apply(r, len(w.log))
	r.manager = NewManager(r.at(w.now), w.term, r.state, w.faults)
	r.manager.retention = w.retention
}

// endLeadership ends a replica's leadership. Some of its pending entries are still committed, and it may continue to
// believe that it leads, with some gateways on its side of a network partition.
func (w *world) endLeadership(r *replica) {
	for _, entry := range slices.Clone(r.pending) {
		if w.rand.IntN(2) == 0 {
			w.commit(r, entry)
		}
	}
	r.pending = nil
	if !w.chance(w.conditions.staleLeaders) {
		r.manager = nil
		return
	}
	for _, g := range w.gateways {
		if w.rand.IntN(3) == 0 {
			g.onlyReplica = r
		}
	}
}

// loseLastEntry drops the last committed entry of the log.
func (w *world) loseLastEntry() {
	w.log = w.log[:len(w.log)-1]
	w.committed = NewStateMachine()
	for _, entry := range w.log {
		_, _ = w.committed.Apply(entry.decode()) // some proposals are rejected
	}
	for _, r := range w.replicas {
		r.state = NewStateMachine()
		r.applied = 0
		r.manager = nil
	}
}

// stopEarlierLeaders informs all former leaders that they no longer lead.
func (w *world) stopEarlierLeaders() {
	for _, r := range w.replicas {
		if r != w.leader {
			r.manager = nil
		}
	}
}

// runManager lets a replica that believes that it leads propose the command that is due, if any.
func (w *world) runManager(r *replica) {
	if r.manager == nil {
		return
	}
	if r == w.leader {
		w.apply(r, len(w.log))
	}
	if c := r.manager.NextCommand(r.at(w.now)); c != nil && r == w.leader {
		w.appendCommand(c)
	}
}

// appendCommand has the leader propose a command, which is committed after some delay.
func (w *world) appendCommand(c *Command) {
	r := w.leader
	entry := w.enqueue(r, c)
	w.schedule(max(w.delay(), 0)/4, func() { w.commit(r, entry) })
}

func (w *world) propose() { w.appendCommand(&Command{Propose: w.proposal()}) }
