package standin

import (
	"fmt"
	"time"

	"irispost/internal/audit"
	"irispost/internal/backend/node"
	"irispost/internal/sftp"
)

// latencyWeight is the weight of the average latency against the latest execution's.
const latencyWeight = 8

// deferredWriteInterval is how often deferred writes are done.
const deferredWriteInterval = time.Second

// receivedAttempt is an attempt that a node has received.
type receivedAttempt struct {
	call      *node.Call
	conn      *sftp.Conn
	id        uint32 // of the packet
	deadline  time.Time
	peer      *peer
	cancelled bool // under the node's lock
}

// volumeUse is what a volume was served by a node, in units.
type volumeUse struct {
	total     float64
	byGateway map[string]float64
	reported  map[string]float64 // what others were served, as reported to a gateway last
}

// receive takes in an attempt: it is rejected or queued or, with cores that take no time, executed at once.
func (n *Node) receive(attempt *receivedAttempt) {
	call := attempt.call
	now := time.Now()
	n.lock.Lock()
	if n.closed || n.faults.isolatedGateway != "" && n.faults.isolatedGateway == call.Gateway {
		n.lock.Unlock()
		return
	}
	n.attemptsReceived++
	n.recordReceived(attempt)
	if n.overloads(call.Units, now) {
		n.lock.Unlock()
		n.options.Recorder.Add(audit.Event{Type: audit.NodeOverloaded, Node: n.address})
		go n.Close()
		return
	}
	if rejection, rejected := n.reject(call); rejected {
		n.lock.Unlock()
		n.answer(attempt, rejection)
		return
	}
	n.inFlight++
	if n.options.UnitTime == 0 && !n.faults.hang && len(n.queue) == 0 {
		n.lock.Unlock()
		n.execute(attempt, 0)
		return
	}
	n.queue = append(n.queue, attempt)
	n.lock.Unlock()
	n.wakeCores.Signal()
}

func (n *Node) recordReceived(attempt *receivedAttempt) {
	call := attempt.call
	n.options.Recorder.Add(audit.Event{
		Type:           audit.AttemptReceived,
		Node:           n.address,
		Zone:           n.options.Zone,
		Shard:          n.options.Shard,
		Gateway:        call.Gateway,
		RequestID:      call.RequestID,
		Attempt:        call.Attempt,
		Volume:         call.Volume,
		Units:          call.Units,
		Idempotency:    call.Idempotency,
		OrderingKey:    call.OrderingKey,
		IdempotencyKey: call.IdempotencyKey,
		Timeout:        int64(call.Timeout),
		Connection:     attempt.peer.number,
		Writes:         call.Op.Writes(),
	})
}

// reject returns the answer to an attempt that the node does not take. The lock is held.
func (n *Node) reject(call *node.Call) (rejection node.Reply, rejected bool) {
	switch {
	case call.Shard >= 0 && call.Shard != n.options.Shard:
		message := fmt.Sprintf("shard %d is not here", call.Shard)
		return node.Reply{Outcome: node.WrongShard, Message: message}, true
	case n.options.UnitTime > 0 && len(n.queue) >= n.options.Queue:
		return node.Reply{Outcome: node.QueueFull, Message: "the node's queue is full"}, true
	}
	return node.Reply{}, false
}

// runCore executes queued attempts, one after the other, until the node closes.
func (n *Node) runCore() {
	for {
		n.lock.Lock()
		for !n.closed && (len(n.queue) == 0 || n.faults.hang) {
			n.wakeCores.Wait()
		}
		if n.closed {
			n.lock.Unlock()
			return
		}
		next := n.queue[0]
		n.queue = n.queue[1:]
		now := time.Now()
		if next.cancelled || now.After(next.deadline) { // one whose time is up is not begun
			n.inFlight--
			n.lock.Unlock()
			continue
		}
		stall := n.faults.stalledUntil.Sub(now)
		took := n.timeOf(next.call, now)
		n.lock.Unlock()
		time.Sleep(max(stall, 0) + took)
		n.execute(next, took)
	}
}

