package pace

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// model is a pacer together with its expected contents.
type model struct {
	t        *rapid.T
	limits   Limits
	pacer    *Pacer
	sessions []*Session
	waiting  map[*Session][]*Command
	running  []*Command
}

// Checks invariants of the pacer under random sequences of arriving, completed and removed commands, closed sessions
// and a closed pacer: no command is lost or started twice, the limits hold, each session's order is kept, and
// commands do not wait while none runs.
func TestPacerKeepsItsBoundsAndOrder(t *testing.T) {
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.seed", "7"); err != nil { // for reproducible results
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			MinWindow:    2,
			MaxWindow:    rapid.IntRange(2, 64).Draw(t, "most"),
			InitialBound: rapid.IntRange(1, 16).Draw(t, "start"),
			MaxBound:     32,
			MaxBytes:     rapid.IntRange(1, 1000).Draw(t, "bytes"),
			Quantum:      rapid.IntRange(1, 200).Draw(t, "quantum"),
		}
		m := &model{t: t, limits: limits, pacer: New(limits), waiting: map[*Session][]*Command{}}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			m.step(rapid.IntRange(0, 9).Draw(t, "what"))
			m.startAll()
			m.checkInvariants()
		}
	})
}

func (m *model) step(action int) {
	switch {
	case action == 0:
		m.sessions = append(m.sessions, m.pacer.NewSession())
	case action <= 3 && len(m.sessions) > 0:
		session := rapid.SampledFrom(m.sessions).Draw(m.t, "session")
		command := &Command{Cost: rapid.IntRange(0, 400).Draw(m.t, "cost")}
		session.Enqueue(command)
		m.waiting[session] = append(m.waiting[session], command)
	case action >= 4 && action <= 6 && len(m.running) > 0:
		index := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "which")
		m.pacer.Done(m.running[index], Outcome(rapid.IntRange(0, 2).Draw(m.t, "outcome")))
		m.running = slices.Delete(m.running, index, index+1)
	case action == 7 && len(m.sessions) > 0:
		m.closeSession(rapid.IntRange(0, len(m.sessions)-1).Draw(m.t, "session"))
	case action == 8 && len(m.sessions) > 0:
		m.remove(rapid.SampledFrom(m.sessions).Draw(m.t, "session"))
	case action == 9 && m.pacer.State() == Closed:
		m.pacer.Reopen()
	case action == 9:
		m.pacer.Close()
	}
}

func (m *model) closeSession(index int) {
	session := m.sessions[index]
	if returned := session.Close(); len(returned) != len(m.waiting[session]) {
		m.t.Fatalf("Close returned %d commands, want the %d waiting ones", len(returned), len(m.waiting[session]))
	}
	delete(m.waiting, session)
	m.sessions = slices.Delete(m.sessions, index, index+1)
}

func (m *model) remove(session *Session) {
	waiting := m.waiting[session]
	if len(waiting) == 0 {
		return
	}
	index := rapid.IntRange(0, len(waiting)-1).Draw(m.t, "remove")
	if !session.Remove(waiting[index]) || session.Remove(&Command{}) {
		m.t.Fatal("Remove did not find a waiting command, or found one that was never queued")
	}
	m.waiting[session] = slices.Delete(slices.Clone(waiting), index, index+1)
}

// startAll starts all commands that may run.
func (m *model) startAll() {
	for command := m.pacer.Next(); command != nil; command = m.pacer.Next() {
		waiting := m.waiting[command.session]
		if slices.Contains(m.running, command) || len(waiting) == 0 || waiting[0] != command {
			m.t.Fatal("Next returned a command that is running already, or not the first of its session")
		}
		m.waiting[command.session] = waiting[1:]
		m.running = append(m.running, command)
	}
}

func (m *model) checkInvariants() {
	p := m.pacer
	waiting, bytes, busy := 0, 0, 0
	for _, session := range m.sessions {
		waiting += len(m.waiting[session])
		if session.Outstanding() > 0 {
			busy++
		}
		m.checkWindow(session.Window())
	}
	for _, command := range m.running {
		bytes += command.Cost
	}
	if p.Waiting() != waiting || p.Running() != len(m.running) || p.runningBytes != bytes || p.busySessions < busy {
		m.t.Fatalf("got %d waiting, want %d; got %d running, want %d; got %d bytes, want %d; got %d busy sessions, want at least %d",
			p.Waiting(), waiting, p.Running(), len(m.running), p.runningBytes, bytes, p.busySessions, busy)
	}
	if len(m.running) > p.limits.MaxBound || len(m.running) > 1 && bytes > m.limits.MaxBytes {
		m.t.Fatalf("%d commands run with %d bytes in total, want no more than the limits", len(m.running), bytes)
	}
	if waiting > 0 && len(m.running) == 0 {
		m.t.Fatal("commands wait, but none runs")
	}
	if p.bound < 1 || p.bound > float64(m.limits.MaxBound) {
		m.t.Fatalf("got a bound of %v, want one from 1 to MaxBound", p.bound)
	}
}

