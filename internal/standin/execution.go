package standin

import (
	"fmt"
	"time"

	"irispost/internal/audit"
	"irispost/internal/backend/node"
	"irispost/internal/sftp"
)

// latencyWeight sets the weight of a new sample in the moving average of the execution time: 1/latencyWeight.
const latencyWeight = 8

// deferredWriteInterval is the interval at which the node performs deferred writes.
const deferredWriteInterval = time.Second

// receivedAttempt is an attempt that the node has received.
type receivedAttempt struct {
	call      *node.Call
	conn      *sftp.Conn
	id        uint32 // SFTP request ID
	deadline  time.Time
	peer      *peer
	cancelled bool // guarded by the node's lock
}

// volumeUsage counts the units that a node has executed for a volume.
type volumeUsage struct {
	total     float64
	byGateway map[string]float64
	reported  map[string]float64 // by gateway: units of the other gateways that were reported to it so far
}

// receive rejects an attempt, queues it, or executes it at once if executions take no time.
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
	if n.exceedsSlowStartLimit(call.Units, now) {
		n.lock.Unlock()
		n.options.Recorder.Add(audit.Event{Type: audit.NodeOverloaded, Node: n.address})
		go n.Close()
		return
	}
	if rejection, rejected := n.reject(call); rejected {
		n.lock.Unlock()
		n.sendReply(attempt, rejection)
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

// reject returns the reply to an attempt that the node does not accept. The caller holds the lock.
func (n *Node) reject(call *node.Call) (rejection node.Reply, rejected bool) {
	switch {
	case call.Shard >= 0 && call.Shard != n.options.Shard:
		message := fmt.Sprintf("shard %d is not served by this node", call.Shard)
		return node.Reply{Outcome: node.WrongShard, Message: message}, true
	case n.options.UnitTime > 0 && len(n.queue) >= n.options.Queue:
		return node.Reply{Outcome: node.QueueFull, Message: "the node's queue is full"}, true
	}
	return node.Reply{}, false
}

// runCore executes queued attempts one at a time until the node is closed.
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
		if next.cancelled || now.After(next.deadline) { // dropped without a reply
			n.inFlight--
			n.lock.Unlock()
			continue
		}
		stall := n.faults.stalledUntil.Sub(now)
		duration := n.executionTime(next.call, now)
		n.lock.Unlock()
		time.Sleep(max(stall, 0) + duration)
		n.execute(next, duration)
	}
}

// executionTime returns how long a core takes to execute a call. It adds the deferred share of a write to the pending
// deferred time. The caller holds the lock.
func (n *Node) executionTime(call *node.Call, now time.Time) time.Duration {
	duration := time.Duration(call.Units * float64(n.options.UnitTime) * n.faults.slowFactor / n.speed(now))
	if call.Op.Writes() && n.options.DeferredWriteShare > 0 {
		deferred := time.Duration(float64(duration) * n.options.DeferredWriteShare)
		n.deferred += deferred
		duration -= deferred
	}
	return duration
}

// runDeferredWrites performs the deferred writes at intervals by stalling all cores for their time.
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

// execute executes an attempt and replies to it, subject to the injected faults. The caller has already waited for
// duration, the simulated execution time.
func (n *Node) execute(attempt *receivedAttempt, duration time.Duration) {
	call := attempt.call
	n.lock.Lock()
	if n.closed {
		n.lock.Unlock()
		return
	}
	fails := n.random.Float64() < n.faults.failShare
	hasEffect := n.random.Float64() < 0.5 // used only if the execution fails
	answerLost := n.random.Float64() < n.faults.dropShare
	n.inFlight--
	n.latency += (duration - n.latency) / latencyWeight
	n.lock.Unlock()
	reply := node.Reply{Outcome: node.Failed, Message: "injected failure"}
	if !fails || hasEffect {
		executed := n.executeCall(call)
		if !fails {
			reply = executed
		}
	}
	if reply.Outcome == node.Executed {
		reply.UnitsElsewhere = n.recordUsage(call)
	}
	if !answerLost {
		n.sendReply(attempt, reply)
	}
}

// executeCall executes a call on the store and records an event if the call had an effect.
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

// recordUsage counts a call's units as used by its volume and gateway. It returns the units of the volume that were
// executed for other gateways since the last report to this gateway.
func (n *Node) recordUsage(call *node.Call) float64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	usage := n.usageByVolume[call.Volume]
	if usage == nil {
		usage = &volumeUsage{byGateway: map[string]float64{}, reported: map[string]float64{}}
		n.usageByVolume[call.Volume] = usage
	}
	usage.total += call.Units
	usage.byGateway[call.Gateway] += call.Units
	others := usage.total - usage.byGateway[call.Gateway]
	unreported := others - usage.reported[call.Gateway]
	usage.reported[call.Gateway] = others
	return unreported
}

// sendReply adds the load report to a reply, records the reply and sends it.
func (n *Node) sendReply(attempt *receivedAttempt, reply node.Reply) {
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
