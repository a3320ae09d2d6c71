package slowstart

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"irispost/internal/fleet/slowstart/budget"
	"irispost/internal/fleet/slowstart/epoch"
)

// The simulation has one node in slow start, gateways each of which may come to own the node's budget, and replicas
// that grant leases and know the members. Messages are lost, delayed, duplicated and reordered; gateways stall, are
// partitioned and restart under other names; the leader of the replicas changes; clocks drift up to the stated
// maximum. All randomness comes from the seed of the run. After each step, the units that can be sent to the node and
// those sent in the last window are compared with the limits derived from its capacity.

const (
	ms            = int64(1e6)
	leaseDuration = 1000 * ms
	simulatedNode = "10.0.0.9:7000"
	simulatedTime = 12000 * ms // the warm-up time of the node
	simulatedRate = 60         // of the warmed-up node, in units per second
	maxStep       = 25 * ms
	maxOutage     = 4000 * ms // maximum length of a stall or a partition
	unitTolerance = 1e-6      // for rounding errors of floating-point sums
)

var simulatedSettings = budget.Settings{
	InitialFraction: 0.2, WarmupTime: simulatedTime, OverloadMultiple: 2, Window: 1500 * ms, MinUnits: 5,
	AllocatedShare: 0.5, AllocationTime: 1000 * ms, MaxClockDrift: 0.05,
}

// faults are the injected defects of a run.
type faults struct {
	budget budget.InjectedFaults
	epoch  epoch.InjectedFaults
}

// clock is the clock of one process.
type clock struct {
	rate   float64
	offset int64
}

// at returns the reading of the clock at a true time.
func (c clock) at(now int64) int64 { return c.offset + int64(float64(now)*c.rate) }

type message struct {
	at      int64
	deliver func()
}

type simulatedSend struct {
	at    int64
	units float64
}

// simulation is the state of one run. Times are true times unless stated otherwise.
type simulation struct {
	random          *rand.Rand
	faults          faults
	now             int64
	network         []message
	gateways        []*simulatedGateway
	gatewaysStarted int // number of gateways started so far; used in their names

	leaderClock  clock
	membership   epoch.Membership
	epochBeganAt int64            // on the leader's clock
	renewedAt    map[string]int64 // on the leader's clock, by member

	sends               []simulatedSend // in the last window
	sentUnits           float64
	owner               string
	ownerMoves          int
	allocatorsStartedAt []int64 // start times of allocators

	lossRate       float64
	maxDelay       int64
	sendNearExpiry bool    // holders send their units when the allocation is about to expire
	outageRate     float64 // probability per step of a stall, a partition or a new leader; a restart has half of it
}

func newSimulation(seed uint64, faults faults) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), faults: faults, renewedAt: map[string]int64{}}
	s.leaderClock = s.newClock()
	s.lossRate = []float64{0, 0.05, 0.3}[s.random.IntN(3)]
	s.maxDelay = []int64{2, 50, 500}[s.random.IntN(3)] * ms
	s.sendNearExpiry = s.chance(0.5)
	s.outageRate = []float64{0, 0.002, 0.01}[s.random.IntN(3)]
	for range 2 + s.random.IntN(4) {
		s.gateways = append(s.gateways, s.newGateway())
	}
	return s
}

func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

func (s *simulation) newClock() clock {
	drift := simulatedSettings.MaxClockDrift
	rate := 1 - drift + 2*drift*float64(s.random.IntN(3))/2
	return clock{rate: rate, offset: int64(s.random.IntN(1000)) * ms}
}

// send sends a message between gateways or replicas (nil). Messages can be lost, delayed or duplicated.
func (s *simulation) send(from, to *simulatedGateway, deliver func()) {
	if s.chance(s.lossRate) || s.isPartitioned(from) || s.isPartitioned(to) {
		return
	}
	receive := deliver
	if to != nil {
		receive = func() { to.inbox = append(to.inbox, deliver) }
	}
	for range 1 + s.random.IntN(20)/19 {
		s.network = append(s.network, message{s.now + 1 + s.random.Int64N(s.maxDelay), receive})
	}
}

func (s *simulation) isPartitioned(g *simulatedGateway) bool {
	return g != nil && g.partitionedUntil > s.now
}

// deliverMessages delivers the messages that have arrived by now.
func (s *simulation) deliverMessages() {
	arrived := slices.Clone(s.network)
	s.network = slices.DeleteFunc(s.network, func(m message) bool { return m.at <= s.now })
	for _, m := range arrived {
		if m.at <= s.now {
			m.deliver()
		}
	}
}

// beginEpoch begins an epoch after a change of the members.
func (s *simulation) beginEpoch(departed bool) {
	s.membership.Epoch++
	if departed {
		s.membership.Departures++
	}
	s.epochBeganAt = s.leaderClock.at(s.now)
}

// updateMembers removes members whose leases have expired, and occasionally changes the leader.
func (s *simulation) updateMembers() {
	now := s.leaderClock.at(s.now)
	drift := simulatedSettings.MaxClockDrift
	longestLease := int64(float64(leaseDuration)*(1+drift)/(1-drift)) + 1
	remaining := slices.DeleteFunc(slices.Clone(s.membership.Members), func(name string) bool {
		return now > s.renewedAt[name]+longestLease
	})
	if len(remaining) < len(s.membership.Members) {
		s.membership.Members = remaining
		s.beginEpoch(true)
	}
	if s.chance(s.outageRate) { // a new leader does not know how long there has been no later epoch
		s.epochBeganAt = now
	}
}

