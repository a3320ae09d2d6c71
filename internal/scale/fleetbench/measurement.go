package fleetbench

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/scale/meter"
)

const (
	sequenceSeed       = 1
	leaderPollInterval = 20 * time.Millisecond
)

// measurement is a running measurement. It owns its replicas, clients and directory.
type measurement struct {
	Options
	dir        string
	replicas   *replicaGroup
	clients    *clientGroup
	sequence   *ConfigSequence
	operator   *replica.Client
	version    int // number of the newest version; 0: none
	lastLeader int // number of the replica that led when the replicas were last asked; 0: none
}

// newMeasurement starts the replicas and creates the clients without starting them.
func newMeasurement(options Options) (*measurement, error) {
	dir, err := os.MkdirTemp("", "irispost-fleet")
	if err != nil {
		return nil, err
	}
	m := &measurement{Options: options, dir: dir, sequence: NewConfigSequence(options.Nodes, sequenceSeed)}
	if m.replicas, err = startReplicas(options, dir); err != nil {
		_ = os.RemoveAll(dir) // the start error is returned instead
		return nil, err
	}
	addrs := m.replicas.addrs(0)
	m.clients = newClientGroup(options.Followers, addrs)
	dial := meter.Dialer(nil, func(addr string) []*meter.Counter {
		return []*meter.Counter{m.clients.trafficByReplica[addr]}
	})
	m.operator = &replica.Client{
		Replicas:   addrs,
		Timeout:    stateTimeout / 2,
		HTTPClient: &http.Client{Transport: &http.Transport{DialContext: dial}},
	}
	return m, nil
}

// close stops the clients and replicas and removes the directory.
func (m *measurement) close() {
	m.clients.close()
	m.replicas.close()
	_ = os.RemoveAll(m.dir) // best effort: it is in the system's temporary directory
}

// proposal returns a proposal of the current configuration.
func (m *measurement) proposal(reason string) *lease.Proposal {
	return &lease.Proposal{
		ID:        fmt.Sprint("bench-", m.version+1),
		Parent:    uint64(m.version),
		Author:    "bench",
		Reason:    reason,
		CreatedAt: time.Now().UTC().Format(time.RFC3339),
		Content:   m.sequence.Config().Canonical(),
	}
}

// propose proposes the next version and returns once it is announced.
func (m *measurement) propose(proposal *lease.Proposal) error {
	version, err := m.operator.Propose(proposal)
	if err != nil {
		return fmt.Errorf("proposing change %d: %w", m.version, err)
	}
	m.version++
	if version.Number != uint64(m.version) {
		return fmt.Errorf("change %d became version %d, which is not the next version", m.version-1, version.Number)
	}
	return nil
}

// proposeFirst proposes the first version once a replica leads. The operator's client then tries the leader first.
func (m *measurement) proposeFirst(ctx context.Context) error {
	hasLeader := func() bool {
		number, _ := m.replicas.leader(ctx)
		return number > 0
	}
	if err := m.replicas.await(ctx, "no replica leads", leaderPollInterval, hasLeader); err != nil {
		return err
	}
	if err := m.propose(m.proposal("the first")); err != nil {
		return err
	}
	leader, _ := m.replicas.leader(ctx)
	m.operator.Replicas = m.replicas.addrs(leader)
	return nil
}

// startClients stops the running clients and starts all clients at once. It returns the milliseconds until all act on
// the newest version.
func (m *measurement) startClients(ctx context.Context) (float64, error) {
	m.clients.close()
	m.clients.expect(m.version)
	startedAt := time.Now()
	if err := m.clients.startAll(m.replicas.addrs(0)); err != nil {
		return 0, err
	}
	err := m.clients.wait(ctx, m.replicas.checkExits)
	return milliseconds(time.Since(startedAt)), err
}

// replicaMemory returns the resident memory of each replica in MB, by number.
func (m *measurement) replicaMemory() (list []float64, err error) {
	usage, err := m.replicas.usage()
	for _, used := range usage {
		list = append(list, used.MB)
	}
	return list, err
}
