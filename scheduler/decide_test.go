package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

// ramble plays a random run and returns the world at its end.
func ramble(seed uint64) *world {
	w := newWorld(seed, terms())
	part := func(n uint32) int { return int(w.chance.next() % n) }
	for shard, addr := range []string{"a0", "a1", "b2"} {
		w.list(addr, shard, 0, EndpointReady)
	}
	products := []string{"read", "read", "once", "mark", "line", "line"}
	outcomes := []Outcome{OutcomeServed, OutcomeServed, OutcomeServed, OutcomeServed, OutcomeServed, OutcomeServed, OutcomeError, OutcomeOverloaded, OutcomeConnectFailed, OutcomeReset}
	sick := part(3)
	for step := 0; step < 600 && w.broken == ""; step++ {
		for range part(4) {
			w.take(int64(part(5)), products[part(6)], part(4)-1, float64(1+part(8)))
		}
		for range part(5) {
			if len(w.out) > 0 {
				if e := w.out[part(uint32(len(w.out)))]; e.Node.Shard != sick || step%200 < 100 {
					w.end(e, outcomes[part(10)])
				}
			}
		}
		switch part(40) {
		case 0:
			shard := part(3)
			w.list([]string{"a0", "a1", "b2"}[shard], shard, 0, EndpointState(part(3)))
		case 1:
			shard := part(3)
			w.list([]string{"a0", "a1", "b2"}[shard], shard, w.now, EndpointReady)
		case 2:
			w.g.EndpointListFailed(w.now, false)
		case 3:
			if j := w.jobs; len(j) > 0 && !w.ended[j[len(j)-1]] && !j[len(j)-1].State.Terminal() {
				w.ended[j[len(j)-1]] = true
				w.g.ClientLeft(w.now, j[len(j)-1].ID)
			}
		}
		w.pass(Time(1+part(25)) * Millisecond)
	}
	for range 100 {
		w.pass(20 * Millisecond)
	}
	if w.broken == "" && (len(w.g.jobs) > 0 || len(w.g.held) > 0) {
		w.breaks("%d jobs are not forgotten, %d held", len(w.g.jobs), len(w.g.held))
	}
	return w
}

