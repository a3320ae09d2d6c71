package scheduler

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
)

// slowStartFleet is a scenario in which a node restarts while a fleet of gateways receives requests for it.
type slowStartFleet struct {
	gateways, volumes, gatewaysPerVolume int
	submitted                            float64 // units per second
	uneven                               bool    // nine in ten requests use a tenth of the gateways
	restarts                             bool    // a tenth of the gateways restart every half second without state
	resets                               float64 // share of attempts that end with a connection reset and are retried
	burstInterval                        Time    // attempts reach the node in bursts at this interval; 0: each at once
}

// fleetRun is a simulation of a slowStartFleet.
type fleetRun struct {
	slowStartFleet
	seed        uint64
	random      pcg32
	now         Time
	startedAt   Time // start time of the node
	gateways    []*harness
	busyUntil   Time // of the node, which processes one attempt at a time
	dueAt       map[*Attempt]Time
	outcomes    map[*Attempt]Outcome // the outcome at that time
	deliveredAt []Time               // when attempts reached the node, after its start
}

// simulate runs the fleet for one second before the node's start and four seconds after it. It returns the number of
// attempts that reached the node after its start, and the highest excess over its budget in any window. With N the
// number of attempts of mean units that the multiple allows, the excess is the attempts beyond N, divided by
// 2 x sqrt(N) + 2.
func (f slowStartFleet) simulate(seed uint64) (attempts int, excess float64) {
	run := &fleetRun{
		slowStartFleet: f,
		seed:           seed,
		random:         newPCG32(seed),
		now:            Second,
		dueAt:          map[*Attempt]Time{},
		outcomes:       map[*Attempt]Outcome{},
	}
	for i := range f.gateways {
		run.gateways = append(run.gateways, run.newGateway(i))
	}
	for step := -100; step < 400; step++ {
		run.step(step)
		run.now += 10 * Millisecond
	}
	return len(run.deliveredAt), run.excess()
}

// newGateway creates a gateway that knows the rate of a warm node.
func (r *fleetRun) newGateway(i int) *harness {
	h := newHarness(r.seed<<32+uint64(r.random.uint32()), testSettings(
		"plans.0.limit=0", "plans.0.rate=2", "plans.0.reserve=1", "plans.1.rate=4",
		"cold.units=0", "further.free=1000", "further.share=10",
		fmt.Sprintf("gateways=%d", r.slowStartFleet.gateways),
		fmt.Sprintf("plans.1.reserve=%g", 20/float64(r.volumes))))
	h.now = r.now
	h.startedAt = r.now
	h.scheduler = New(r.now, r.seed+uint64(i), h.settings)
	h.gatewayCount = float64(r.gatewaysPerVolume)
	h.listNode("a0", 0, r.startedAt, EndpointReady)
	h.listWarmNode()
	return h
}

// step simulates 10 ms. The node starts at step 0.
func (r *fleetRun) step(step int) {
	if step == 0 {
		r.startedAt = r.now
		for _, h := range r.gateways {
			h.listNode("a0", 0, r.startedAt, EndpointReady)
		}
	}
	if r.restarts && step > 0 && step%50 == 0 {
		for range (len(r.gateways) + 9) / 10 {
			i := int(r.random.uint32()) % len(r.gateways)
			r.gateways[i] = r.newGateway(i)
		}
	}
	r.submit()
	rate := warmingUnitsPerSecond(Time(max(step, 0)) * 10 * Millisecond)
	for _, h := range r.gateways {
		for _, attempt := range slices.Clone(h.inFlight) {
			if at, sent := r.dueAt[attempt]; sent && at <= r.now {
				h.finish(attempt, r.outcomes[attempt])
			}
		}
		h.advance(10 * Millisecond)
		for _, attempt := range h.dispatched {
			r.deliver(attempt, rate, step >= 0)
		}
	}
}

