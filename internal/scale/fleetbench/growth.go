package fleetbench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"irispost/internal/fleet/replica"
	"irispost/internal/scale/meter"
)

// Growth is the result of MeasureGrowth: how memory, directories and catch-up grow with the number of changes. Times
// are milliseconds, MB are millions of bytes.
type Growth struct {
	Followers       int                `json:"followers"`
	Nodes           int                `json:"nodes"`
	Changes         int                `json:"changes"`
	Kinds           map[ChangeKind]int `json:"changes_by_kind"`
	VersionBytes    int                `json:"version_bytes"` // the first version's content
	Marks           []Mark             `json:"marks"`
	InForce         meter.Quantiles    `json:"in_force_ms"` // from proposal until in force, see awaitInForce
	StartMillis     float64            `json:"start_ms"`    // of a killed replica with its directory, until it caught up
	JoinMillis      float64            `json:"join_ms"`     // of a replica with an empty directory, until it caught up
	JoinBytes       int64              `json:"join_bytes"`  // between it and the others until then, in both directions
	UnexpectedExits int                `json:"keeper_ends"` // of the restarted and the joining replica
}

// Mark is the memory and directory size of the replicas after a number of changes. Lists are by replica number.
type Mark struct {
	Changes     int       `json:"changes"`
	ReplicaMB   []float64 `json:"keeper_mb"`
	FolderBytes []int64   `json:"folder_bytes"`
}

const (
	// memorySettleTime is how long the replicas stay idle before their memory is measured.
	memorySettleTime = 2 * time.Second

	progressInterval    = 5 * time.Second
	inForcePollInterval = time.Millisecond
	catchUpPollInterval = 2 * time.Millisecond
)

// MeasureGrowth starts a fleet, makes the changes, and measures the replicas at the marks and then the catch-up of a
// restarted and of a joining replica. The options must have passed Check.
func MeasureGrowth(ctx context.Context, options Options) (*Growth, error) {
	m, err := newMeasurement(options)
	if err != nil {
		return nil, err
	}
	defer m.close()
	growth := &Growth{
		Followers:    options.Followers,
		Nodes:        options.Nodes,
		Changes:      options.Changes,
		Kinds:        map[ChangeKind]int{},
		VersionBytes: len(m.sequence.Config().Canonical()),
	}
	if err := m.proposeFirst(ctx); err != nil {
		return nil, err
	}
	if options.Followers > 0 {
		if _, err := m.startClients(ctx); err != nil {
			return nil, err
		}
	}
	if err := m.makeChanges(ctx, growth); err != nil {
		return nil, err
	}
	if growth.StartMillis, err = m.restartReplica(ctx); err != nil {
		return nil, err
	}
	m.ReportProgress(fmt.Sprintf("a replica restarted with its directory caught up after %.0f ms", growth.StartMillis))
	if growth.JoinMillis, growth.JoinBytes, err = m.joinReplica(ctx); err != nil {
		return nil, err
	}
	growth.UnexpectedExits = m.replicas.unexpectedExits
	return growth, nil
}

// makeChanges makes all changes and measures the replicas at the marks.
func (m *measurement) makeChanges(ctx context.Context, growth *Growth) error {
	var times []float64
	reportedAt := time.Now()
	for number := 1; number <= m.Changes; number++ {
		kind := m.sequence.Next()
		growth.Kinds[kind]++
		proposal := m.proposal(string(kind))
		m.clients.expect(m.version + 1)
		proposedAt := time.Now()
		if err := m.propose(proposal); err != nil {
			return err
		}
		if err := m.awaitInForce(ctx); err != nil {
			return err
		}
		times = append(times, milliseconds(time.Since(proposedAt)))
		if slices.Contains(m.Marks, number) {
			mark, err := m.measureMark(ctx, number)
			if err != nil {
				return err
			}
			growth.Marks = append(growth.Marks, mark)
		} else if time.Since(reportedAt) > progressInterval {
			m.ReportProgress(fmt.Sprintf("%d of %d changes are in force", number, m.Changes))
			reportedAt = time.Now()
		}
	}
	growth.InForce = meter.QuantilesOf(times)
	return nil
}

