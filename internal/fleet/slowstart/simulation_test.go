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

// The simulation: one node in slow start, gateways of which each may come to own its budget, and replicas that
// grant leases and know the members. Messages are lost, late, duplicated and out of order; gateways stall, are
// partitioned and restart under other names; the replicas' leader changes; clocks drift as far as is stated. All
// chance comes from the run's seed. After each step what can be and was sent to the node is held against what it
// bears.

const (
	ms            = int64(1e6)
	leaseDuration = 1000 * ms
	simulatedNode = "10.0.0.9:7000"
	simulatedTime = 12000 * ms // the node's warm-up
	simulatedRate = 60         // units a second of the node, warmed up
	maxStep       = 25 * ms
	maxOutage     = 4000 * ms // a stall or a partition
	unitTolerance = 1e-6      // as floating-point sums
)

var simulatedSettings = budget.Settings{
	InitialFraction: 0.2, WarmupTime: simulatedTime, OverloadMultiple: 2, Window: 1500 * ms, MinUnits: 5,
	AllocatedShare: 0.5, AllocationTime: 1000 * ms, MaxClockDrift: 0.05,
}

// faults are defects that are put in.
type faults struct {
	budget budget.InjectedFaults
	epoch  epoch.InjectedFaults
}

// clock is a process's clock.
type clock struct {
	rate   float64
	offset int64
}

// at is the clock's reading at a true time.
func (c clock) at(now int64) int64 { return c.offset + int64(float64(now)*c.rate) }

type message struct {
	at      int64
	deliver func()
}

type simulatedSend struct {
	at    int64
	units float64
}

// simulation is one run. Times are true times unless said otherwise.
type simulation struct {
	random          *rand.Rand
	faults          faults
	now             int64
	network         []message
	gateways        []*simulatedGateway
	gatewaysStarted int // gateways, for their names

	leaderClock  clock
	membership   epoch.Membership
	epochBeganAt int64            // on the leader's clock
	renewedAt    map[string]int64 // on the leader's clock, by member

	sends               []simulatedSend // in the last window
	sentUnits           float64
	owner               string
	ownerMoves          int
	allocatorsStartedAt []int64 // when allocators began

	lossRate       float64
	maxDelay       int64
	sendNearExpiry bool    // holders send what they have when its time is nearly over
	outageRate     float64 // how often something happens to a gateway, a step
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

// send sends something between gateways, or the replicas (nil); some messages come twice.
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

// deliverMessages delivers what has arrived.
func (s *simulation) deliverMessages() {
	arrived := slices.Clone(s.network)
	s.network = slices.DeleteFunc(s.network, func(m message) bool { return m.at <= s.now })
	for _, m := range arrived {
		if m.at <= s.now {
			m.deliver()
		}
	}
}

// beginEpoch notes a change of the members.
func (s *simulation) beginEpoch(departed bool) {
	s.membership.Epoch++
	if departed {
		s.membership.Departures++
	}
	s.epochBeganAt = s.leaderClock.at(s.now)
}

// updateMembers has the members leave whose leases have run out, and at times changes the leader.
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
	if s.chance(s.outageRate) { // a new leader does not know for how long there has been no later epoch
		s.epochBeganAt = now
	}
}

// step lets a while pass, and returns what is violated; "": nothing.
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

// violation holds what can be sent, and what was sent in the last window, against what is allocated.
func (s *simulation) violation() string {
	sinceMove := int64(0) // since the first of the moves whose allocations may still be valid
	for _, at := range s.allocatorsStartedAt {
		if s.now-at < 2*simulatedSettings.AllocationTime {
			sinceMove = max(sinceMove, s.now-at)
		}
	}
	sendable, limit := s.sendable(), simulatedSettings.MaxOutstanding(s.now, simulatedRate, sinceMove)
	if sendable > limit+unitTolerance {
		return fmt.Sprintf("%.1f units can be sent at once, %.1f may be", sendable, limit)
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
		return fmt.Sprintf("%.1f units in a window, %.1f are allocated of %.1f", sent, allocated, capacity)
	}
	return ""
}

// sendable is how many units can reach the node at once: valid allocations, at holders or on their way, and what
// is available at all that take the budget for theirs.
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

// simulate plays a run until the node is warmed up, and tells what was violated.
func simulate(seed uint64, faults faults) (run *simulation, violation string) {
	s := newSimulation(seed, faults)
	for s.now < simulatedTime {
		if violation := s.step(); violation != "" {
			return s, fmt.Sprintf("seed %d, after %d ms: %s", seed, s.now/ms, violation)
		}
	}
	return s, ""
}

// TestBudgetHoldsInAllRuns: never more reaches the node than is allocated of what it bears; and of that, enough.
// IRISPOST_RUNS says how many runs.
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
		t.Errorf("%d moves and %.0f units in %d runs: they show little", moves, sent, runs)
	}
}

// TestSimulationFindsInjectedFaults: each defect is a violation in some run.
func TestSimulationFindsInjectedFaults(t *testing.T) {
	const maxRuns = 1000
	for name, faults := range map[string]faults{
		"all available at the start":               {budget: budget.FaultFullStart},
		"outstanding units take no room":           {budget: budget.FaultIgnoreOutstanding},
		"a request counts twice":                   {budget: budget.FaultAcceptDuplicates | budget.FaultTrustReturned},
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
			t.Errorf("%s: not found in %d runs", name, maxRuns)
			continue
		}
		t.Logf("%s: %s", name, violation)
	}
}