func TestRulesHoldInRandomRuns(t *testing.T) {
	keeps := func(seed uint64) bool {
		w := ramble(seed)
		if w.broken != "" {
			t.Logf("seed %d: %s", seed, w.broken)
		}
		return w.broken == ""
	}
	if err := quick.Check(keeps, &quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

func TestEqualEventsGiveEqualResults(t *testing.T) {
	same := func(seed uint64) bool { return ramble(seed).trace.String() == ramble(seed).trace.String() }
	if err := quick.Check(same, &quick.Config{MaxCount: 10, Rand: rand.New(rand.NewSource(2))}); err != nil {
		t.Error(err)
	}
}

// want compares in the plain cases.
func want(t *testing.T, w *world, what string, got, expected any) {
	t.Helper()
	if w.broken != "" {
		t.Errorf("a rule broke: %s", w.broken)
	}
	if got != expected {
		t.Errorf("%s: %v, not %v", what, got, expected)
	}
}

func TestTurnAndBudget(t *testing.T) {
	w := newWorld(1, terms("plans.1.reserve=0"))
	w.list("a0", 0, 0, EndpointReady)
	for range 40 {
		w.take(1, "read", 0, 2) // weight 3
		w.take(3, "read", 0, 2) // weight 3
	}
	n := w.g.byAddr["a0"]
	w.g.volumes[1].Reserve.Level, w.g.volumes[3].Reserve.Level = 0, 0 // past the first burst that a reserve bears
	served := ""
	for range 24 {
		w.pass(Millisecond)
		for _, e := range w.started {
			served += map[*Volume]string{w.g.volumes[1]: "x", w.g.volumes[3]: "y"}[e.Request.Volume]
		}
		if len(w.out) > 0 {
			w.end(w.out[0], OutcomeServed)
		}
	}
	// A turn is eight mean jobs; after exhaustion the next is half of that, as two volumes are active.
	want(t, w, "order", served[:24], "xxxxxxxxyyyyyyyyxxxxyyyy")
	n.InService, n.InServiceSince, n.Flows[0].Budget = n.Flows[0], w.now-turnExpiry, 0.4
	w.g.choose(n)
	want(t, w, "budget after expiry", n.Flows[0].Budget, 16.0)
}

func TestIdleVolumeKeepsItsTurnForItsOwnGap(t *testing.T) {
	w := newWorld(1, terms())
	w.list("a0", 0, 0, EndpointReady)
	w.take(1, "read", 0, 2)
	w.pass(Millisecond)
	n, f := w.g.byAddr["a0"], w.g.byAddr["a0"].Flows[0]
	f.AverageSendGap = 10 * Millisecond
	w.end(w.out[0], OutcomeServed)
	w.pass(9 * Millisecond)
	w.g.choose(n)
	want(t, w, "turn within the gap", n.InService, f)
	w.pass(Millisecond)
	w.g.choose(n)
	want(t, w, "turn after the gap", n.InService, (*Flow)(nil))
}

// A volume that was silent for long comes back level with the others, not ahead of them.
func TestIdleVolumeGathersNoCredit(t *testing.T) {
	w := newWorld(1, terms())
	w.list("a0", 0, 0, EndpointReady)
	n := w.g.byAddr["a0"]
	w.take(1, "read", 0, 2)
	w.pass(Millisecond)
	w.end(w.out[0], OutcomeServed)
	n.VirtualTime = 100
	w.take(1, "read", 0, 2)
	w.pass(Millisecond)
	if start := n.Flows[0].VirtualStart; start < 100 {
		t.Errorf("virtual start is %g, before the node's 100", start)
	}
}

// A node that takes work and answers nothing is suspect; what waits for it is tried one job at a time.
func TestSilentNodeIsTriedSparingly(t *testing.T) {
	w := newWorld(1, terms())
	w.list("a0", 0, 0, EndpointReady)
	sent := 0
	for i := 0; i < 300 || len(w.out) == 0; i++ {
		w.take(1, "read", 0, 1)
		w.pass(10 * Millisecond)
		if i >= 30 {
			sent += len(w.started)
		}
	}
	want(t, w, "suspect", w.g.byAddr["a0"].Suspected, true)
	if sent < 2 || sent > 10 {
		t.Errorf("%d jobs sent to a silent node in 2700 ms", sent)
	}
	w.end(w.out[0], OutcomeServed)
	n := w.g.byAddr["a0"]
	want(t, w, "suspect after an answer", n.Suspected, false)
	n.MeanLatency, n.EjectedUntil = 0, 0
	w.take(1, "read", 0, 1)
	w.pass(Millisecond)
	w.end(w.out[0], OutcomeOverloaded) // a full queue, or a drain that the list does not tell of yet
	want(t, w, "suspect after turning a job away", w.g.byAddr["a0"].Suspected, true)
}

// A job whose node is gone waits for a successor only while its goal can be made.
func TestJobOfAGoneNode(t *testing.T) {
	w := newWorld(1, terms())
	w.list("a0", 0, 0, EndpointReady)
	w.g.byAddr["a0"].Suspected, w.g.byAddr["a0"].EjectedUntil = true, 2*Second
	queued := w.take(1, "read", 0, 1)
	w.pass(Millisecond)
	want(t, w, "before", queued.State, RequestQueued)
	w.list("a0", 0, 0, EndpointDraining)
	w.list("a8", 0, 0, EndpointReady)
	w.pass(Millisecond)
	want(t, w, "what was queued goes to", queued.Node.Addr, "a8")
	w.list("a8", 0, 0, EndpointDraining)
	a, b := w.take(1, "read", 0, 1), (*Request)(nil)
	w.pass(150 * Millisecond)
	b = w.take(1, "read", 0, 1)
	w.pass(60 * Millisecond)
	want(t, w, "first", a.State, RequestRejected)
	w.list("a9", 0, 0, EndpointReady)
	w.pass(Millisecond)
	want(t, w, "second", b.State, RequestInFlight)
	want(t, w, "its node", b.Node.Addr, "a9")
}

func TestNewObjectsGoWhereCreditIsLeft(t *testing.T) {
	w := newWorld(1, terms())
	w.list("a0", 0, 0, EndpointReady)
	w.list("a1", 1, 0, EndpointReady)
	w.decide()
	w.g.byAddr["a0"].PlacementCredits = 0
	j := w.take(1, "read", -1, 1)
	w.pass(Millisecond)
	want(t, w, "node", j.Node.Addr, "a1")
	want(t, w, "credits spent", w.g.byAddr["a1"].PlacementCredits, creditsEach-1)
	w.end(w.out[0], OutcomeServed)
	want(t, w, "credits earned back", w.g.byAddr["a1"].PlacementCredits, creditsEach)
}

// Guard: a node that falls behind its learned rate, whatever slows it, gets less out until answers make their goal.
func TestAnswersPastTheirGoalNarrowTheBound(t *testing.T) {
	w := newWorld(1, terms())
	w.list("a0", 0, 0, EndpointReady)
	n := w.g.byAddr["a0"]
	for _, took := range []Time{250, 10} {
		w.take(1, "read", 0, 1)
		w.pass(Millisecond)
		w.wait(took * Millisecond)
		w.end(w.out[0], OutcomeServed)
		if narrow := n.InFlightShare < boundAims; narrow != (took == 250) {
			t.Errorf("part of the aim is %g after an answer of %d ms", n.InFlightShare, took)
		}
		n.InFlightShare, n.MeanLatency, n.EjectedUntil = boundAims, 0, 0
	}
}

// Guard: of two jobs that wait, the one whose own work no longer fits its goal is given up first.
func TestBigJobIsGivenUpInTime(t *testing.T) {
	w := newWorld(1, terms())
	w.list("a0", 0, 0, EndpointReady)
	for i := range 24 {
		units := float64(1 + i%2*7)
		w.take(1, "read", 0, units)
		w.pass(Millisecond)
		w.wait(Time(units) * 10 * Millisecond)
		w.end(w.out[0], OutcomeServed)
	}
	n := w.g.byAddr["a0"]
	n.Suspected, n.EjectedUntil = true, w.now+Second
	small, big := w.take(1, "read", 0, 1), w.take(1, "read", 0, 8)
	w.pass(150 * Millisecond)
	want(t, w, "big job", big.State, RequestRejected)
	want(t, w, "small job", small.State, RequestQueued)
}

// Guard: a job that a cold node's store has passed draws anew at the next cold node.
func TestADrawHoldsAtOneNode(t *testing.T) {
	w := newWorld(2, terms("plans.0.limit=0"))
	w.list("a0", 0, w.now, EndpointReady)
	w.g.byAddr["a0"].EjectedUntil = w.now + Second
	j := w.take(1, "read", 0, 8)
	w.pass(Millisecond)
	j.SlowStartDraw, j.ExcessDraw, j.SlowStartShareDraw = DrawAdmitted, DrawAdmitted, DrawAdmitted
	w.list("a0", 0, 0, EndpointDraining)
	w.list("a9", 0, w.now, EndpointReady)
	w.pass(Millisecond)
	want(t, w, "its node", j.Node.Addr, "a9")
	want(t, w, "sent to a node that nothing opens in time", j.State, RequestRejected)
	w.g.byAddr["a9"].SlowStartAnswered = UnitWindow{{w.now, 1}}
	j = w.take(1, "read", 0, 8)
	w.pass(Millisecond)
	want(t, w, "where answers may open it", j.State, RequestQueued)
}

// Guard: a cold node gets more only as it answers, and a new start voids what it answered before.
func TestColdNodeGetsMoreOnlyAsItAnswers(t *testing.T) {
	w := newWorld(1, terms("plans.0.limit=0"))
	w.list("a0", 0, w.now, EndpointReady)
	burst := func() (sent int) {
		w.g.byAddr["a0"].AnsweredUnits = 1e3 // the bound is wide
		for range 20 {
			w.take(1, "read", 0, 1)
		}
		w.pass(Millisecond)
		return len(w.started)
	}
	if sent := burst(); sent > 1 {
		t.Errorf("%d jobs at first", sent)
	}
	for len(w.out) > 0 {
		w.end(w.out[0], OutcomeServed)
	}
	w.wait(1100 * Millisecond)
	w.g.byAddr["a0"].Measured, w.g.byAddr["a0"].BusySeconds = true, 1
	w.g.byAddr["a0"].SlowStartAnswered = UnitWindow{{w.now, 10}}
	if sent := burst(); sent < 10 || sent > 11 { // 10 answered, times 2, times the share used, and one by chance
		t.Errorf("%d jobs after ten answers", sent)
	}
	for len(w.out) > 0 {
		w.end(w.out[0], OutcomeServed)
	}
	w.wait(1100 * Millisecond)
	w.g.byAddr["a0"].SlowStartAnswered = UnitWindow{{w.now, 10}}
	w.list("a0", 0, w.now, EndpointReady)
	if sent := burst(); sent > 1 {
		t.Errorf("%d jobs after a new start", sent)
	}
}

// Guard: however many gateways there are, what they send a cold node stays under what it bears, and is not nothing: a part
// of what one volume asks for, or of what many within their plans, each seldom, or in a surge.
func TestManyGatewaysAndOneColdNode(t *testing.T) {
	for _, c := range []struct{ gateways, volumes, hosts, asked, least, most float64 }{ // units a second; the rest in 4 s
		{2, 1, 2, 600, 30, 0.4}, {80, 1, 80, 600, 30, 0.55}, {300, 1, 300, 600, 30, 0.6},
		{60, 12, 2, 36, 40, 0.5}, {60, 12, 2, 72, 60, 0.8}, {60, 12, 2, 144, 80, 0.9}} {
		var worlds []*world
		for i := range int(c.gateways) {
			w := newWorld(uint64(i), terms("plans.0.limit=0", fmt.Sprintf("gateways=%g", c.gateways), "plans.0.rate=2",
				"plans.0.reserve=1", "plans.1.rate=4", fmt.Sprintf("plans.1.reserve=%g", 20/c.volumes)))
			w.hosts = c.hosts
			w.list("a0", 0, 0, EndpointReady)
			w.list("a1", 1, 0, EndpointReady)
			warm := w.g.byAddr["a1"]
			warm.Measured, warm.AnsweredUnits, warm.BusySeconds = true, 60, 1
			worlds = append(worlds, w)
		}
		var sends UnitWindow
		total, most, pick, due, busy := 0.0, 0.0, newChance(uint64(c.gateways)), map[*Attempt]Time{}, Time(0)
		for step := -100; step < 400; step++ { // the node starts anew after a second, and takes one job after the other
			can := 60 * (0.2 + 0.8*float64(max(step, 0))/1000)
			for n := c.asked / 200; n > 0; n-- { // jobs of two units, answered as writes that may be put off
				if v := int(pick.next()) % int(c.volumes); pick.part() < n {
					worlds[(v*5+int(pick.next())%int(c.hosts))%len(worlds)].take(int64(v+1), "read", 0, 2).Write = true
				}
			}
			for _, w := range worlds {
				if step == 0 {
					total, sends = 0, nil
					w.list("a0", 0, w.now, EndpointReady)
				}
				for _, e := range slices.Clone(w.out) {
					if due[e] <= w.now {
						w.end(e, OutcomeServed)
					}
				}
				w.pass(10 * Millisecond)
				for _, e := range w.started {
					sends, total = append(sends, UnitSample{w.now, e.Request.Units}), total+e.Request.Units
					busy = max(busy, w.now) + Time(e.Request.Units/can*float64(Second))
					due[e] = busy
				}
			}
			if step >= 0 {
				most = max(most, sends.since(worlds[0].now-Second)/2/can)
			}
		}
		t.Logf("%+v: %.0f units, at most %.0f%% of what is borne", c, total, 100*most)
		if most > c.most || total < c.least {
			t.Errorf("%+v: %g units in four seconds, at most %.0f%% of what is borne", c, total, 100*most)
		}
	}
}

// Guard: one big job fills the bound; a small one is not held behind it, unless the node is slow for all.
func TestSmallJobPassesABigOneAtALightNode(t *testing.T) {
	for _, took := range []Time{10, 100} {
		w := newWorld(1, terms("plans.0.limit=0"))
		w.list("a0", 0, 0, EndpointReady)
		for range 8 {
			w.take(2, "read", 0, 2)
			w.pass(Millisecond)
			w.wait(took * Millisecond)
			w.end(w.out[0], OutcomeServed)
		}
		n := w.g.byAddr["a0"]
		n.AnsweredUnits = n.BusySeconds // a unit a second, so that the bound is under one
		w.take(2, "read", 0, 8)
		w.take(2, "read", 0, 1)
		w.take(2, "read", 0, 1)
		w.pass(0)
		want(t, w, "executions out", n.AttemptsInFlight, map[Time]int{10: 2, 100: 1}[took])
	}
}

// Guard: a node that is slow for all is left to what is reserved, while it answers.
func TestHeavyNodeIsLeftToReserves(t *testing.T) {
	heavyNode(t, newWorld(1, terms("plans.0.limit=0")))
	// Where nothing is reserved, the rate stands in; here only the second plan has one.
	heavyNode(t, newWorld(1, terms("plans.0.limit=0", "plans.1.reserve=0", "plans.1.rate=20")))
}

func heavyNode(t *testing.T, w *world) {
	t.Helper()
	w.list("a0", 0, 0, EndpointReady)
	for range 8 {
		w.take(1, "read", 0, 2)
		w.pass(Millisecond)
		w.wait(120 * Millisecond)
		w.end(w.out[0], OutcomeServed)
	}
	spare := w.take(2, "read", 0, 1)
	w.pass(Millisecond)
	want(t, w, "beyond any reserve", spare.State, RequestQueued)
	due := w.take(1, "read", 0, 1)
	w.pass(Millisecond)
	want(t, w, "inside a reserve", due.State, RequestInFlight)
	w.end(w.out[0], OutcomeServed)
	w.pass(150 * Millisecond) // the first is given up meanwhile
	late := w.take(2, "read", 0, 1)
	w.pass(60 * Millisecond)
	want(t, w, "after an aim of silence", late.State, RequestInFlight)
}

// Guard: a new object that sits at a silent node is sent to another while it can still make its goal.
func TestNewObjectLeavesASilentNode(t *testing.T) {
	w := newWorld(1, terms("plans.0.limit=0"))
	w.list("a0", 0, 0, EndpointReady)
	w.list("a1", 1, 0, EndpointReady)
	j := w.take(2, "read", -1, 1)
	w.pass(Millisecond)
	j.Node.Suspected, j.Node.EjectedUntil = true, w.now+Second
	first := j.Node
	w.pass(110 * Millisecond)
	want(t, w, "executions", len(j.Attempts), 2)
	want(t, w, "at the same node", j.Attempts[1].Node == first, false)
}

// Guard: at a node that loses some of what it takes, and where most that were overdue had no answer, a lost execution holds no room and
// its job is sent once more; an answer to it all the same speaks against.
func TestLostExecutionIsSentOnceMore(t *testing.T) {
	for _, c := range []struct {
		failing, vain float64
		sent          int
	}{{0, 0, 1}, {0.2, 0, 2}, {0, 0.6, 2}} {
		w := newWorld(1, terms("plans.0.limit=0"))
		w.list("a0", 0, 0, EndpointReady)
		for range 8 {
			w.take(2, "read", 0, 2)
			w.pass(Millisecond)
			w.wait(10 * Millisecond)
			w.end(w.out[0], OutcomeServed)
		}
		n := w.g.byAddr["a0"]
		w.g.vain = c.vain
		lost := w.take(2, "read", 0, 2)
		w.pass(Millisecond)
		w.take(2, "read", 0, 2)
		w.pass(10 * Millisecond)
		w.end(w.out[1], OutcomeServed)
		n.FailureRate = c.failing
		w.pass(40 * Millisecond)
		want(t, w, "executions", len(lost.Attempts), c.sent)
		want(t, w, "counted as out", n.AttemptsInFlight, 1)
		vain := w.g.vain
		w.end(lost.Attempts[0], OutcomeServed)
		want(t, w, "speaks against", w.g.vain < vain || vain == 0, true)
	}
}

// Guard: where clients leave before the goal, a job is given up when it could only be answered after that; not where some leave at any
// moment, while others that wait as long are served.
func TestJobsCountByWhenClientsLeave(t *testing.T) {
	for _, c := range []struct {
		after   Time
		every   int // so manieth leaves
		givenUp bool
	}{{50, 100, false}, {50, 1, true}, {1, 5, false}} {
		w := newWorld(1, terms("plans.0.limit=0"))
		w.list("a0", 0, 0, EndpointReady)
		for i := range 60 {
			j := w.take(2, "read", 0, 1)
			w.pass(c.after * Millisecond)
			if i%c.every == c.every-1 {
				w.ended[j] = true
				w.g.ClientLeft(w.now, j.ID)
			}
			w.wait(10 * Millisecond)
			for len(w.out) > 0 {
				w.end(w.out[0], OutcomeServed)
			}
		}
		w.g.byAddr["a0"].Suspected, w.g.byAddr["a0"].EjectedUntil = true, w.now+10*Second
		j := w.take(2, "read", 0, 1)
		w.pass(60 * Millisecond)
		want(t, w, "given up", j.State == RequestRejected, c.givenUp)
	}
}

// Guard: a list call that fails once is made again soon, since nodes may be leaving; one that goes on failing, less often, so that
// the gateways do not come back at one moment, but so that three calls fall within the time after which what the list could have told counts
// as told; and a list that comes makes the next failure the first again.
func TestListIsAskedAgainSoonAtFirst(t *testing.T) {
	w := newWorld(1, terms("discovery=ask"))
	asked := func() Time {
		from := w.now
		w.g.EndpointListFailed(w.now, false)
		for ; w.now < from+60*Second; w.now += 10 * Millisecond {
			if w.g.Decide(w.now).WatchEndpoints {
				break
			}
		}
		return w.now - from
	}
	w.g.Decide(w.now)
	first := asked()
	want(t, w, "soon at first", first <= 500*Millisecond, true)
	longest, sum := Time(0), Time(0)
	for range 40 {
		at := asked()
		longest, sum = max(longest, at), sum+at
	}
	want(t, w, "seldom then", sum >= 40*listWaitMost*3/4, true)
	want(t, w, "never too seldom", longest <= silenceMost/4, true)
	w.list("a0", 0, 0, EndpointReady)
	want(t, w, "soon again", asked() <= 500*Millisecond, true)
}

// Guard: a retry past its goal is not sent to a node that is busy with others' work, though nothing of ours is out.
func TestRetryPastItsGoalNeedsALightNode(t *testing.T) {
	for _, took := range []Time{10, 70} {
		w := newWorld(1, terms("plans.0.limit=0"))
		w.list("a0", 0, 0, EndpointReady)
		for range 8 {
			w.take(1, "read", 0, 2)
			w.pass(Millisecond)
			w.wait(took * Millisecond)
			w.end(w.out[0], OutcomeServed)
		}
		retry := &Request{ID: "retry", Units: 1, Deadline: w.now + 350*Millisecond}
		w.g.Submit(w.now, retry, 1, "gold", "read", 2, false)
		w.decide()
		want(t, w, "sent", retry.State == RequestInFlight, took == 10)
	}
}

// Guard: a cold node keeps what it bears for jobs that no other can serve, and answered writes, part of whose work may
// be put off, do not let it have more.
func TestNewObjectsAndWritesAtColdNodes(t *testing.T) {
	w := newWorld(1, terms("plans.0.limit=0"))
	w.list("a0", 0, w.now, EndpointReady)
	w.list("a1", 1, 0, EndpointReady)
	w.g.byAddr["a1"].UnitsInFlight = 100 // busy, so that the cold node would be through first
	object := w.take(2, "read", -1, 1)
	w.pass(Millisecond)
	want(t, w, "a new object's node", object.Node.Addr, "a1")
	for _, write := range []bool{true, false} {
		w.wait(1100 * Millisecond) // so that its part is saved up
		j := w.take(1, "read", 0, 1)
		j.Write = write
		w.pass(Millisecond)
		w.end(w.out[len(w.out)-1], OutcomeServed)
		want(t, w, "answers that count", len(w.g.byAddr["a0"].SlowStartAnswered) > 0, !write)
	}
}

// Guard: what other gateways were served counts in virtual time, and takes from this gateway's part of the reserve.
func TestServiceThroughOthersIsCounted(t *testing.T) {
	w := newWorld(1, terms("tells.others=true"))
	w.list("a0", 0, 0, EndpointReady)
	part := func(others float64) float64 {
		j := w.take(1, "read", 0, 1)
		w.pass(Millisecond)
		w.g.AttemptFinished(w.now, j.ID, 0, OutcomeServed, Millisecond, true, others)
		return j.Volume.Share
	}
	if first := part(0); first <= 0.5 || first >= 1 {
		t.Errorf("with no others' service, the part of one in two gateways is %g", first)
	}
	f := w.g.byAddr["a0"].Flows[0]
	want(t, w, "virtual start within the reserve", f.VirtualStart, 0.0)
	want(t, w, "part when others are served more", part(60), 0.5)
	want(t, w, "virtual start after 60 units through others", f.VirtualStart, 20.0)
	want(t, w, "rate of the reserve", f.Volume.Reserve.Rate, 10.0)
	for _, absurd := range []float64{-1e12, 1e12, 0} { // changes the part within its bounds, and no rule
		if p := part(absurd); p < 0.5 || p > 1 {
			t.Errorf("after a report of %g the part is %g", absurd, p)
		}
	}
	want(t, w, "jobs left over", len(w.g.jobs), 0)
}

// Guard: a node whose answers wait gives a volume beyond its reserve only its part of a fair rate, right in the sum also
// where that part is far smaller than a job; one whose answers do not wait is open to all.
func TestFairRateBeyondReserves(t *testing.T) {
	for _, hosts := range []float64{1, 100} {
		for _, fair := range []float64{0.25, 1} {
			w := newWorld(1, terms("plans.0.limit=0", "plans.0.rate=16", "plans.1.rate=16"))
			w.list("a0", 0, 0, EndpointReady)
			w.take(2, "read", 0, 2)
			w.pass(Millisecond)
			n, v, passed := w.g.byAddr["a0"], w.g.volumes[2], 0.0
			n.FairRate, v.GatewayCount, v.Share = fair, hosts, 1/hosts
			for range 20000 { // two hundred seconds
				w.now += 10 * Millisecond
				w.g.now = w.now
				if w.g.fair(n, &Request{Units: 2, Volume: v}) {
					w.g.flow(n, v).Excess.take(2)
					passed += 2
				}
			}
			rate := 0.25 * 32 / 4 / hosts // units a second: a quarter of both plans' rates over their weights
			if fair == 1 {
				want(t, w, "passed at an open node", passed, 40000.0)
			} else if due := 200 * rate; passed < 0.5*due || passed > 1.5*due+8 {
				t.Errorf("one of %g gateways passes %g units, %g are due", hosts, passed, due)
			}
		}
	}
}

// Guard: a node whose mean job takes over the aim rests, also for reserved jobs, and is tried again after.
func TestNodePastTheAimRests(t *testing.T) {
	w := newWorld(1, terms("plans.0.limit=0"))
	w.list("a0", 0, 0, EndpointReady)
	w.take(1, "read", 0, 2)
	w.wait(300 * Millisecond)
	w.end(w.out[0], OutcomeServed)
	early := w.take(1, "read", 0, 2)
	w.wait(100 * Millisecond)
	want(t, w, "while it rests", early.State, RequestRejected)
	w.wait(100 * Millisecond)
	late := w.take(1, "read", 0, 2)
	w.pass(Millisecond)
	want(t, w, "after its rest", late.State, RequestInFlight)
}

// Guard: silence strains a node before its answer comes, and a whole time-out of silence rests it; a failure after a
// long time without word weighs more than one among many answers.
func TestSilenceIsHeardOfASeldomMetNode(t *testing.T) {
	for _, pause := range []Time{0, 10 * Second} {
		w := newWorld(1, terms("plans.0.limit=0"))
		w.list("a0", 0, 0, EndpointReady)
		for range 20 {
			w.take(2, "read", 0, 2)
			w.wait(20 * Millisecond)
			w.end(w.out[0], OutcomeServed)
		}
		n := w.g.byAddr["a0"]
		w.wait(pause)
		w.take(2, "read", 0, 2)
		w.pass(Millisecond)
		w.end(w.out[0], OutcomeError)
		want(t, w, "believed to fail by one error", n.FailureRate > 0.5, pause > 0)
		if n.FailureRate == 0 {
			t.Error("an error is not noted")
		}
		for len(w.out) > 0 {
			w.end(w.out[0], OutcomeServed)
		}
		n.FairRate = 1
		w.take(2, "read", 0, 2)
		w.wait(190 * Millisecond)
		want(t, w, "strained within the aim", n.FairRate < 1, false)
		w.wait(60 * Millisecond)
		want(t, w, "strained by silence", n.FairRate < 1, true)
		want(t, w, "rests before the time-out", n.EjectedUntil > w.now+300*Millisecond, false)
		w.wait(360 * Millisecond)
		want(t, w, "rests after it", n.EjectedUntil > w.now+300*Millisecond, true)
	}
}

// Guard: what a gateway finds after it stood still itself does not make a node look slow.
func TestOwnStallTeachesNothing(t *testing.T) {
	for _, stalls := range []bool{false, true} {
		w := newWorld(1, terms("plans.0.limit=0"))
		w.list("a0", 0, 0, EndpointReady)
		w.take(2, "read", 0, 2)
		w.wait(10 * Millisecond)
		w.end(w.out[0], OutcomeServed)
		w.take(2, "read", 0, 2)
		w.pass(Millisecond)
		if stalls {
			w.now += 300 * Millisecond
		} else {
			w.wait(300 * Millisecond)
		}
		w.end(w.out[0], OutcomeServed)
		n := w.g.byAddr["a0"]
		want(t, w, "fair rate cut", n.FairRate < 1, !stalls)
		want(t, w, "usual time raised", n.MeanLatency > float64(30*Millisecond), !stalls)
		want(t, w, "suspect", n.Suspected, false)
	}
}

// Guard: a job inside its volume's reserve goes before the turn.
func TestReserveGoesBeforeTheTurn(t *testing.T) {
	w := newWorld(1, terms("plans.0.limit=0"))
	w.list("a0", 0, 0, EndpointReady)
	for range 20 {
		w.take(2, "read", 0, 4)
	}
	w.pass(Millisecond)
	n := w.g.byAddr["a0"]
	due := w.take(1, "read", 0, 4)
	n.Flows[0].VirtualStart = -100 // the turn's volume is first by virtual time as well
	w.pass(Millisecond)
	w.end(w.out[0], OutcomeServed)
	w.pass(Millisecond)
	want(t, w, "holder of the turn", n.InService, n.Flows[0])
	want(t, w, "the reserved job", due.State, RequestInFlight)
}

// Guard: once the list has been silent for so long that what it missed counts as told, a node that may have drained or started anew
// meanwhile is sent to only while it takes what it is sent, as one that is cold; a call that failed with a word changes nothing.
func TestSilentListIsNotActedOnForEver(t *testing.T) {
	for _, silent := range []bool{false, true} {
		w := newWorld(1, terms("plans.0.limit=0", "drain.grace=2000"))
		w.list("a0", 0, 0, EndpointReady)
		w.list("a1", 1, 0, EndpointReady)
		w.g.EndpointListFailed(w.now, silent)
		sent := map[string]int{}
		for w.now < 30*Second {
			met := []int{0, 0, 0, 1}[w.now/(40*Millisecond)%4] // the second node is met too, until the silence is long
			if met == 0 || w.now < 7*Second {
				w.take(1, "read", met, 1)
			}
			w.pass(40 * Millisecond)
			for _, e := range w.started {
				if w.now > 11*Second {
					sent[e.Node.Addr]++
				}
			}
			for len(w.out) > 0 {
				w.end(w.out[0], OutcomeServed)
			}
		}
		late := w.take(1, "read", 1, 1)
		w.pass(Millisecond)
		want(t, w, "sent to a node that said nothing for as long", late.State == RequestInFlight, !silent)
		want(t, w, "sent on to one that answers", sent["a0"] > 100, true)
		want(t, w, "cold for all that is known", w.g.cold(w.g.byAddr["a0"]), false) // its time has passed since the last word
		w.list("a2", 2, 0, EndpointReady)
		w.pass(Millisecond)
		want(t, w, "once the list is heard", late.State, RequestInFlight)
	}
	w := newWorld(1, terms("drain.grace=2000"))
	w.list("a0", 0, 0, EndpointReady)
	w.g.EndpointListFailed(w.now, true)
	w.wait(5 * Second)
	want(t, w, "cold before what it missed counts as told", w.g.cold(w.g.byAddr["a0"]), false)
	w.wait(Second)
	want(t, w, "cold after", w.g.cold(w.g.byAddr["a0"]), true)
}

// Guard: who asks again after failed calls does so well within the time after which who has not asked counts as told.
func TestListIsAskedAgainInTime(t *testing.T) {
	for _, c := range []struct {
		every  string
		silent bool
		most   Time
	}{{"0", false, 1500 * Millisecond}, {"0", true, 750 * Millisecond}, {"3000", false, 1500 * Millisecond}, {"3000", true, 750 * Millisecond},
		{"600", false, 900 * Millisecond}} {
		w, worst := newWorld(1, terms("list.every="+c.every)), Time(0)
		w.decide()
		for range 40 {
			w.g.EndpointListFailed(w.now, c.silent)
			at := w.now
			for w.pass(10 * Millisecond); !w.g.last.WatchEndpoints; w.pass(10 * Millisecond) {
			}
			worst = max(worst, w.now-at)
		}
		if worst > c.most+50*Millisecond || worst < c.most/2 {
			t.Errorf("%+v: asked again after %d ms at worst", c, worst/Millisecond)
		}
	}
}
