package scale

import (
	"cmp"
	"fmt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
)

// Partition describes two regions that cannot reach each other for a while. It is simulated in virtual time with the
// lease protocol's own state machine, manager and clients: one gateway in the region that has a majority of the
// replicas, one in the region without.
type Partition struct {
	Lease          int64 // nanoseconds
	Fallback       int64 // nanoseconds for which a gateway may serve on the fallback of its version
	Duration       int64 // nanoseconds for which the regions are apart
	ReplicaRegions []int // the region of each replica; a region without a majority has no leader
	DrainNode      bool  // the change, proposed a second after the cut, drains a node; otherwise it raises a limit
}

// PartitionResult is the outcome of a Partition. Times are nanoseconds.
type PartitionResult struct {
	// MajorityRegion is the region in which changes are still committed; -1: none.
	MajorityRegion int
	// LeaseHeldFor is the time from the cut until the lease of the gateway without a majority expired.
	LeaseHeldFor int64
	// ServedFor is the time from the cut until that gateway, on its fallback by then, stopped serving; 0: it still
	// served at the end.
	ServedFor int64
	// ActivationDelay is the time from the proposal of the change until it was in force in the majority's region; -1:
	// it was not during the partition.
	ActivationDelay int64
}

const (
	simulationStep  = int64(50e6) // nanoseconds of virtual time
	simulationStart = int64(1e9)
	simulationDrift = 0.01

	proposalDelay    = int64(1e9) // from the cut to the proposal of the change
	requestsPerLease = 5
	requestsPerStep  = 3 // a renewal that asks for another one at once gets it within the step
)

// partitionSimulation is the state of a Partition that is being simulated.
type partitionSimulation struct {
	now            int64
	state          *lease.StateMachine
	manager        *lease.Manager
	majorityClient *lease.Client // in the region with a majority, if there is one
	minorityClient *lease.Client // in the other region
}

// Simulate plays the partition and returns its outcome.
func (p Partition) Simulate() (PartitionResult, error) {
	result := PartitionResult{MajorityRegion: p.majorityRegion(), ActivationDelay: -1}
	size := ShortSize()
	size.Nodes = 3
	size.FallbackDuration = 0
	config := initialConfig(&size)
	config.FallbackPolicy.Duration = p.Fallback
	simulation, err := newPartitionSimulation(p.Lease, config)
	if err != nil {
		return result, err
	}
	if err := simulation.settle(p.Lease); err != nil {
		return result, err
	}
	cut, proposed := simulation.now, int64(0)
	for simulation.now < cut+p.Duration {
		simulation.now += simulationStep
		if result.MajorityRegion >= 0 {
			simulation.renew(simulation.majorityClient)
			if err := simulation.applyDecisions(); err != nil {
				return result, err
			}
		}
		result.observe(simulation, cut)
		if result.MajorityRegion >= 0 && proposed == 0 && simulation.now >= cut+proposalDelay {
			proposed = simulation.now
			if err := simulation.propose(p.change(&size, config)); err != nil {
				return result, err
			}
		}
		if proposed > 0 && result.ActivationDelay < 0 && simulation.state.InForce == 2 {
			result.ActivationDelay = simulation.now - proposed
		}
	}
	return result, nil
}

// majorityRegion returns the region with more than half of the replicas, or -1.
func (p Partition) majorityRegion() int {
	count := map[int]int{}
	for _, region := range p.ReplicaRegions {
		count[region]++
	}
	for region, replicas := range count {
		if 2*replicas > len(p.ReplicaRegions) {
			return region
		}
	}
	return -1
}

// change returns the configuration that is proposed during the partition.
func (p Partition) change(size *Size, config *configversion.Config) *configversion.Config {
	next := cloneConfig(config)
	if p.DrainNode {
		_, _, change := replaceNode(size, 1, 1)
		change(next)
	} else {
		raiseRateLimit(next)
	}
	return next
}

// observe notes until when the gateway without a majority held its lease, and until when it served.
func (r *PartitionResult) observe(simulation *partitionSimulation, cut int64) {
	simulation.minorityClient.Effective(simulation.now)
	state := simulation.minorityClient.State()
	if state != lease.StateActing {
		r.LeaseHeldFor = cmp.Or(r.LeaseHeldFor, simulation.now-cut)
	}
	if state == lease.StateEnded {
		r.ServedFor = cmp.Or(r.ServedFor, simulation.now-cut)
	}
}

// newPartitionSimulation makes version 1 of the configuration and both gateways' clients.
func newPartitionSimulation(leaseDuration int64, config *configversion.Config) (*partitionSimulation, error) {
	state := lease.NewStateMachine()
	for _, command := range []*lease.Command{
		{Bootstrap: &lease.Settings{LeaseDuration: leaseDuration, MaxClockDrift: simulationDrift}},
		{Propose: &lease.Proposal{ID: "first", Content: config.Canonical()}},
		{Activate: 1},
		{Join: []string{"here", "there"}},
	} {
		if _, err := state.Apply(command); err != nil {
			return nil, err
		}
	}
	simulation := &partitionSimulation{
		now:            simulationStart,
		state:          state,
		manager:        lease.NewManager(simulationStart, 1, state, 0),
		majorityClient: lease.NewClient("here", leaseDuration/requestsPerLease, 0),
		minorityClient: lease.NewClient("there", leaseDuration/requestsPerLease, 0),
	}
	simulation.majorityClient.RequestFullVersions() // the transfer of contents takes no virtual time
	simulation.minorityClient.RequestFullVersions()
	return simulation, nil
}

// settle lets both gateways renew for two leases, after which both have to act on the version in force.
func (s *partitionSimulation) settle(leaseDuration int64) error {
	for range 2 * leaseDuration / simulationStep {
		s.now += simulationStep
		s.renew(s.majorityClient)
		s.renew(s.minorityClient)
		if err := s.applyDecisions(); err != nil {
			return err
		}
	}
	if s.majorityClient.State() != lease.StateActing || s.minorityClient.State() != lease.StateActing {
		return fmt.Errorf("before the cut they are %v and %v", s.majorityClient.State(), s.minorityClient.State())
	}
	return nil
}

// renew lets a gateway send the renewals that are due.
func (s *partitionSimulation) renew(client *lease.Client) {
	for range requestsPerStep {
		if client.NextRequestAt(s.now) <= s.now {
			client.HandleResponse(s.now, s.manager.Renew(s.now, client.NextRequest(s.now)))
		}
	}
}

// applyDecisions applies the commands that the lease manager wants committed.
func (s *partitionSimulation) applyDecisions() error {
	for command := s.manager.NextCommand(s.now); command != nil; command = s.manager.NextCommand(s.now) {
		if _, err := s.state.Apply(command); err != nil {
			return err
		}
		s.manager.Applied(command)
	}
	return nil
}

// propose commits the second version.
func (s *partitionSimulation) propose(config *configversion.Config) error {
	proposal := &lease.Proposal{ID: "second", Parent: 1, Content: config.Canonical()}
	_, err := s.state.Apply(&lease.Command{Propose: proposal})
	return err
}
