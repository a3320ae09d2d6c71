package slowstart

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"irispost/internal/fleet/slowstart/agent"
	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

// A whole fleet of decision modules in virtual time, one cold node with all that wants to go there, and its dealer between them. Beside it
// the same without a dealer, and a pacer that sees all that waits and all that the node can do.

type manner int

const (
	byItself manner = iota
	byDealer
	byPacer
)

// service is what came of the jobs of the first ten seconds.
type service struct {
	worth, served    float64
	fell             bool
	most             float64 // the most in a window, as a part of what is borne
	asks             int
	lent, sent, back float64
}

// waiting are jobs of the pacer, the dearest first, then the oldest.
type waiting []*paced

type paced struct {
	weight, units float64
	at            scheduler.Time
}

func (w waiting) Len() int { return len(w) }
func (w waiting) Less(a, b int) bool {
	return w[a].weight > w[b].weight || w[a].weight == w[b].weight && w[a].at < w[b].at
}
func (w waiting) Swap(a, b int) { w[a], w[b] = w[b], w[a] }
func (w *waiting) Push(x any)   { *w = append(*w, x.(*paced)) }
func (w *waiting) Pop() any {
	x := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return x
}

const (
	capacity = 100.0 // units a second, warm
	goal     = 300 * scheduler.Millisecond
	tick     = 5 * scheduler.Millisecond
	cold     = 18 * scheduler.Second
)

func fleetTerms(gateways int) scheduler.Settings {
	t := scheduler.Settings{"gateways": strconv.Itoa(gateways), "cold.from": "0.16", "cold.time": "18000", "cold.multiple": "2", "cold.window": "1500",
		"cold.units": "5", "units.mean": "2", "units.largest": "8", "executions.most": "3", "calling_off": "true", "retry_after": "true",
		"retry_after.most": "1000", "plans.count": "2", "products.count": "1", "products.0.name": "read", "products.0.kind": "replayable", "products.0.goal": "300",
		"products.0.patience": "2500", "tells.others": "true"}
	for i, weight := range []int{1, 4} {
		item := "plans." + strconv.Itoa(i) + "."
		t[item+"name"], t[item+"weight"], t[item+"rate"], t[item+"reserve"] = fmt.Sprint("p", weight), strconv.Itoa(weight), "4", "3"
	}
	return t
}

