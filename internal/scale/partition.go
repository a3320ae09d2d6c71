package scale

import (
	"cmp"
	"fmt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
)

// Partition describes a network partition between two regions. It is simulated in virtual time with the state machine,
// manager and clients of the lease protocol. There is one gateway in the region with a majority of the replicas and
// one in the other region.
type Partition struct {
	Lease          int64 // nanoseconds
	Fallback       int64 // nanoseconds for which a gateway may serve on its version's fallback
	Duration       int64 // nanoseconds
	ReplicaRegions []int // region of each replica; only a region with a majority has a leader
	ReplaceNode    bool  // the change, proposed a second after the start, replaces a node; otherwise it raises a limit
}

// PartitionResult is the outcome of a Partition. Times are in nanoseconds.
type PartitionResult struct {
	// MajorityRegion is the region in which changes are still committed, or -1 if there is none.
	MajorityRegion int
	// LeaseHeldFor is the time from the start of the partition until the lease of the gateway in the minority region
	// expired.
	LeaseHeldFor int64
	// ServedFor is the time from the start of the partition until that gateway, by then on its fallback, stopped
	// serving, or 0 if it still served at the end.
	ServedFor int64
	// ActivationDelay is the time from the proposal of the change until it was in force in the majority region, or -1
	// if it was not in force before the end of the partition.
	ActivationDelay int64
}

const (
	simulationStep  = int64(50e6) // nanoseconds of virtual time
	simulationStart = int64(1e9)
	simulationDrift = 0.01

	proposalDelay    = int64(1e9) // from the start of the partition to the proposal of the change
	requestsPerLease = 5
	requestsPerStep  = 3 // a renewal may have to be followed by another at once, within the same step
)

// partitionSimulation is the state of the simulation of a Partition.
type partitionSimulation struct {
	now            int64
	state          *lease.StateMachine
	manager        *lease.Manager
	majorityClient *lease.Client // of the gateway in the majority region, if there is one
	minorityClient *lease.Client // of the gateway in the other region
}

// Simulate runs the simulation and returns its outcome.
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

// change returns the configuration that is proposed during the partition, a changed copy of config.
func (p Partition) change(size *Size, config *configversion.Config) *configversion.Config {
	next := cloneConfig(config)
	if p.ReplaceNode {
		_, _, change := replaceNode(size, 1, 1)
		change(next)
	} else {
		raiseRateLimit(next)
	}
	return next
}

// observe records when the gateway in the minority region lost its lease and when it stopped serving.
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

// newPartitionSimulation returns a simulation with version 1 of the configuration and the clients of both gateways.
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
	simulation.majorityClient.RequestFullVersions() // transfers take no virtual time
	simulation.minorityClient.RequestFullVersions()
	return simulation, nil
}

// settle lets both gateways renew for the time of two leases. Both must then act on the version in force.
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
		return fmt.Errorf("states before the cut: %v, %v, want acting", s.majorityClient.State(), s.minorityClient.State())
	}
	return nil
}

// renew sends a gateway's renewals that are due.
func (s *partitionSimulation) renew(client *lease.Client) {
	for range requestsPerStep {
		if client.NextRequestAt(s.now) <= s.now {
			client.HandleResponse(s.now, s.manager.Renew(s.now, client.NextRequest(s.now)))
		}
	}
}

// applyDecisions commits the commands that the lease manager proposes.
func (s *partitionSimulation) applyDecisions() error {
	for command := s.manager.NextCommand(s.now); command != nil; command = s.manager.NextCommand(s.now) {
		if _, err := s.state.Apply(command); err != nil {
			return err
		}
		s.manager.Applied(command)
	}
	return nil
}

// propose commits a proposal of version 2.
func (s *partitionSimulation) propose(config *configversion.Config) error {
	proposal := &lease.Proposal{ID: "second", Parent: 1, Content: config.Canonical()}
	_, err := s.state.Apply(&lease.Command{Propose: proposal})
	return err
}