// submit submits 10 ms worth of requests of two units each. They are writes, whose answers do not count.
func (r *fleetRun) submit() {
	for expected := r.submitted / 200; expected > 0; expected-- {
		volume := int(r.random.uint32()) % r.volumes
		gateway := int(r.random.uint32()) % r.gatewaysPerVolume
		if r.uneven && r.random.float64() < 0.9 {
			gateway %= max(r.gatewaysPerVolume/10, 1)
		}
		if r.random.float64() < expected {
			h := r.gateways[(volume*5+gateway)%len(r.gateways)]
			h.submit(int64(volume+1), "read", 0, 2).Write = true
		}
	}
}

// deliver passes an attempt to the node, which processes the given units per second.
func (r *fleetRun) deliver(attempt *Attempt, rate float64, started bool) {
	at := r.now
	if r.burstInterval > 0 {
		at += r.burstInterval - (r.now-Second)%r.burstInterval
	}
	r.busyUntil = max(r.busyUntil, at) + Time(attempt.Request.Units/rate*float64(Second))
	r.dueAt[attempt] = r.busyUntil
	r.outcomes[attempt] = OutcomeServed
	if r.random.float64() < r.resets { // early enough for a retry
		r.dueAt[attempt] = at + 10*Millisecond
		r.outcomes[attempt] = OutcomeReset
	}
	if started {
		r.deliveredAt = append(r.deliveredAt, at)
	}
}

// excess returns the highest excess over the node's budget in any window of one second (see simulate).
func (r *fleetRun) excess() float64 {
	maxExcess := math.Inf(-1)
	slices.Sort(r.deliveredAt)
	for i, at := range r.deliveredAt { // the window that ends with this attempt
		first, _ := slices.BinarySearch(r.deliveredAt, at-Second+1)
		budget := 2 * warmingUnitsPerSecond(at-r.startedAt) / 2 // the multiple of 2, divided by the two units of an attempt
		maxExcess = max(maxExcess, (float64(i+1-first)-budget)/(2*math.Sqrt(budget)+2))
	}
	return maxExcess
}

// All gateways together stay within the budget of a warming node: N attempts, and 2 x sqrt(N) + 2 for random variation,
// in the worst case over many seeds, and they do use it. The cases cover 5 to 300 gateways, uneven traffic, gateways
// that restart and lose their state, retries, and attempts that arrive late and all at once. The worst run of each case
// is logged with its excess (see simulate): 0 means N, 1 means the bound. The capacity record reads these lines.
func TestFleetStaysWithinTheBudgetOfAWarmingNode(t *testing.T) {
	sizes := []int{5, 20, 30, 300}
	if os.Getenv("IRISPOST_MEASURE") != "" {
		sizes = append(sizes, 780)
	}
	for _, gateways := range sizes {
		few := min(gateways, 3)
		for name, fleet := range map[string]slowStartFleet{
			"one volume through all":    {gateways, 1, gateways, 600, false, false, 0, 0},
			"uneven":                    {gateways, 1, gateways, 600, true, false, 0, 0},
			"many volumes, asked twice": {gateways, 12, few, 144, false, false, 0, 0},
			"restarts":                  {gateways, 12, few, 144, true, true, 0, 0},
			"further attempts":          {gateways, 12, few, 144, false, false, 0.4, 0},
			"late, all at once":         {gateways, 12, few, 144, false, false, 0, 250 * Millisecond},
			"all of it":                 {gateways, 12, few, 144, true, true, 0.4, 250 * Millisecond},
		} {
			seeds := 12
			if gateways >= 300 {
				seeds = 2
			}
			worst, sum := math.Inf(-1), 0
			for seed := range seeds {
				attempts, excess := fleet.simulate(uint64(seed))
				worst = max(worst, excess)
				sum += attempts
			}
			mean := float64(sum) / float64(seeds)
			t.Logf("%d gateways, %s: %.0f calls in 4 s, at worst %.2f", gateways, name, mean, worst)
			if worst > 1 || mean < 4 {
				t.Errorf("%d gateways, %s: %.0f calls in 4 s, at worst %.2f, want at least 4 and at most 1", gateways, name, mean, worst)
			}
		}
	}
}