// begin plays ten seconds after a node's start, with so much asked of it, as a part of what it can do warm.
func begin(gateways int, load float64, how manner, seed uint64) (s service) {
	chance := rand.New(rand.NewPCG(seed, 3))
	now := 100 * scheduler.Second
	born := now + scheduler.Second
	terms := fleetTerms(gateways)
	modules := make([]*scheduler.Scheduler, gateways)
	purse := make([]scheduler.Time, gateways) // until when a loan counts
	seq := make([]uint64, gateways)
	for i := range modules {
		modules[i] = scheduler.New(now, seed*1000+uint64(i), terms)
		modules[i].BeginEndpointList(now, true, false)
		modules[i].UpdateEndpoint("cold", "z", 0, 0, scheduler.EndpointReady)
		modules[i].UpdateEndpoint("warm", "z", 1, 0, scheduler.EndpointReady)
		modules[i].FinishEndpointList()
	}
	var dealer *budget.Allocator
	bt := agent.SettingsFrom(terms, 0.01)
	type out struct {
		g   int
		e   *scheduler.Attempt
		due scheduler.Time
	}
	var outs []out
	busy, warmBusy := now, now
	var pending waiting
	var window []struct {
		at    scheduler.Time
		units float64
	}
	can := func(at scheduler.Time) float64 {
		if at < born {
			return capacity
		}
		return capacity * (0.16 + 0.84*float64(at-born)/float64(cold))
	}
	end := born + 10*scheduler.Second
	jobs := 0
	for ; now < end+scheduler.Second; now += tick {
		if now == born {
			for _, m := range modules {
				m.BeginEndpointList(now, false, false)
				m.UpdateEndpoint("cold", "z", 0, born, scheduler.EndpointReady)
				m.FinishEndpointList()
			}
			dealer = budget.NewAllocator(now, bt, 0, capacity, 0)
		}
		for n := load * capacity / 2 * float64(tick) / 1e9; n > 0 && now < end; n-- { // jobs of two units
			if chance.Float64() >= n {
				break
			}
			jobs++
			volume := int64(chance.IntN(40))
			weight := []float64{1, 4}[volume%2]
			counts := 0.0
			if now >= born {
				counts = weight
			}
			s.worth += counts
			if how == byPacer {
				heap.Push(&pending, &paced{counts, 2, now})
				continue
			}
			g := (int(volume)*7 + chance.IntN(8)) % gateways // eight hosts of each volume
			j := &scheduler.Request{ID: strconv.Itoa(jobs), Units: 2, Shard: 0, Deadline: now + 2500*scheduler.Millisecond}
			modules[g].Submit(now, j, volume, fmt.Sprintf("p%.0f", weight), "read", 8, false)
		}
		if how == byPacer {
			busy = max(busy, now)
			for len(pending) > 0 && busy < now+tick {
				j := heap.Pop(&pending).(*paced)
				if done := busy + scheduler.Time(j.units/can(busy)*1e9); done <= j.at+goal {
					busy, s.served = done, s.served+j.weight
				}
			}
			continue
		}
		for i := 0; i < len(modules)/4; i++ { // and something at the other node, so that its rate is known
			if chance.Float64() < 0.02 {
				jobs++
				g := chance.IntN(gateways)
				modules[g].Submit(now, &scheduler.Request{ID: strconv.Itoa(jobs), Units: 2, Shard: 1, Deadline: now + 2500*scheduler.Millisecond}, int64(100+g%10), "p1", "read", 8, false)
			}
		}
		if how == byDealer && now >= born {
			for g, m := range modules {
				if now%(25*scheduler.Millisecond) != scheduler.Time(g%5)*tick {
					continue
				}
				list, _ := m.SlowStartDemands(now)
				if len(list) == 0 || list[0].Units <= 0 {
					dealer.CancelRequest(strconv.Itoa(g)) // it waits no longer
					if now >= purse[g] {                  // the dealer is there: what comes waits for a loan
						purse[g] = now + bt.AllocationTime
						m.AllocateSlowStart(now, "cold", born, 0, purse[g])
					}
					continue
				}
				back := m.AllocateSlowStart(now, "cold", born, 0, now+bt.AllocationTime)
				seq[g]++
				s.asks++
				s.back += back
				dealer.HandleRequest(now, &budget.Request{Holder: strconv.Itoa(g), Seq: seq[g], Demand: list[0].Units, SmallestRequest: list[0].SmallestRequest, PriorityWeight: list[0].PriorityWeight, Returned: back})
				purse[g] = now + bt.AllocationTime
			}
			for _, l := range dealer.Allocate(now) {
				g, _ := strconv.Atoi(l.Holder)
				modules[g].AllocateSlowStart(now, "cold", born, l.Units, purse[g])
				s.lent += l.Units
			}
		}
		kept := outs[:0]
		for _, o := range outs {
			if o.due > now {
				kept = append(kept, o)
				continue
			}
			modules[o.g].AttemptFinished(now, o.e.Request.ID, o.e.Number, scheduler.OutcomeServed, now-o.e.SentAt, true, 0)
			if o.e.Request.Shard == 0 && o.e.Request.ReceivedAt >= born && now <= o.e.Request.ReceivedAt+goal {
				s.served += o.e.Request.Volume.ServiceLevel.Weight
			}
		}
		outs = kept
		for g, m := range modules {
			for _, e := range m.Decide(now).Dispatch {
				if e.Node.Addr == "warm" {
					warmBusy = max(warmBusy, now) + scheduler.Time(e.Request.Units/(20*capacity)*1e9)
					outs = append(outs, out{g, e, max(warmBusy, now+scheduler.Time(e.Request.Units/capacity*1e9))})
					continue
				}
				busy = max(busy, now) + scheduler.Time(e.Request.Units/can(max(busy, now))*1e9)
				outs = append(outs, out{g, e, busy})
				if now >= born {
					s.sent += e.Request.Units
					window = append(window, struct {
						at    scheduler.Time
						units float64
					}{now, e.Request.Units})
				}
			}
		}
		sum := 0.0
		for len(window) > 0 && window[0].at <= now-1500*scheduler.Millisecond {
			window = window[1:]
		}
		for _, w := range window {
			sum += w.units
		}
		s.most = max(s.most, sum/max(2*can(max(now-1500*scheduler.Millisecond, born))*1.5, 5))
	}
	s.fell = s.most > 1
	return s
}

// TestFirstSeconds measures the service by worth of the first ten seconds after a node's start.
func TestFirstSeconds(t *testing.T) {
	sizes, loads := []int{40}, []float64{0.6}
	if os.Getenv("IRISPOST_MEASURE") != "" {
		sizes, loads = []int{12, 100, 300}, []float64{0.3, 0.6, 0.9}
	}
	for _, n := range sizes {
		for _, load := range loads {
			alone, dealt, paced := begin(n, load, byItself, 1), begin(n, load, byDealer, 1), begin(n, load, byPacer, 1)
			t.Logf("%d gateways, %.0f%% asked: served by worth %.3f alone (at most %.0f%% of what is borne), %.3f with a dealer (%.0f%%, %d asks), %.3f by a pacer", n, 100*load,
				alone.served/alone.worth, 100*alone.most, dealt.served/dealt.worth, 100*dealt.most, dealt.asks, paced.served/paced.worth)
			if dealt.fell || dealt.served < alone.served {
				t.Errorf("%d gateways, %.0f%%: %+v with a dealer, %+v alone", n, 100*load, dealt, alone)
			}
		}
	}
}
