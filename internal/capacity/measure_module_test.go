package capacity_test

import (
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"irispost/internal/capacity"
	"irispost/scheduler"
)

// module is a decision module with a list, driven in virtual time as the loop drives it: a decision after what was taken, and one after what ended.
type module struct {
	g     *scheduler.Scheduler
	now   scheduler.Time
	nodes int
	count int
	rand  *rand.Rand
}

const pace = 788 * scheduler.Microsecond // 1,269 requests a second

func newModule(nodes int) *module {
	m := &module{now: scheduler.Second, nodes: nodes, rand: rand.New(rand.NewPCG(1, 2))}
	m.g = scheduler.New(m.now, 1, scheduler.Settings{"units.mean": "1", "plans.count": "1", "plans.0.name": "p", "plans.0.rate": "100000", "products.count": "1",
		"products.0.name": "r", "products.0.goal": "300", "products.0.patience": "2500", "executions.most": "3", "tells.others": "true"})
	m.list(-1)
	return m
}

// list tells a whole list, in which one node has started anew.
func (m *module) list(anew int) {
	m.g.BeginEndpointList(m.now, true, false)
	for i := range m.nodes {
		born := scheduler.Time(1)
		if i == anew {
			born = m.now
		}
		m.g.UpdateEndpoint("10.0.0."+strconv.Itoa(i)+":7000", "zone-"+strconv.Itoa(i%7), i, born, scheduler.EndpointReady)
	}
	m.g.FinishEndpointList()
	m.g.Decide(m.now)
}

// requests takes so many through to their answers, gathered in decisions of so many.
func (m *module) requests(t *testing.T, count, gathered int, pick func() (volume, shard int)) {
	for done := 0; done < count; {
		for range gathered {
			m.now += pace
			volume, shard := pick()
			m.count++
			j := &scheduler.Request{ID: strconv.Itoa(m.count), Units: 1, Shard: shard, Deadline: m.now + 2500*scheduler.Millisecond}
			m.g.Submit(m.now, j, int64(volume), "p", "r", 1, false)
		}
		d := m.g.Decide(m.now)
		if len(d.Dispatch) != gathered || len(d.Finished) != 0 {
			t.Fatalf("%d of %d requests were sent, %d given up", len(d.Dispatch), gathered, len(d.Finished))
		}
		start := slices.Clone(d.Dispatch)
		for _, e := range start {
			m.g.AttemptFinished(m.now+pace/2, e.Request.ID, e.Number, scheduler.OutcomeServed, pace/2, true, 0)
		}
		m.g.Decide(m.now + pace/2)
		done += gathered
	}
}

// eachUS is the time of a request in microseconds, the middle one of three.
func (m *module) eachUS(t *testing.T, gathered int, pick func() (volume, shard int)) float64 {
	var took []float64
	m.requests(t, 8000, gathered, pick)
	for range 3 {
		runtime.GC()
		at := time.Now()
		m.requests(t, 16000, gathered, pick)
		took = append(took, float64(time.Since(at).Nanoseconds())/16000/1e3)
	}
	slices.Sort(took)
	return took[1]
}

// TestMeasureModule measures the decision module alone: a request, a list, and its memory, by nodes, volumes and flows.
func TestMeasureModule(t *testing.T) {
	s := begin(t)
	for _, nodes := range []int{16, 200, 900, 1800} {
		size := float64(nodes)
		before := heap()
		m := newModule(nodes)
		s.add(capacity.Measured, "module_kb_by_nodes", "KB", "nodes", size, heap()-before)
		pick := func() (int, int) { v := m.rand.IntN(nodes); return v, v }
		s.add(capacity.Measured, "module_request_us_by_nodes", "us", "nodes", size, m.eachUS(t, 1, pick))
		s.add(capacity.Measured, "module_gathered_us_by_nodes", "us", "nodes", size, m.eachUS(t, 16, pick))
		at := time.Now()
		for i := range 200 {
			m.now += scheduler.Second
			m.list(i % nodes)
		}
		s.add(capacity.Measured, "module_list_us_by_nodes", "us", "nodes", size, float64(time.Since(at).Microseconds())/200)
	}
	for _, volumes := range []int{1024, 4096, 16384} {
		before := heap()
		m := newModule(1800)
		next := 0
		m.requests(t, volumes, 1, func() (int, int) { next++; return next, next % m.nodes }) // each once
		s.add(capacity.Measured, "module_kb_by_volumes", "KB", "volumes", float64(volumes), heap()-before)
		pick := func() (int, int) { v := m.rand.IntN(volumes); return v, v % m.nodes }
		s.add(capacity.Measured, "module_request_us_by_volumes", "us", "volumes", float64(volumes), m.eachUS(t, 1, pick))
	}
	for _, volumes := range []int{16, 64, 256, 1024} { // each of them has met each node
		before := heap()
		m := newModule(50)
		next := -1
		m.requests(t, volumes*m.nodes, 1, func() (int, int) { next++; return next / m.nodes, next % m.nodes })
		s.add(capacity.Measured, "module_kb_by_flows", "KB", "flows", float64(volumes*m.nodes), heap()-before)
		pick := func() (int, int) { return m.rand.IntN(volumes), m.rand.IntN(m.nodes) }
		s.add(capacity.Measured, "module_request_us_by_flows", "us", "flows at a node", float64(volumes), m.eachUS(t, 1, pick))
	}
	if os.Getenv("IRISPOST_TRIAL") == "" {
		s.keep()
	}
}

// TestMeasureWalks measures the walks over all nodes that a decision makes where nothing waits: a decision between rounds, and one with a round.
func TestMeasureWalks(t *testing.T) {
	s := begin(t)
	for _, nodes := range []int{16, 200, 900, 1800} {
		m := newModule(nodes)
		m.requests(t, 4*nodes, 1, func() (int, int) { v := m.count % nodes; return v, v }) // all nodes are known
		decision := func(int) { m.now += 1000; m.g.Decide(m.now) }
		each(2, decision)
		s.add(capacity.Measured, "module_decision_us_by_nodes", "us", "nodes", float64(nodes), each(10_000, decision))
		s.add(capacity.Measured, "module_round_us_by_nodes", "us", "nodes", float64(nodes), each(2000, func(int) { m.now += 40 * scheduler.Millisecond; m.g.Decide(m.now) }))
	}
	s.keep()
}

// TestMeasureWalk runs requests at 1,800 nodes for a processor profile: go test -run MeasureWalk -cpuprofile FILE, then go tool pprof -list.
func TestMeasureWalk(t *testing.T) {
	measured(t)
	m := newModule(1800)
	pick := func() (int, int) { v := m.rand.IntN(m.nodes); return v, v }
	t.Logf("%.1f us a request", m.eachUS(t, 1, pick))
	m.requests(t, 100_000, 1, pick)
}
