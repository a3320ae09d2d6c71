package capacity_test

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"irispost/scheduler"
)

const (
	// requestInterval is the interval between requests at 1,269 requests per second.
	requestInterval = 788 * scheduler.Microsecond

	requestTimeout = 2500 * scheduler.Millisecond
)

// placement chooses the volume and the shard of a request.
type placement func() (volume, shard int)

// simulatedScheduler is a scheduler with an endpoint list. It is driven in virtual time in the same way as by the event
// loop: it decides after each batch of requests, and again after their attempts have ended.
type simulatedScheduler struct {
	scheduler    *scheduler.Scheduler
	now          scheduler.Time
	nodes        int
	requestCount int
	random       *rand.Rand
}

func newSimulatedScheduler(nodes int) *simulatedScheduler {
	s := &simulatedScheduler{now: scheduler.Second, nodes: nodes, random: rand.New(rand.NewPCG(1, 2))}
	s.scheduler = scheduler.New(s.now, 1, scheduler.Settings{
		"units.mean":          "1",
		"plans.count":         "1",
		"plans.0.name":        "p",
		"plans.0.rate":        "100000",
		"products.count":      "1",
		"products.0.name":     "r",
		"products.0.goal":     "300",
		"products.0.patience": "2500",
		"executions.most":     "3",
		"tells.others":        "true",
	})
	s.updateList(-1)
	return s
}

// updateList passes a full list in which the node with the given number has restarted, or none if it is -1.
func (s *simulatedScheduler) updateList(restarted int) {
	s.scheduler.BeginEndpointList(s.now, true, false)
	for i := range s.nodes {
		startedAt := scheduler.Time(1)
		if i == restarted {
			startedAt = s.now
		}
		addr, zone := "10.0.0."+strconv.Itoa(i)+":7000", "zone-"+strconv.Itoa(i%7)
		s.scheduler.UpdateEndpoint(addr, zone, i, startedAt, scheduler.EndpointReady)
	}
	s.scheduler.FinishEndpointList()
	s.scheduler.Decide(s.now)
}

// serve submits requests in batches, with one decision for each batch, and has all their attempts succeed.
func (s *simulatedScheduler) serve(t *testing.T, count, batch int, place placement) {
	t.Helper()
	for done := 0; done < count; done += batch {
		for range batch {
			s.now += requestInterval
			volume, shard := place()
			s.requestCount++
			id := strconv.Itoa(s.requestCount)
			request := &scheduler.Request{ID: id, Units: 1, Shard: shard, Deadline: s.now + requestTimeout}
			s.scheduler.Submit(s.now, request, int64(volume), "p", "r", 1, false)
		}
		decision := s.scheduler.Decide(s.now)
		if len(decision.Dispatch) != batch || len(decision.Finished) != 0 {
			t.Fatalf("%d of %d requests were dispatched and %d abandoned, want all dispatched",
				len(decision.Dispatch), batch, len(decision.Finished))
		}
		const served = requestInterval / 2
		endedAt := s.now + served
		for _, attempt := range slices.Clone(decision.Dispatch) { // the scheduler reuses the slice
			id := attempt.Request.ID
			s.scheduler.AttemptFinished(endedAt, id, attempt.Number, scheduler.OutcomeServed, served, true, 0)
		}
		s.scheduler.Decide(endedAt)
	}
}

// requestMicros returns the mean time of a request in microseconds, as the median of three runs.
func (s *simulatedScheduler) requestMicros(t *testing.T, batch int, place placement) float64 {
	t.Helper()
	const warmUp, requests, runs = 8000, 16000, 3
	var times []float64
	s.serve(t, warmUp, batch, place)
	for range runs {
		runtime.GC()
		startedAt := time.Now()
		s.serve(t, requests, batch, place)
		times = append(times, float64(time.Since(startedAt).Nanoseconds())/requests/1e3)
	}
	slices.Sort(times)
	return times[runs/2]
}

// randomNode returns a placement on random nodes. Each node has one volume, of the same number.
func (s *simulatedScheduler) randomNode() placement {
	return func() (int, int) {
		node := s.random.IntN(s.nodes)
		return node, node
	}
}

