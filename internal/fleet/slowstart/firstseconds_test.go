package slowstart

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"irispost/scheduler"
)

// A whole fleet of schedulers in virtual time, one node in slow start with all requests for it, and its
// allocator. Beside it the same without an allocator, and a pacer that sees all that waits and all that the node
// can do.

type dispatchMode int

const (
	withoutAllocator dispatchMode = iota
	withAllocator
	withPacer
)

const (
	warmNode = "warm"
	coldNode = "cold"

	nodeRate         = 100.0 // units a second, warmed up
	warmNodeParallel = 20    // requests at the other node
	initialFraction  = 0.16
	warmupTime       = 18 * scheduler.Second
	overloadMultiple = 2.0
	overloadWindow   = 1500 * scheduler.Millisecond
	minWindowUnits   = 5.0

	objective      = 300 * scheduler.Millisecond
	clientTimeout  = 2500 * scheduler.Millisecond
	requestUnits   = 2
	volumes        = 40
	hostsPerVolume = 8

	tick         = 5 * scheduler.Millisecond
	pollInterval = 25 * scheduler.Millisecond
	measuredTime = 10 * scheduler.Second // after the node's start
)

// outcome is what came of the requests of the first seconds. Both sums are weighted by priority.
type outcome struct {
	offered, served float64
	peakShare       float64 // the most in a window, as a part of what the node bears
	requests        int     // to the allocator
}

// overloaded tells whether the node was sent more than it bears.
func (o outcome) overloaded() bool { return o.peakShare > 1 }

// servedShare is the part of the offered requests that was served in time.
func (o outcome) servedShare() float64 { return o.served / o.offered }

// pacedRequest waits at the pacer.
type pacedRequest struct {
	weight, units float64
	at            scheduler.Time
}

// pacerQueue is a heap of requests: the highest weight first, then the oldest.
type pacerQueue []*pacedRequest

func (q pacerQueue) Len() int { return len(q) }
func (q pacerQueue) Less(a, b int) bool {
	return q[a].weight > q[b].weight || q[a].weight == q[b].weight && q[a].at < q[b].at
}
func (q pacerQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *pacerQueue) Push(x any)   { *q = append(*q, x.(*pacedRequest)) }
func (q *pacerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func fleetSettings(gateways int) scheduler.Settings {
	settings := scheduler.Settings{
		"gateways": strconv.Itoa(gateways), "tells.others": "true",
		"cold.from": "0.16", "cold.time": "18000", "cold.multiple": "2", "cold.window": "1500", "cold.units": "5",
		"units.mean": "2", "units.largest": "8",
		"executions.most": "3", "calling_off": "true", "retry_after": "true", "retry_after.most": "1000",
		"plans.count": "2", "products.count": "1",
		"products.0.name": "read", "products.0.kind": "replayable",
		"products.0.goal": "300", "products.0.patience": "2500",
	}
	for i, weight := range []int{1, 4} {
		item := "plans." + strconv.Itoa(i) + "."
		settings[item+"name"] = fmt.Sprint("p", weight)
		settings[item+"weight"] = strconv.Itoa(weight)
		settings[item+"rate"], settings[item+"reserve"] = "4", "3"
	}
	return settings
}

// TestFirstSecondsWithAllocatorServeMore: in the first ten seconds after a node's start more is served with an
// allocator than without, by priority weight, and the node is not overloaded. IRISPOST_MEASURE=1 measures more
// fleets.
func TestFirstSecondsWithAllocatorServeMore(t *testing.T) {
	sizes, loads := []int{40}, []float64{0.6}
	if os.Getenv("IRISPOST_MEASURE") != "" {
		sizes, loads = []int{12, 100, 300}, []float64{0.3, 0.6, 0.9}
	}
	for _, gateways := range sizes {
		for _, load := range loads {
			baseline := simulateFirstSeconds(gateways, load, withoutAllocator, 1)
			allocated := simulateFirstSeconds(gateways, load, withAllocator, 1)
			paced := simulateFirstSeconds(gateways, load, withPacer, 1)
			t.Logf("%d gateways, %.0f%% offered: served by weight %.3f alone (at most %.0f%% of what the node bears), "+
				"%.3f with an allocator (%.0f%%, %d requests), %.3f by a pacer",
				gateways, 100*load, baseline.servedShare(), 100*baseline.peakShare,
				allocated.servedShare(), 100*allocated.peakShare, allocated.requests, paced.servedShare())
			if allocated.overloaded() || allocated.served < baseline.served {
				t.Errorf("%d gateways, %.0f%%: %+v with an allocator, %+v alone", gateways, 100*load, allocated, baseline)
			}
		}
	}
}
