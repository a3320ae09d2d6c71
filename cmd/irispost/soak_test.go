package main

import (
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Length and seed of the soak test. IRISPOST_SOAK (a duration) and IRISPOST_SOAK_SEED change them for a long run, which
// needs a longer -timeout as well. IRISPOST_SOAK_PHASES, names separated by commas, has these phases played in turn.
const (
	soakDuration = time.Minute
	soakSeed     = 51
	phaseTime    = 4 * time.Second
	restTime     = time.Second
)

// answerSlack is how much later than its deadline a request may get its final answer on the platform.
const answerSlack = 500 * time.Millisecond

// soakPhase is a kind of hostile clients and how many of them there are at a time.
type soakPhase struct {
	name    string
	clients int
	kind    hostileClient
	crowds  bool // they use all connections, so that others may be turned away meanwhile
}

var soakPhases = []soakPhase{
	{"slow writers", 600, writesSlowly, true},
	{"half requests", 600, stopsHalfway, true},
	{"short fields", 600, sendsShortFields, true},
	{"small chunks", 300, sendsSmallChunks, true},
	{"requests sent ahead", 300, sendsAhead, true},
	{"pipelined requests", 1, pipelines, false},
	{"pipelined health checks", 1, pipelinesHealthChecks, false},
	{"unsound requests", 1, sendsUnsoundRequests, false},
	{"noise", 1, sendsNoise, false},
	{"flood behind a request", 1, floodsBehindRequest, false},
	{"new names", 1, newNames("read", "basic", &counter{}), false},
	{"new keys", 1, newNames("keyed", "capped", &counter{}), false},
	{"clients that leave", 8, leavesAndReturns, false},
}

func soakSettings(t *testing.T) (length time.Duration, seed uint64) {
	t.Helper()
	length, seed = soakDuration, soakSeed
	var err error
	if text := os.Getenv("IRISPOST_SOAK"); text != "" {
		if length, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	if text := os.Getenv("IRISPOST_SOAK_SEED"); text != "" {
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	return length, seed
}

// TestSoakBesideHostileClients guards against a gateway that passes its memory limit, slows down with time or leaves
// other clients without answers while some misbehave: kinds of hostile clients follow each other at random beside
// well-behaved ones, at a process with the platform's limits.
func TestSoakBesideHostileClients(t *testing.T) {
	length, seed := soakSettings(t)
	nextRound := soakRounds(t, seed)
	g := startLimitedGateway(t)
	t.Logf("seed %d, %v", seed, length)
	var phases []soakPhase
	for end := time.Now().Add(length); time.Now().Before(end) && !t.Failed(); phases = phases[1:] {
		if len(phases) == 0 {
			phases = nextRound()
		}
		runSoakPhase(t, g, phases[0])
	}
	sound := startSoundClients(g)
	time.Sleep(phaseTime)
	if result := sound.stop(); result.served < result.answers*99/100 {
		t.Errorf("afterwards, alone: %v", result)
	}
	if u := g.usage(); u.descriptors > limitSockets/2 {
		t.Errorf("afterwards: %d descriptors are still in use", u.descriptors)
	}
	for _, n := range g.nodes {
		close(n.Release)
	}
	checkRunsOnce(t, g)
}

// soakRounds returns a function that returns the phases of the next round: all of them in random order, or the chosen
// ones in the order given.
func soakRounds(t *testing.T, seed uint64) (nextRound func() []soakPhase) {
	t.Helper()
	var chosen []soakPhase
	if names := os.Getenv("IRISPOST_SOAK_PHASES"); names != "" {
		for name := range strings.SplitSeq(names, ",") {
			at := slices.IndexFunc(soakPhases, func(p soakPhase) bool { return p.name == name })
			if at < 0 {
				t.Fatalf("IRISPOST_SOAK_PHASES: there is no phase %q", name)
			}
			chosen = append(chosen, soakPhases[at])
		}
		return func() []soakPhase { return chosen }
	}
	random := rand.New(rand.NewPCG(seed, 0))
	return func() (round []soakPhase) {
		for _, at := range random.Perm(len(soakPhases)) {
			round = append(round, soakPhases[at])
		}
		return round
	}
}

// runSoakPhase runs hostile clients of one kind beside well-behaved ones and checks what these were answered.
func runSoakPhase(t *testing.T, g *limitedGateway, phase soakPhase) {
	t.Helper()
	before := g.usage()
	sound := startSoundClients(g)
	stopAttack := attack(g, phase.clients, phase.kind)
	time.Sleep(phaseTime)
	after := g.usage()
	result := sound.stop()
	stopAttack()
	time.Sleep(restTime)
	t.Logf("%s: %.0f MB (peak %.0f), %v of CPU, %d descriptors; %v", phase.name, after.residentMB, after.peakMB,
		after.cpu-before.cpu, after.descriptors, result)
	g.checkMemory()
	if result.statuses[statusWrongBody] > 0 {
		t.Errorf("%s: answers with the data of another request: %v", phase.name, result)
	}
	if result.most > soundDeadline+answerSlack {
		t.Errorf("%s: a final answer came later than %v: %v", phase.name, soundDeadline+answerSlack, result)
	}
	if refused := result.statuses[http.StatusServiceUnavailable]; !phase.crowds && result.served+refused != result.answers {
		t.Errorf("%s: requests were not answered: %v", phase.name, result)
	}
	if !phase.crowds && result.served < result.answers*9/10 {
		t.Errorf("%s: over a tenth of the requests was turned away: %v", phase.name, result)
	}
}

// checkRunsOnce fails the test if a request that must not run twice did.
func checkRunsOnce(t *testing.T, g *limitedGateway) {
	t.Helper()
	runs := map[string]int{}
	for _, n := range g.nodes {
		n.Lock()
		for id, times := range n.ReceivedCounts {
			if isRunOnceID(id) {
				runs[id] += times
			}
		}
		n.Unlock()
	}
	for id, times := range runs {
		if times > 1 {
			t.Errorf("%s ran %d times", id, times)
		}
	}
	t.Logf("%d requests ran that must not run twice", len(runs))
}

// TestCostOfRequestDoesNotGrowWithNames guards against a gateway that gets slower, and larger, with each volume, extent
// and ID that a client has used.
func TestCostOfRequestDoesNotGrowWithNames(t *testing.T) {
	const (
		windows    = 5
		windowTime = 3 * time.Second
		maxGrowth  = 2.0 // of the processor time of a request; the scheduler's own tests bound what it walks
		maxMoreMB  = 16
	)
	g := startLimitedGateway(t)
	sound := startSoundClients(g)
	requests := &counter{}
	stopAttack := attack(g, 1, newNames("read", "basic", requests))
	var first, last time.Duration // processor time of a request
	var firstMB, lastMB float64
	before, counted := g.usage(), 0
	for window := range windows {
		time.Sleep(windowTime)
		now := g.usage()
		total, served := requests.get()
		last, lastMB = (now.cpu-before.cpu)/time.Duration(max(total-counted, 1)), now.residentMB
		t.Logf("%d names (%d served): %v of CPU a request, %.0f MB", total, served, last, lastMB)
		if window == 0 {
			first, firstMB = last, lastMB
		}
		before, counted = now, total
	}
	stopAttack()
	if last > time.Duration(maxGrowth*float64(first)) {
		t.Errorf("a request costs %v of processor time, %v at first", last, first)
	}
	if lastMB > firstMB+maxMoreMB {
		t.Errorf("the gateway uses %.0f MB, %.0f at first", lastMB, firstMB)
	}
	if result := sound.stop(); result.served < result.answers*99/100 {
		t.Errorf("other clients: %v", result)
	}
	g.checkMemory()
}
