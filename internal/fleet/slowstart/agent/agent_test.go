package agent

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/slowstart/budget"
	"irispost/internal/fleet/slowstart/epoch"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// thirsty is a loop whose module always has work for one cold node, and sends all that it is lent.
type thirsty struct {
	lock  sync.Mutex
	now   func() scheduler.Time
	born  scheduler.Time
	units float64
	till  scheduler.Time
	sent  float64
	alone int // times that it was sent back to its own ways
}

const cold = "10.0.0.9:7000"

func (l *thirsty) SlowStartDemand() (gateway.SlowStartDemand, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.now() < l.till {
		l.sent += l.units
	}
	l.units = 0
	return gateway.SlowStartDemand{Demands: []scheduler.SlowStartDemand{{Addr: cold, StartedAt: l.born, Units: 8, SmallestRequest: 1, PriorityWeight: 1}}, Rate: 1000}, true
}

func (l *thirsty) Allocate(_ string, born scheduler.Time, units float64, till scheduler.Time) (left float64, ok bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.now() < l.till {
		left = l.units
	}
	if till == 0 {
		l.alone++
	}
	l.units, l.till = units, till
	return left, true
}

// Three agents over loopback: the one that has the node's budget deals it out to all, more than once; when it is gone and the set says so,
// another does, and the third of them goes on by it.
func TestBudgetIsDealtOut(t *testing.T) {
	clock := gateway.NewClock()
	born := clock.Now()
	terms := budget.Settings{InitialFraction: 1, WarmupTime: int64(time.Hour), OverloadMultiple: 2, Window: 3e8, MinUnits: 5, AllocatedShare: 0.5, AllocationTime: 1e8, MaxClockDrift: 0.01}
	agents, loops := map[string]*Agent{}, map[string]*thirsty{}
	var names []string
	peers := map[string]string{}
	for i := range 3 {
		name := fmt.Sprint("g", i)
		a, err := Listen(Options{Gateway: name, Holder: name, ListenAddr: "127.0.0.1:0", Settings: terms, Now: clock.Now, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err != nil {
			t.Fatal(err)
		}
		names, agents[name], peers[name], loops[name] = append(names, name), a, a.Addr(), &thirsty{now: clock.Now, born: born}
	}
	grant := func(number, parts uint64, members []string) {
		for _, name := range members {
			agents[name].HandleMembership(&lease.MembershipUpdate{RequestedAt: clock.Now(), PeerAddrs: peers,
				Membership: epoch.Membership{Epoch: number, Departures: parts, Age: int64(2 * time.Hour), Members: members, LeaseDuration: int64(time.Hour), MaxClockDrift: 0.01}})
		}
	}
	grant(1, 0, names)
	for _, name := range names {
		agents[name].Start(loops[name])
	}
	fed := func(members []string) {
		t.Helper()
		was := map[string]float64{}
		for _, name := range members {
			loops[name].lock.Lock()
			was[name] = loops[name].sent
			loops[name].lock.Unlock()
		}
		for _, name := range members {
			for until := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
				loops[name].lock.Lock()
				more := loops[name].sent > was[name]+20
				loops[name].lock.Unlock()
				if more {
					break
				}
				if time.Now().After(until) {
					t.Fatalf("%s is lent nothing", name)
				}
			}
		}
	}
	fed(names)
	first := epoch.Owner(cold, names)
	agents[first].lock.Lock()
	if len(agents[first].desks) != 1 {
		t.Errorf("%d desks at the owner", len(agents[first].desks))
	}
	agents[first].lock.Unlock()
	agents[first].Close()
	var left []string
	for _, name := range names {
		if name != first {
			left = append(left, name)
		}
	}
	for _, name := range left { // nobody is reached: each goes by its own ways
		for until := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
			loops[name].lock.Lock()
			alone := loops[name].alone
			loops[name].lock.Unlock()
			if alone > 0 {
				break
			}
			if time.Now().After(until) {
				t.Fatalf("%s waits for a dealer that is gone", name)
			}
		}
	}
	grant(2, 1, left)
	fed(left)
	for _, name := range left {
		agents[name].Close()
	}
}

// Guard: where no window is stated a loan's time still is one, or the duty's clock could not run.
func TestTermsWithoutAWindow(t *testing.T) {
	if terms := SettingsFrom(scheduler.Settings{}, 0.01); terms.AllocationTime <= 0 {
		t.Errorf("%+v", terms)
	}
}
