package replica

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3"

	"irispost/internal/fleet/lease"
)

// readConfirmTimeoutTicks is after how many ticks a confirmation is taken as lost and asked for again.
const readConfirmTimeoutTicks = 20

// readAnswer is called once it is confirmed that this replica leads, with its lease manager; with nil where it does
// not.
type readAnswer func(manager *lease.Manager)

// readQueue holds requests that may be answered only by a confirmed leader (Raft's ReadIndex).
type readQueue struct {
	waiting  []readAnswer // no confirmation was requested for them yet
	batch    *readBatch   // whose confirmation is under way; nil: none
	sequence uint64       // of batches
	lastAt   time.Time    // when the last batch was requested
	timer    *time.Timer  // wakes the owner goroutine for the next batch
}

// readBatch is requests that share one confirmation.
type readBatch struct {
	context     []byte // names the batch to Raft
	requestedAt time.Time
	index       uint64 // to be applied before the batch is answered; 0: not confirmed yet
	answers     []readAnswer
}

// drain empties the queue and returns all that was in it.
func (q *readQueue) drain() []readAnswer {
	answers := q.waiting
	if q.batch != nil {
		answers = append(answers, q.batch.answers...)
	}
	q.waiting = nil
	q.batch = nil
	return answers
}

// confirmed notes Raft's confirmation of the batch that is under way.
func (q *readQueue) confirmed(state raft.ReadState) {
	if q.batch != nil && string(state.RequestCtx) == string(q.batch.context) {
		q.batch.index = state.Index
	}
}

// whenLeading has a request answered once it is confirmed that this replica leads.
func (r *Replica) whenLeading(answer readAnswer) {
	if !r.leading() {
		answer(nil)
		return
	}
	r.reads.waiting = append(r.reads.waiting, answer)
}

// confirmReads answers the batch that is confirmed and asks Raft to confirm the next one.
func (r *Replica) confirmReads() {
	if r.leadership.manager == nil {
		return
	}
	queue := &r.reads
	if batch := queue.batch; batch != nil && batch.index > 0 && r.appliedIndex >= batch.index {
		queue.batch = nil
		for _, answer := range batch.answers {
			answer(r.leadership.manager)
		}
	}
	timeout := readConfirmTimeoutTicks * r.options.TickInterval
	if batch := queue.batch; batch != nil && time.Since(batch.requestedAt) > timeout { // its heartbeats were lost
		queue.waiting = append(batch.answers, queue.waiting...)
		queue.batch = nil
	}
	if queue.batch == nil && len(queue.waiting) > 0 {
		r.requestReadIndex()
	}
}

// requestReadIndex asks Raft to confirm all requests that wait. Each confirmation costs a round trip to all
// replicas, so requests are gathered for half a tick, unless a version waits for gateways.
func (r *Replica) requestReadIndex() {
	queue := &r.reads
	remaining := r.options.TickInterval/2 - time.Since(queue.lastAt)
	if remaining > 0 && r.machine.InForce == r.machine.Announced {
		queue.timer.Reset(remaining)
		return
	}
	queue.lastAt = time.Now()
	queue.sequence++
	queue.batch = &readBatch{
		context:     binary.BigEndian.AppendUint64(encodeKey(r.leadership.term), queue.sequence),
		requestedAt: time.Now(),
		answers:     queue.waiting,
	}
	queue.waiting = nil
	r.node.ReadIndex(queue.batch.context)
}
