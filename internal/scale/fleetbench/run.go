package fleetbench

import (
	"context"
	"fmt"
	"os"

	"irispost/internal/scale/meter"
)

// Run starts a fleet, makes the changes and returns the resource usage and times. The options must have passed Check.
func Run(ctx context.Context, options Options) (*Figures, error) {
	m, err := newMeasurement(options)
	if err != nil {
		return nil, err
	}
	defer m.close()
	figures := &Figures{
		Followers:         options.Followers,
		Nodes:             options.Nodes,
		Changes:           options.Changes,
		DirectConnections: options.DirectConnections,
		VersionBytes:      len(m.sequence.Config().Canonical()),
	}
	if err := m.proposeFirst(ctx); err != nil {
		return nil, err
	}
	memoryWithout, err := collectedMemory()
	if err != nil {
		return nil, err
	}
	for _, target := range []*float64{&figures.FirstStartMillis, &figures.RestartMillis} {
		if *target, err = m.startClients(ctx); err != nil {
			return nil, err
		}
		m.ReportProgress(fmt.Sprintf("all %d followers act on the version after %.0f ms", options.Followers, *target))
	}
	if err := m.measureUsage(ctx, figures); err != nil {
		return nil, err
	}
	return figures, figures.fillFollowerMemory(memoryWithout)
}

// measureUsage measures the idle fleet, and then the fleet during all changes.
func (m *measurement) measureUsage(ctx context.Context, figures *Figures) error {
	term, idle, err := m.measureIdle(ctx)
	if err != nil {
		return err
	}
	if figures.ReplicaMBStart, err = m.replicaMemory(); err != nil {
		return err
	}
	changes, err := m.measureChanges(ctx)
	if err != nil {
		return err
	}
	figures.fill(idle, changes)
	if figures.ReplicaMB, err = m.replicaMemory(); err != nil {
		return err
	}
	_, state := m.replicas.leader(ctx)
	figures.Elections = state.term - term
	figures.UnexpectedExits = m.replicas.unexpectedExits
	return nil
}

// fillFollowerMemory computes the memory per gateway. without is the memory of this process before the gateways
// started, in MB.
func (f *Figures) fillFollowerMemory(without float64) error {
	uncollected, err := meter.ProcessUsage(os.Getpid())
	if err != nil {
		return err
	}
	collected, err := collectedMemory()
	f.FollowerMBBeforeGC = (uncollected.MB - without) / float64(f.Followers)
	f.FollowerMB = (collected - without) / float64(f.Followers)
	return err
}