// timeOf is how long a core takes for an attempt; a part of a write's time is put off. The lock is held.
func (n *Node) timeOf(call *node.Call, now time.Time) time.Duration {
	took := time.Duration(call.Units * float64(n.options.UnitTime) * n.faults.slowFactor / n.speed(now))
	if call.Op.Writes() && n.options.DeferredWriteShare > 0 {
		deferred := time.Duration(float64(took) * n.options.DeferredWriteShare)
		n.deferred += deferred
		took -= deferred
	}
	return took
}

// runDeferredWrites does what was put off, at intervals, in place of the cores.
func (n *Node) runDeferredWrites() {
	for {
		time.Sleep(deferredWriteInterval)
		n.lock.Lock()
		deferred := n.deferred
		n.deferred = 0
		if n.closed {
			n.lock.Unlock()
			return
		}
		cores := time.Duration(max(n.options.Cores, 1))
		n.faults.stalledUntil = time.Now().Add(deferred / cores)
		n.lock.Unlock()
	}
}

// execute executes an attempt, whose time has passed already, and answers it.
func (n *Node) execute(attempt *receivedAttempt, took time.Duration) {
	call := attempt.call
	n.lock.Lock()
	if n.closed {
		n.lock.Unlock()
		return
	}
	fails := n.random.Float64() < n.faults.failShare
	hasEffect := n.random.Float64() < 0.5 // where it fails
	answerLost := n.random.Float64() < n.faults.dropShare
	n.inFlight--
	n.latency += (took - n.latency) / latencyWeight
	n.lock.Unlock()
	reply := node.Reply{Outcome: node.Failed, Message: "the node failed it"}
	if !fails || hasEffect {
		executed := n.executeCall(call)
		if !fails {
			reply = executed
		}
	}
	if reply.Outcome == node.Executed {
		reply.UnitsElsewhere = n.countUse(call)
	}
	if !answerLost {
		n.answer(attempt, reply)
	}
}

// executeCall executes a call on the store, and records its effect.
func (n *Node) executeCall(call *node.Call) node.Reply {
	reply, hadEffect := n.options.Store.execute(call, time.Now(), n.options.DedupWindow)
	if hadEffect {
		n.options.Recorder.Add(audit.Event{
			Type:           audit.AttemptExecuted,
			Node:           n.address,
			Shard:          n.options.Shard,
			RequestID:      call.RequestID,
			Attempt:        call.Attempt,
			Idempotency:    call.Idempotency,
			IdempotencyKey: call.IdempotencyKey,
			Writes:         call.Op.Writes(),
		})
	}
	return reply
}

// countUse counts the use of a volume, and returns what other gateways were served of it since this gateway's last
// answer, in units.
func (n *Node) countUse(call *node.Call) float64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	use := n.served[call.Volume]
	if use == nil {
		use = &volumeUse{byGateway: map[string]float64{}, reported: map[string]float64{}}
		n.served[call.Volume] = use
	}
	use.total += call.Units
	use.byGateway[call.Gateway] += call.Units
	others := use.total - use.byGateway[call.Gateway]
	unreported := others - use.reported[call.Gateway]
	use.reported[call.Gateway] = others
	return unreported
}

// answer sends an answer with the load report.
func (n *Node) answer(attempt *receivedAttempt, reply node.Reply) {
	n.lock.Lock()
	reply.InFlight = n.inFlight
	reply.Latency = n.latency
	reply.Shard = n.options.Shard
	reply.ORCA = n.options.ORCA
	n.lock.Unlock()
	n.options.Recorder.Add(audit.Event{
		Type:        audit.AttemptAnswered,
		Node:        n.address,
		Gateway:     attempt.call.Gateway,
		RequestID:   attempt.call.RequestID,
		Attempt:     attempt.call.Attempt,
		NotExecuted: reply.Outcome == node.QueueFull || reply.Outcome == node.WrongShard,
	})
	attempt.conn.Send(reply.Packet(attempt.id))
}
