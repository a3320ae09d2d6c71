package fleetbench

import (
	"context"
	"fmt"
	"time"
)

// leaderKill is the kill of the leader during the changes, and its restart.
type leaderKill struct {
	killAt    int             // number of the change before which the leader is killed; the number of changes: never
	restartAt int             // number of the change before which it is started again
	killed    *replicaProcess // nil: all replicas are up and have the newest version
}

// measureChanges makes all changes one after another. With Kill, the leader is killed after half of them and started
// again a quarter later.
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
		if number >= kill.restartAt && kill.killed != nil && m.hasNewest(ctx, kill.killed) {
			m.ReportProgress(fmt.Sprintf("change %d: keeper %d is back", number, kill.killed.number))
			kill.killed = nil
		}
	}
	return changes, nil
}

// killOrRestart kills the leader or starts it again where that is due before a change.
func (m *measurement) killOrRestart(kill *leaderKill, number, leader int) error {
	switch number {
	case kill.killAt:
		if leader == 0 {
			return fmt.Errorf("change %d: no keeper leads that could be killed", number)
		}
		kill.killed = m.replicas.replicas[leader-1]
		kill.killed.kill()
		m.ReportProgress(fmt.Sprintf("change %d: keeper %d, which led, is killed", number, leader))
	case kill.restartAt:
		kill.killed.restart = true
		if err := kill.killed.start(m.replicas.program); err != nil {
			return err
		}
		m.ReportProgress(fmt.Sprintf("change %d: keeper %d is started again", number, kill.killed.number))
	}
	return nil
}

// measureChange makes one change and waits until all gateways act on it alone.
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
	if err := sleep(ctx, trafficSettling); err != nil {
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