// measureMark measures the replicas' memory and directory sizes after a number of changes.
func (m *measurement) measureMark(ctx context.Context, changes int) (mark Mark, err error) {
	mark.Changes = changes
	if err := sleep(ctx, memorySettleTime); err != nil {
		return mark, err
	}
	if mark.ReplicaMB, err = m.replicaMemory(); err != nil {
		return mark, err
	}
	for _, replica := range m.replicas.replicas {
		size, err := meter.DirSize(m.replicas.dataDir(replica.number))
		if err != nil {
			return mark, err
		}
		mark.FolderBytes = append(mark.FolderBytes, size)
	}
	m.ReportProgress(fmt.Sprintf("after %d changes: memory of the replicas %s MB, directories %v bytes",
		changes, formatMB(mark.ReplicaMB), mark.FolderBytes))
	return mark, nil
}

// awaitInForce waits until the newest version is in force: until all gateways act on it alone or, if there are no
// gateways, until it is in force according to the leader's log.
func (m *measurement) awaitInForce(ctx context.Context) error {
	if m.Followers > 0 {
		return m.clients.wait(ctx, m.replicas.checkExits)
	}
	problem := fmt.Sprintf("version %d is not in force", m.version)
	return m.replicas.await(ctx, problem, inForcePollInterval, func() bool {
		var state replicaState
		if m.lastLeader > 0 {
			state, _ = m.replicas.replicas[m.lastLeader-1].state(ctx) // on an error it no longer counts as the leader
		}
		if !state.leader {
			m.lastLeader, state = m.replicas.leader(ctx)
		}
		return state.inForce == m.version
	})
}

// hasNewestVersion reports whether the newest version is in force according to a replica's log.
func (m *measurement) hasNewestVersion(ctx context.Context, replica *replicaProcess) bool {
	state, err := replica.state(ctx)
	return err == nil && state.inForce == m.version
}

// awaitNewestVersion waits until the newest version is in force according to a replica's log.
func (m *measurement) awaitNewestVersion(ctx context.Context, replica *replicaProcess, problem string) error {
	return m.replicas.await(ctx, problem, catchUpPollInterval, func() bool { return m.hasNewestVersion(ctx, replica) })
}

// restartReplica kills a replica other than the leader and restarts it with its directory. It returns the milliseconds
// until the replica has the newest version.
func (m *measurement) restartReplica(ctx context.Context) (float64, error) {
	leader, _ := m.replicas.leader(ctx)
	replica := m.replicas.replicas[leader%len(m.replicas.replicas)] // the one after the leader
	replica.kill()
	replica.restartOnExit = true
	startedAt := time.Now()
	if err := replica.start(m.replicas.program); err != nil {
		return 0, err
	}
	problem := fmt.Sprintf("replica %d, restarted, does not have version %d", replica.number, m.version)
	err := m.awaitNewestVersion(ctx, replica, problem)
	return milliseconds(time.Since(startedAt)), err
}

// joinReplica adds a replica to the group. It returns the milliseconds until the replica has the newest version, and
// the bytes exchanged between it and the others.
func (m *measurement) joinReplica(ctx context.Context) (millis float64, bytes int64, err error) {
	joining, addr, err := m.replicas.join()
	if err != nil {
		return 0, 0, err
	}
	startedAt := time.Now()
	change := &replica.MembershipChange{Add: map[uint64]string{uint64(joining.number): addr}}
	if err := m.operator.ChangeMembership(change); err != nil {
		return 0, 0, err
	}
	problem := fmt.Sprintf("replica %d, joining, does not have version %d", joining.number, m.version)
	if err := m.awaitNewestVersion(ctx, joining, problem); err != nil {
		return 0, 0, err
	}
	millis = milliseconds(time.Since(startedAt))
	bytes = m.replicas.bytesTotal(joining.number)
	m.ReportProgress(fmt.Sprintf("a joining replica has caught up after %.0f ms and %d bytes", millis, bytes))
	return millis, bytes, nil
}