// step advances time by a random amount, and describes the violation of a limit; "": there is none.
func (s *simulation) step() string {
	s.now += 1 + s.random.Int64N(maxStep)
	s.deliverMessages()
	s.updateMembers()
	for i, g := range s.gateways {
		switch {
		case s.chance(s.outageRate):
			g.stalledUntil = s.now + s.random.Int64N(maxOutage)
		case s.chance(s.outageRate):
			g.partitionedUntil = s.now + s.random.Int64N(maxOutage)
		case s.chance(s.outageRate / 2):
			s.gateways[i] = s.newGateway()
			continue
		}
		if g.stalledUntil <= s.now {
			s.stepGateway(g)
		}
	}
	return s.violation()
}

// violation compares the units that can be sent, and those sent in the last window, with their limits. It describes the
// limit that is exceeded; "": none.
func (s *simulation) violation() string {
	sinceMove := int64(0) // since the earliest start of an allocator whose predecessor's allocations may still be valid
	for _, at := range s.allocatorsStartedAt {
		if s.now-at < 2*simulatedSettings.AllocationTime {
			sinceMove = max(sinceMove, s.now-at)
		}
	}
	sendable, limit := s.sendable(), simulatedSettings.MaxOutstanding(s.now, simulatedRate, sinceMove)
	if sendable > limit+unitTolerance {
		return fmt.Sprintf("%.1f units can be sent at once, the limit is %.1f", sendable, limit)
	}
	begin := s.now - simulatedSettings.Window
	for len(s.sends) > 0 && s.sends[0].at <= begin {
		s.sends = s.sends[1:]
	}
	sent := 0.0
	for _, send := range s.sends {
		sent += send.units
	}
	capacity := simulatedSettings.Capacity(begin, simulatedRate)
	if allocated := simulatedSettings.AllocatedShare * capacity; sent > allocated+unitTolerance {
		return fmt.Sprintf("%.1f units were sent in a window, the limit is %.1f of a capacity of %.1f",
			sent, allocated, capacity)
	}
	return ""
}

// sendable returns how many units can reach the node at once: those of valid allocations, at holders or in transit, and
// those available at every gateway that considers itself the owner of the budget.
func (s *simulation) sendable() (units float64) {
	for _, g := range s.gateways {
		now := g.clock.at(s.now)
		for _, allocation := range g.usable {
			if now < allocation.validUntil {
				units += allocation.Units
			}
		}
		if g.allocator != nil && g.ownership.Owns(now, simulatedNode) {
			available, _ := g.allocator.Usage(now)
			units += available
		}
	}
	return units
}

// simulate runs the simulation until the node is warmed up or a limit is violated, and describes the violation.
func simulate(seed uint64, faults faults) (run *simulation, violation string) {
	s := newSimulation(seed, faults)
	for s.now < simulatedTime {
		if violation := s.step(); violation != "" {
			return s, fmt.Sprintf("seed %d, after %d ms: %s", seed, s.now/ms, violation)
		}
	}
	return s, ""
}

// TestBudgetHoldsInAllRuns: the units that reach the node never exceed the allocated share of its capacity. The runs
// must also send enough units and move the budget often enough to exercise the limits. IRISPOST_RUNS sets the number of
// runs.
func TestBudgetHoldsInAllRuns(t *testing.T) {
	runs := 400
	if n, err := strconv.Atoi(os.Getenv("IRISPOST_RUNS")); err == nil {
		runs = n
	}
	sent, moves := 0.0, 0
	for seed := range uint64(runs) {
		s, violation := simulate(seed, faults{})
		if violation != "" {
			t.Fatal(violation)
		}
		sent += s.sentUnits
		moves += s.ownerMoves
	}
	t.Logf("%d runs: %.0f units a run, the budget moved %.1f times", runs, sent/float64(runs), float64(moves)/float64(runs))
	if moves < runs/2 || sent < 10*float64(runs) {
		t.Errorf("got %d moves and %.0f units in %d runs, want at least one move in two runs and 10 units per run",
			moves, sent, runs)
	}
}

// TestSimulationFindsInjectedFaults: each injected fault causes a violation in some run.
func TestSimulationFindsInjectedFaults(t *testing.T) {
	const maxRuns = 1000
	for name, faults := range map[string]faults{
		"all available at the start":               {budget: budget.FaultFullStart},
		"outstanding units are not counted":        {budget: budget.FaultIgnoreOutstanding},
		"a request is counted twice":               {budget: budget.FaultAcceptDuplicates | budget.FaultTrustReturned},
		"more is taken back than was allocated":    {budget: budget.FaultTrustReturned},
		"an allocation expires early":              {budget: budget.FaultEarlyExpiry},
		"returned units are used":                  {budget: budget.FaultUseReturned},
		"a new owner does not wait":                {epoch: epoch.FaultNoWait},
		"an owner goes on while it is partitioned": {epoch: epoch.FaultIgnoreLease},
		"departures are forgotten":                 {epoch: epoch.FaultIgnoreDepartures},
	} {
		violation := ""
		for seed := uint64(0); violation == "" && seed < maxRuns; seed++ {
			_, violation = simulate(seed, faults)
		}
		if violation == "" {
			t.Errorf("%s: got no violation in %d runs, want one", name, maxRuns)
			continue
		}
		t.Logf("%s: %s", name, violation)
	}
}
