package replica

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3"

	"irispost/internal/fleet/lease"
)

// readConfirmTimeoutTicks is the number of ticks after which a confirmation is considered lost and requested again.
const readConfirmTimeoutTicks = 20

// readCallback is called with the lease manager once it is confirmed that this replica leads, or with nil if it does
// not lead.
type readCallback func(manager *lease.Manager)

// readQueue holds requests that may be answered only after Raft's ReadIndex has confirmed that this replica leads.
type readQueue struct {
	waiting       []readCallback // no confirmation has been requested for them yet
	batch         *readBatch     // whose confirmation has been requested; nil: none
	sequence      uint64         // number of batches so far
	lastRequestAt time.Time      // when the last batch was requested
	timer         *time.Timer    // wakes the owner goroutine up for the next batch
}

// readBatch is a batch of requests that share one confirmation.
type readBatch struct {
	context     []byte // identifies the batch to Raft
	requestedAt time.Time
	index       uint64 // log index to be applied before the batch is answered; 0: not confirmed yet
	callbacks   []readCallback
}

// drain empties the queue and returns all callbacks that were in it.
func (q *readQueue) drain() []readCallback {
	callbacks := q.waiting
	if q.batch != nil {
		callbacks = append(callbacks, q.batch.callbacks...)
	}
	q.waiting = nil
	q.batch = nil
	return callbacks
}

// markConfirmed records Raft's confirmation if it is that of the present batch.
func (q *readQueue) markConfirmed(state raft.ReadState) {
	if q.batch != nil && string(state.RequestCtx) == string(q.batch.context) {
		q.batch.index = state.Index
	}
}

// enqueueRead queues a callback until it is confirmed that this replica leads. If it does not lead, the callback is
// called at once.
func (r *Replica) enqueueRead(callback readCallback) {
	if !r.leading() {
		callback(nil)
		return
	}
	r.reads.waiting = append(r.reads.waiting, callback)
}

// advanceReads answers the present batch if it is confirmed, and asks Raft to confirm the next one.
func (r *Replica) advanceReads() {
	if r.leadership.manager == nil {
		return
	}
	queue := &r.reads
	if batch := queue.batch; batch != nil && batch.index > 0 && r.appliedIndex >= batch.index {
		queue.batch = nil
		for _, callback := range batch.callbacks {
			callback(r.leadership.manager)
		}
	}
	timeout := readConfirmTimeoutTicks * r.options.TickInterval
	if batch := queue.batch; batch != nil && time.Since(batch.requestedAt) > timeout { // its heartbeats were lost
		queue.waiting = append(batch.callbacks, queue.waiting...)
		queue.batch = nil
	}
	if queue.batch == nil && len(queue.waiting) > 0 {
		r.requestReadIndex()
	}
}

// requestReadIndex asks Raft for one confirmation for all waiting requests. Each confirmation costs a round trip to
// all replicas, so requests are collected for half a tick, unless an announced version waits for gateways.
func (r *Replica) requestReadIndex() {
	queue := &r.reads
	remaining := r.options.TickInterval/2 - time.Since(queue.lastRequestAt)
	if remaining > 0 && r.machine.InForce == r.machine.Announced {
		queue.timer.Reset(remaining)
		return
	}
	queue.lastRequestAt = time.Now()
	queue.sequence++
	queue.batch = &readBatch{
		context:     binary.BigEndian.AppendUint64(encodeKey(r.leadership.term), queue.sequence),
		requestedAt: time.Now(),
		callbacks:   queue.waiting,
	}
	queue.waiting = nil
	r.node.ReadIndex(queue.batch.context)
}
