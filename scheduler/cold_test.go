package scheduler

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
)

// coldFleet is a fleet whose one node starts anew while its volumes ask for work there.
type coldFleet struct {
	gateways, volumes, hosts int
	asked                    float64 // units a second; warm, the node can do 60
	uneven                   bool    // nine in ten jobs come through a tenth of the gateways
	restarts                 bool    // a tenth of the gateways start anew each half second, and know nothing
	resets                   float64 // share of attempts that end with a reset, and are made again
	late                     Time    // attempts reach the node together, so long apart
}

// play runs the fleet for four seconds from the node's start. It returns the calls that reached it, and the most over its budget in any window: the
// calls past N over 2 x root of N + 2, N being the calls of mean work that the stated multiple allows it then.
func (c coldFleet) play(seed uint64) (calls int, past float64) {
	pick := newChance(seed)
	born := Time(0)
	gateway := func(i int, now Time) *world {
		w := newWorld(seed<<32+uint64(pick.next()), terms("plans.0.limit=0", fmt.Sprintf("gateways=%d", c.gateways), "plans.0.rate=2", "plans.0.reserve=1", "plans.1.rate=4",
			fmt.Sprintf("plans.1.reserve=%g", 20/float64(c.volumes)), "cold.units=0", "further.free=1000", "further.share=10"))
		w.now, w.begins = now, now
		w.g = New(now, seed+uint64(i), w.t)
		w.hosts = float64(c.hosts)
		w.list("a0", 0, born, EndpointReady)
		w.list("a1", 1, 0, EndpointReady)
		warm := w.g.byAddr["a1"]
		warm.Measured, warm.AnsweredUnits, warm.BusySeconds = true, 60, 1
		return w
	}
	var worlds []*world
	for i := range c.gateways {
		worlds = append(worlds, gateway(i, Second))
	}
	var reached []Time
	due, ends, busy, now := map[*Attempt]Time{}, map[*Attempt]Outcome{}, Time(0), Second
	past = math.Inf(-1)
	for step := -100; step < 400; step++ {
		if step == 0 {
			born = now
			for _, w := range worlds {
				w.list("a0", 0, born, EndpointReady)
			}
		}
		if c.restarts && step > 0 && step%50 == 0 {
			for range (c.gateways + 9) / 10 {
				i := int(pick.next()) % c.gateways
				worlds[i] = gateway(i, now)
			}
		}
		can := 60 * (0.2 + 0.8*float64(max(step, 0))/1000) // units a second
		for n := c.asked / 200; n > 0; n-- {
			v, host := int(pick.next())%c.volumes, int(pick.next())%c.hosts
			if c.uneven && pick.part() < 0.9 {
				host %= max(c.hosts/10, 1)
			}
			if pick.part() < n {
				w := worlds[(v*5+host)%c.gateways]
				w.take(int64(v+1), "read", 0, 2).Write = true // whose answers do not open it
			}
		}
		for _, w := range worlds {
			for _, e := range slices.Clone(w.out) {
				if at, ok := due[e]; ok && at <= now {
					w.end(e, ends[e])
				}
			}
			w.pass(10 * Millisecond)
			for _, e := range w.started {
				at := now
				if c.late > 0 {
					at += c.late - (now-Second)%c.late
				}
				busy = max(busy, at) + Time(e.Request.Units/can*float64(Second))
				due[e], ends[e] = busy, OutcomeServed
				if pick.part() < c.resets { // soon enough for another
					due[e], ends[e] = at+10*Millisecond, OutcomeReset
				}
				if step >= 0 {
					reached = append(reached, at)
				}
			}
		}
		now += 10 * Millisecond
	}
	slices.Sort(reached)
	for i, at := range reached { // the window that ends with it
		first, _ := slices.BinarySearch(reached, at-Second+1)
		can := 60 * (0.2 + 0.8*float64(at-born)/float64(10*Second))
		n := 2 * can / 2
		past = max(past, (float64(i+1-first)-n)/(2*math.Sqrt(n)+2))
	}
	return len(reached), past
}

// TestFleetAndOneColdNode: what all gateways together send a cold node stays within its budget of N calls and 2 x root of N + 2 for chance, at the tail over many
// seeds, with 5 to 300 gateways, uneven traffic, gateways that start anew and know nothing, further attempts, and connections that come up
// late and all at once; and it is not nothing. The worst play of a case is logged: 0 is N, 1 is the bound.
func TestFleetAndOneColdNode(t *testing.T) {
	sizes := []int{5, 20, 30, 300}
	if os.Getenv("IRISPOST_MEASURE") != "" {
		sizes = append(sizes, 780)
	}
	for _, gateways := range sizes {
		for name, c := range map[string]coldFleet{
			"one volume through all":    {gateways, 1, gateways, 600, false, false, 0, 0},
			"uneven":                    {gateways, 1, gateways, 600, true, false, 0, 0},
			"many volumes, asked twice": {gateways, 12, min(gateways, 3), 144, false, false, 0, 0},
			"restarts":                  {gateways, 12, min(gateways, 3), 144, true, true, 0, 0},
			"further attempts":          {gateways, 12, min(gateways, 3), 144, false, false, 0.4, 0},
			"late, all at once":         {gateways, 12, min(gateways, 3), 144, false, false, 0, 250 * Millisecond},
			"all of it":                 {gateways, 12, min(gateways, 3), 144, true, true, 0.4, 250 * Millisecond},
		} {
			seeds := map[bool]int{true: 2, false: 12}[gateways >= 300]
			worst, sum := math.Inf(-1), 0
			for seed := range seeds {
				calls, past := c.play(uint64(seed))
				worst, sum = max(worst, past), sum+calls
			}
			mean := float64(sum) / float64(seeds)
			t.Logf("%d gateways, %s: %.0f calls in 4 s, at worst %.2f", gateways, name, mean, worst)
			if worst > 1 || mean < 4 {
				t.Errorf("%d gateways, %s: %.0f calls in 4 s, at worst %.2f", gateways, name, mean, worst)
			}
		}
	}
}