// TestMeasureModule measures the scheduler alone, by nodes, volumes and flows: the time of a request and of a list, and
// the memory.
func TestMeasureModule(t *testing.T) {
	m := beginMeasurement(t)
	for _, nodes := range []int{16, 200, 900, 1800} {
		measureSchedulerByNodes(t, m, nodes)
	}
	for _, volumes := range []int{1024, 4096, 16384} {
		measureSchedulerByVolumes(t, m, volumes)
	}
	for _, volumes := range []int{16, 64, 256, 1024} {
		measureSchedulerByFlows(t, m, volumes)
	}
	if !isTrial() {
		m.save()
	}
}

func measureSchedulerByNodes(t *testing.T, m *measurement, nodes int) {
	t.Helper()
	const lists = 200
	size := float64(nodes)
	before := heapKB()
	s := newSimulatedScheduler(nodes)
	m.addMeasured("module_kb_by_nodes", "KB", "nodes", size, heapKB()-before)
	m.addMeasured("module_request_us_by_nodes", "us", "nodes", size, s.requestMicros(t, 1, s.randomNode()))
	m.addMeasured("module_gathered_us_by_nodes", "us", "nodes", size, s.requestMicros(t, 16, s.randomNode()))
	startedAt := time.Now()
	for i := range lists {
		s.now += scheduler.Second
		s.updateList(i % nodes)
	}
	m.addMeasured("module_list_us_by_nodes", "us", "nodes", size, float64(time.Since(startedAt).Microseconds())/lists)
}

// measureSchedulerByVolumes measures a scheduler in which each volume has had one request.
func measureSchedulerByVolumes(t *testing.T, m *measurement, volumes int) {
	t.Helper()
	size := float64(volumes)
	before := heapKB()
	s := newSimulatedScheduler(1800)
	next := 0
	s.serve(t, volumes, 1, func() (int, int) {
		next++
		return next, next % s.nodes
	})
	m.addMeasured("module_kb_by_volumes", "KB", "volumes", size, heapKB()-before)
	randomVolume := func() (int, int) {
		volume := s.random.IntN(volumes)
		return volume, volume % s.nodes
	}
	m.addMeasured("module_request_us_by_volumes", "us", "volumes", size, s.requestMicros(t, 1, randomVolume))
}

// measureSchedulerByFlows measures a scheduler in which each volume has had one request at each node.
func measureSchedulerByFlows(t *testing.T, m *measurement, volumes int) {
	t.Helper()
	before := heapKB()
	s := newSimulatedScheduler(50)
	flows := volumes * s.nodes
	next := -1
	s.serve(t, flows, 1, func() (int, int) {
		next++
		return next / s.nodes, next % s.nodes
	})
	m.addMeasured("module_kb_by_flows", "KB", "flows", float64(flows), heapKB()-before)
	randomFlow := func() (int, int) { return s.random.IntN(volumes), s.random.IntN(s.nodes) }
	micros := s.requestMicros(t, 1, randomFlow)
	m.addMeasured("module_request_us_by_flows", "us", "flows at a node", float64(volumes), micros)
}

// TestMeasureWalks measures how long a decision takes to iterate over all nodes while no request is waiting: a decision
// between rounds, and one that includes a round.
func TestMeasureWalks(t *testing.T) {
	m := beginMeasurement(t)
	for _, nodes := range []int{16, 200, 900, 1800} {
		size := float64(nodes)
		s := newSimulatedScheduler(nodes)
		s.serve(t, 4*nodes, 1, func() (int, int) { // makes requests at all nodes, so that the scheduler knows each of them
			node := s.requestCount % nodes
			return node, node
		})
		decide := func(after scheduler.Time) func(int) {
			return func(int) {
				s.now += after
				s.scheduler.Decide(s.now)
			}
		}
		meanMicros(2, decide(1000))
		m.addMeasured("module_decision_us_by_nodes", "us", "nodes", size, meanMicros(10_000, decide(1000)))
		round := meanMicros(2000, decide(40*scheduler.Millisecond))
		m.addMeasured("module_round_us_by_nodes", "us", "nodes", size, round)
	}
	m.save()
}

// TestMeasureWalk serves requests at 1,800 nodes for a CPU profile: go test -run MeasureWalk -cpuprofile FILE, then
// go tool pprof -list.
func TestMeasureWalk(t *testing.T) {
	skipUnlessMeasuring(t)
	s := newSimulatedScheduler(1800)
	t.Logf("%.1f us per request", s.requestMicros(t, 1, s.randomNode()))
	s.serve(t, 100_000, 1, s.randomNode())
}
