package fleetbench

import (
	"context"
	"fmt"
	"time"
)

// leaderKill is the schedule and state of killing and restarting the leader during the changes.
type leaderKill struct {
	killAt    int             // the leader is killed before this change; if equal to the number of changes, never
	restartAt int             // the killed replica is restarted before this change
	killed    *replicaProcess // nil unless a killed replica is down or catching up
}

// measureChanges makes and measures all changes, one after another. With Kill, it kills the leader after half of them
// and restarts it after another quarter.
func (m *measurement) measureChanges(ctx context.Context) (changes []changeUsage, err error) {
	kill := &leaderKill{killAt: m.Changes, restartAt: m.Changes}
	if m.Kill {
		kill.killAt = m.Changes / 2
		kill.restartAt = m.Changes/2 + max(m.Changes/4, 1)
	}
	for number := range m.Changes {
		leader, _ := m.replicas.leader(ctx)
		if err := m.killOrRestart(kill, number, leader); err != nil {
			return nil, err
		}
		change, err := m.measureChange(ctx, leader)
		if err != nil {
			return nil, err
		}
		change.whileKilled = kill.killed != nil
		changes = append(changes, change)
		if number >= kill.restartAt && kill.killed != nil && m.hasNewestVersion(ctx, kill.killed) {
			m.ReportProgress(fmt.Sprintf("change %d: replica %d has caught up", number, kill.killed.number))
			kill.killed = nil
		}
	}
	return changes, nil
}

// killOrRestart kills the leader or restarts the killed replica if that is due before the given change.
func (m *measurement) killOrRestart(kill *leaderKill, number, leader int) error {
	switch number {
	case kill.killAt:
		if leader == 0 {
			return fmt.Errorf("change %d: no replica leads, so the leader cannot be killed", number)
		}
		kill.killed = m.replicas.replicas[leader-1]
		kill.killed.kill()
		m.ReportProgress(fmt.Sprintf("change %d: replica %d, which led, is killed", number, leader))
	case kill.restartAt:
		kill.killed.restartOnExit = true
		if err := kill.killed.start(m.replicas.program); err != nil {
			return err
		}
		m.ReportProgress(fmt.Sprintf("change %d: replica %d is started again", number, kill.killed.number))
	}
	return nil
}

// measureChange makes one change, waits until all gateways act on the new version alone, and returns the usage.
func (m *measurement) measureChange(ctx context.Context, leader int) (change changeUsage, err error) {
	change.kind = m.sequence.Next()
	change.leader = leader
	proposal := m.proposal(string(change.kind))
	m.clients.expect(m.version + 1)
	before, err := m.sample()
	if err != nil {
		return change, err
	}
	proposedAt := time.Now()
	if err := m.propose(proposal); err != nil {
		return change, err
	}
	change.announced = time.Since(proposedAt)
	if err := m.clients.wait(ctx, m.replicas.checkExits); err != nil {
		return change, err
	}
	change.inForce = time.Since(proposedAt)
	if err := sleep(ctx, trafficSettleTime); err != nil {
		return change, err
	}
	after, err := m.sample()
	if err != nil {
		return change, err
	}
	change.span = after.at.Sub(before.at)
	change.gateways = differences(after.gateways, before.gateways)
	change.cpu = after.cpu - before.cpu
	if leader > 0 {
		change.leaderBytes = after.bytesSent[leader-1] - before.bytesSent[leader-1]
	}
	return change, nil
}
