package slowstart

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"irispost/scheduler"
)

// These tests run the schedulers of a whole fleet in simulated time, with one node in slow start, all requests for that
// node, and the allocator of its budget. For comparison, the same load runs without an allocator, and with a central
// pacer that knows all waiting requests and the node's exact rate.

type dispatchMode int

const (
	withoutAllocator dispatchMode = iota
	withAllocator
	withPacer
)

const (
	warmNode = "warm"
	coldNode = "cold"

	nodeRate         = 100.0 // of a warmed-up node, in units per second
	warmNodeParallel = 20    // requests that the other node serves in parallel
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
	measuredTime = 10 * scheduler.Second // from the node's start on
)

// outcome is the result of one run. offered and served are sums of the priority weights of requests.
type outcome struct {
	offered, served float64
	peakShare       float64 // maximum units in a window as a fraction of the node's capacity
	requests        int     // number of requests to the allocator
}

// overloaded reports whether the node was sent more than its capacity.
func (o outcome) overloaded() bool { return o.peakShare > 1 }

// servedShare returns the weighted share of the offered requests that was served in time.
func (o outcome) servedShare() float64 { return o.served / o.offered }

// pacedRequest is a request waiting at the pacer.
type pacedRequest struct {
	weight, units float64
	at            scheduler.Time
}

// pacerQueue is a heap of requests, ordered by descending weight, then by age, oldest first.
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

// TestFirstSecondsWithAllocatorServeMore: in the first ten seconds after a node's start, at least as many requests,
// weighted by priority, are served with an allocator as without one, and the node is not overloaded.
// IRISPOST_MEASURE=1 runs more fleet sizes and loads.
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
			t.Logf("%d gateways, %.0f%% load: weighted share served %.3f without an allocator (peak %.0f%% of capacity), "+
				"%.3f with an allocator (peak %.0f%%, %d allocation requests), %.3f with a central pacer",
				gateways, 100*load, baseline.servedShare(), 100*baseline.peakShare,
				allocated.servedShare(), 100*allocated.peakShare, allocated.requests, paced.servedShare())
			if allocated.overloaded() || allocated.served < baseline.served {
				t.Errorf("%d gateways, %.0f%% load: got %+v, want no overload and at least as much served as without an allocator: %+v",
					gateways, 100*load, allocated, baseline)
			}
		}
	}
}
