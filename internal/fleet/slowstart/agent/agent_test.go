package agent

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/slowstart/budget"
	"irispost/internal/fleet/slowstart/epoch"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

const (
	testNode  = "10.0.0.9:7000" // node in slow start
	waitLimit = time.Minute
)

// fakeLoop is a loop whose scheduler always has waiting requests for one node and sends all units allocated to it.
type fakeLoop struct {
	now       func() scheduler.Time
	startedAt scheduler.Time

	mutex sync.Mutex // guards the fields below
	units float64
	until scheduler.Time
	sent  float64
	ended int // number of calls that ended allocation in favor of the scheduler's own rules
}

func (l *fakeLoop) SlowStartDemand() (gateway.SlowStartDemand, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.now() < l.until {
		l.sent += l.units
	}
	l.units = 0
	demand := scheduler.SlowStartDemand{
		Addr: testNode, StartedAt: l.startedAt, Units: 8, SmallestRequest: 1, PriorityWeight: 1,
	}
	return gateway.SlowStartDemand{Demands: []scheduler.SlowStartDemand{demand}, Rate: 1000}, true
}

func (l *fakeLoop) AllocateSlowStart(_ string, _ scheduler.Time, units float64, until scheduler.Time) (remaining float64, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.now() < l.until {
		remaining = l.units
	}
	if until == 0 {
		l.ended++
	}
	l.units, l.until = units, until
	return remaining, true
}

func (l *fakeLoop) sentUnits() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.sent
}

func (l *fakeLoop) endedAllocations() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ended
}

// agentGroup is a set of agents that communicate over loopback, each with a fake loop.
type agentGroup struct {
	t      *testing.T
	now    func() scheduler.Time
	agents map[string]*Agent
	loops  map[string]*fakeLoop
	addrs  map[string]string
}

// newAgentGroup creates agents, which are not started yet.
func newAgentGroup(t *testing.T, names []string) *agentGroup {
	t.Helper()
	clock := gateway.NewClock()
	startedAt := clock.Now()
	settings := budget.Settings{
		InitialFraction: 1, WarmupTime: int64(time.Hour), OverloadMultiple: 2, Window: 3e8, MinUnits: 5,
		AllocatedShare: 0.5, AllocationTime: 1e8, MaxClockDrift: 0.01,
	}
	g := &agentGroup{
		t: t, now: clock.Now,
		agents: map[string]*Agent{}, loops: map[string]*fakeLoop{}, addrs: map[string]string{},
	}
	for _, name := range names {
		a := newTestAgent(t, Options{Gateway: name, Holder: name, Settings: settings, Now: clock.Now})
		g.agents[name], g.addrs[name] = a, a.Addr()
		g.loops[name] = &fakeLoop{now: clock.Now, startedAt: startedAt}
	}
	return g
}

// setMembers begins an epoch and informs all its members.
func (g *agentGroup) setMembers(number, departures uint64, members []string) {
	for _, name := range members {
		membership := epoch.Membership{
			Epoch: number, Departures: departures, Age: int64(2 * time.Hour), Members: members,
			LeaseDuration: int64(time.Hour), MaxClockDrift: 0.01,
		}
		update := &lease.MembershipUpdate{RequestedAt: g.now(), PeerAddrs: g.addrs, Membership: membership}
		g.agents[name].HandleMembership(update)
	}
}

// waitForUnits waits until each of the named loops has sent more than one allocation.
func (g *agentGroup) waitForUnits(names []string) {
	g.t.Helper()
	before := map[string]float64{}
	for _, name := range names {
		before[name] = g.loops[name].sentUnits()
	}
	for _, name := range names {
		g.waitUntil(name+" has not sent more than 20 further units", func() bool { return g.loops[name].sentUnits() > before[name]+20 })
	}
}

// waitUntil waits for a condition. failure is the test's message if it is not met in time.
func (g *agentGroup) waitUntil(failure string, condition func() bool) {
	g.t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			g.t.Fatal(failure)
		}
	}
}

// TestBudgetIsAllocatedToAll: the one of three agents that owns the node's budget allocates it to all of them
// repeatedly. After that agent has closed and the membership has changed, a new owner allocates to both that remain.
func TestBudgetIsAllocatedToAll(t *testing.T) {
	names := []string{"g0", "g1", "g2"}
	g := newAgentGroup(t, names)
	g.setMembers(1, 0, names)
	for _, name := range names {
		g.agents[name].Start(g.loops[name])
	}
	g.waitForUnits(names)

	owner := epoch.Owner(testNode, names)
	g.agents[owner].mutex.Lock()
	if count := len(g.agents[owner].budgets); count != 1 {
		t.Errorf("got %d budgets at the owner, want 1", count)
	}
	g.agents[owner].mutex.Unlock()
	g.agents[owner].Close()

	others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == owner })
	for _, name := range others {
		ended := func() bool { return g.loops[name].endedAllocations() > 0 }
		g.waitUntil(fmt.Sprintf("%s still waits for a closed allocator, want its allocation ended", name), ended)
	}
	g.setMembers(2, 1, others)
	g.waitForUnits(others)
	for _, name := range others {
		g.agents[name].Close()
	}
}

// TestSettingsWithoutWindowHaveAllocationTime: without a window in the settings, an allocation time is still set;
// requests are timed by it.
func TestSettingsWithoutWindowHaveAllocationTime(t *testing.T) {
	if settings := SettingsFrom(scheduler.Settings{}, 0.01); settings.AllocationTime <= 0 {
		t.Errorf("got settings %+v, want an allocation time above 0", settings)
	}
}
