package fleetbench

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"irispost/internal/scale/meter"
)

const (
	// trafficSettleTime is how long traffic is still counted as part of a change after all gateways act on it: they then
	// watch for the next announcement.
	trafficSettleTime = 500 * time.Millisecond

	statusPollInterval = 200 * time.Millisecond
)

// usageSample holds the values of all counters at one time.
type usageSample struct {
	at        time.Time
	gateways  []int64       // bytes of each gateway, in both directions
	bytesSent []int64       // by each replica, by number from 1, to gateways, the operator and other replicas
	cpu       time.Duration // of this process
	replicas  []meter.Usage
}

// sample reads all counters.
func (m *measurement) sample() (sample usageSample, err error) {
	sample.at = time.Now()
	sample.gateways = m.clients.totals()
	for _, replica := range m.replicas.replicas {
		sent := m.clients.trafficByReplica[replica.addr].In() + m.replicas.bytesSent(replica.number)
		sample.bytesSent = append(sample.bytesSent, sent)
	}
	if sample.cpu, err = meter.SelfCPU(); err != nil {
		return sample, err
	}
	sample.replicas, err = m.replicas.usage()
	return sample, err
}

// differences returns after - before, element by element.
func differences(after, before []int64) []int64 {
	list := make([]int64, len(after))
	for i := range after {
		list[i] = after[i] - before[i]
	}
	return list
}

// collectedMemory returns this process's resident memory in MB after a forced collection.
func collectedMemory() (float64, error) {
	debug.FreeOSMemory() // it forces a garbage collection first
	used, err := meter.ProcessUsage(os.Getpid())
	return used.MB, err
}

// measureIdle measures the fleet while nothing changes, once the replicas have forgotten the gateways that were
// stopped. It also returns the leader's term.
func (m *measurement) measureIdle(ctx context.Context) (term int, idle *idleUsage, err error) {
	if err := m.awaitGatewayCount(ctx); err != nil {
		return 0, nil, err
	}
	if err := sleep(ctx, trafficSettleTime); err != nil {
		return 0, nil, err
	}
	leader, state := m.replicas.leader(ctx)
	before, err := m.sample()
	if err != nil {
		return 0, nil, err
	}
	if err := sleep(ctx, m.Idle); err != nil {
		return 0, nil, err
	}
	after, err := m.sample()
	if err != nil {
		return 0, nil, err
	}
	if leaderAfter, _ := m.replicas.leader(ctx); leaderAfter != leader || leaderAfter == 0 {
		return 0, nil, fmt.Errorf("no leader to measure at idle: replica %d led at the start, %d at the end (0: none)",
			leader, leaderAfter)
	}
	idle = &idleUsage{
		span:        after.at.Sub(before.at),
		gateways:    differences(after.gateways, before.gateways),
		leader:      leader,
		leaderBytes: after.bytesSent[leader-1] - before.bytesSent[leader-1],
		cpu:         after.cpu - before.cpu,
	}
	for i := range after.replicas {
		idle.replicaCPU = append(idle.replicaCPU, after.replicas[i].CPU-before.replicas[i].CPU)
	}
	return state.term, idle, nil
}

// awaitGatewayCount waits until the replicas know as many gateways as are running: none that have been stopped.
func (m *measurement) awaitGatewayCount(ctx context.Context) error {
	known := 0
	knowsAll := func() bool {
		status, err := m.operator.Status()
		known = len(status.Gateways)
		return err == nil && known == m.Followers
	}
	if err := m.replicas.await(ctx, "the number of known gateways differs", statusPollInterval, knowsAll); err != nil {
		return fmt.Errorf("%w: %d known, %d running", err, known, m.Followers)
	}
	return nil
}