func (m *model) checkWindow(window int) {
	lowest, highest := min(m.limits.MinWindow, m.limits.MaxWindow), m.limits.MaxWindow
	if m.pacer.State() == Closed {
		lowest, highest = 0, 0
	}
	if window < lowest || window > highest {
		m.t.Fatalf("got a window of %d in state %v, want one within the limits and 0 if closed", window, m.pacer.State())
	}
}

// simulate simulates a gateway that completes at most slots commands in each round, in random order, for sessions
// that keep a constant queue depth as far as their windows allow. It returns the number of completed commands by
// session.
func simulate(pacer *Pacer, depths []int, cost []int, slots, rounds int, seed uint64) (served []int) {
	random := rand.New(rand.NewPCG(seed, 1))
	sessions := make([]*Session, len(depths))
	served = make([]int, len(depths))
	for k := range depths {
		sessions[k] = pacer.NewSession()
	}
	var running []*Command
	for range rounds {
		for k, session := range sessions {
			for session.Outstanding() < min(depths[k], session.Window()) {
				session.Enqueue(&Command{Cost: cost[k]})
			}
		}
		for command := pacer.Next(); command != nil; command = pacer.Next() {
			running = append(running, command)
		}
		for n := min(slots, len(running)); n > 0; n-- {
			k := random.IntN(len(running))
			command := running[k]
			running = slices.Delete(running, k, k+1)
			outcome := Served
			if len(running) > 4*slots { // overload
				outcome = Rejected
			}
			pacer.Done(command, outcome)
			served[slices.Index(sessions, command.session)]++
		}
	}
	return served
}

// A session with one command at a time is not starved by one with 256 outstanding commands. Two sessions that each
// ask for more than their share get equal shares of the bytes.
func TestSessionsShareByBytes(t *testing.T) {
	served := simulate(New(DefaultLimits), []int{1, 256}, []int{4096, 4096}, 4, 10_000, 1)
	if served[0] < 800 || served[0]+served[1] < 39_000 { // alone: 10,000; with 16 running it waits about four rounds
		t.Errorf("depths 1 and 256: got %v commands served, want at least 800 for the first session and 39,000 in total", served)
	}
	served = simulate(New(DefaultLimits), []int{32, 256}, []int{4096, 4096}, 4, 10_000, 2)
	if ratio := float64(served[0]) / float64(served[1]); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("depths 32 and 256: got %v commands served, ratio %.2f; want a ratio from 0.9 to 1.1", served, ratio)
	}
	served = simulate(New(DefaultLimits), []int{256, 256}, []int{4096, 65536}, 4, 10_000, 3)
	if ratio := float64(served[0]) / float64(16*served[1]); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("4 KiB and 64 KiB: got %v commands served, ratio of bytes %.2f; want a ratio from 0.9 to 1.1", served, ratio)
	}
}

// The bound decreases once for all rejected commands that ran at the same time, and grows back step by step up to its
// maximum. Each change of state is reported once.
func TestBoundFollowsRejections(t *testing.T) {
	pacer := New(Limits{MinWindow: 1, MaxWindow: 100, InitialBound: 10, MaxBound: 20, MaxBytes: 1 << 30, Quantum: 1})
	session := pacer.NewSession()
	fill := func() (started []*Command) {
		for range 40 {
			session.Enqueue(&Command{})
		}
		for command := pacer.Next(); command != nil; command = pacer.Next() {
			started = append(started, command)
		}
		return started
	}
	first := fill()
	if len(first) != 10 || session.Window() != 20 {
		t.Fatalf("got %d running commands and a window of %d, want 10 and 20", len(first), session.Window())
	}
	for _, command := range first {
		pacer.Done(command, Rejected)
	}
	if pacer.Bound() != 7 || pacer.State() != Slow || !pacer.TakeStateChange() || pacer.TakeStateChange() {
		t.Errorf("got bound %d, state %v; want bound 7, state slow, reported once", pacer.Bound(), pacer.State())
	}
	for n := 0; pacer.State() == Slow; n++ {
		if n > 200 {
			t.Fatalf("the bound is still at %v after 200 rounds without rejections, want state open", pacer.bound)
		}
		for _, command := range fill() {
			pacer.Done(command, Served)
		}
	}
	if !pacer.TakeStateChange() || pacer.Bound() < 10 {
		t.Errorf("got bound %d, state %v; want at least 10 and a reported change", pacer.Bound(), pacer.State())
	}
	for range 500 {
		for _, command := range fill() {
			pacer.Done(command, Served)
		}
	}
	if pacer.Bound() != 20 {
		t.Errorf("got bound %d, want 20, the maximum", pacer.Bound())
	}
	pacer.Close()
	if session.Window() != 0 || pacer.Next() == nil {
		t.Error("closed pacer: the window is not 0, or queued commands no longer run")
	}
}
