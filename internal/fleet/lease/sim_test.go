package lease

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
)

const stepsPerRun = 200

// Random runs of the simulation must never show gateways that contradict the version in force, or a lost version. The
// environment variable IRISPOST_RUNS sets the number of runs.
func TestNoContradiction(t *testing.T) {
	count := uint64(2000)
	if s := os.Getenv("IRISPOST_RUNS"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		count = n
	}
	result := simulateMany(count, 0)
	if result.seed > 0 {
		t.Fatalf("seed %d: %s", result.seed, result.violation)
	}
	t.Logf("%d runs, %d steps", count, result.steps)
}

// The simulation must detect each injected fault. Otherwise runs without violations would prove nothing.
func TestInjectedFaultsAreFound(t *testing.T) {
	for name, fault := range map[string]InjectedFaults{ // FaultTrustEarlierTerms has TestMisleadingRequests
		"lease from receipt":                           FaultLeaseFromReceipt,
		"no wait":                                      FaultNoWait,
		"no intersection":                              FaultNoIntersection,
		"a new leader assumes no leases":               FaultNewLeaderAssumesNoLeases,
		"fallbacks not waited for":                     FaultIgnoreFallbacks,
		"clock drift ignored":                          FaultIgnoreClockDrift,
		"responses in any order":                       FaultAcceptReordered,
		"leases without joining":                       FaultLeaseWithoutJoin,
		"no lease expiry":                              FaultNoLeaseExpiry,
		"leader not confirmed":                         faultUnconfirmedLeader,
		"wall clock":                                   faultWallClock,
		"log lost":                                     faultLostLog,
		"digest not checked":                           faultUncheckedDigest,
		"a stale disk acted on":                        faultStaleDisk,
		"a version forgotten while a fallback uses it": FaultForgetHeldVersions,
		"none forgotten":                               FaultForgetNothing,
		"no snapshot after a compaction":               faultSkipSnapshot,
	} {
		t.Run(name, func(t *testing.T) {
			result := simulateMany(20000, fault)
			if result.seed == 0 {
				t.Fatal("no run of 20000 found a violation, want one")
			}
			t.Logf("run %5d: %s", result.seed, result.violation)
		})
	}
}

// simulationResult collects the results of many runs.
type simulationResult struct {
	mu        sync.Mutex
	next      uint64 // next seed to run
	seed      uint64 // lowest seed with a violation; 0: none
	violation string
	steps     int64 // of all runs
}

// simulateMany runs the simulation with the seeds from 1 to count, several in parallel, until one shows a violation.
func simulateMany(count uint64, faults InjectedFaults) *simulationResult {
	s := &simulationResult{next: 1}
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed, more := s.take(count); more; seed, more = s.take(count) {
				s.add(seed, simulate(seed, faults))
			}
		})
	}
	workers.Wait()
	return s
}

// take returns the next seed, unless an earlier one has shown a violation.
func (s *simulationResult) take(count uint64) (seed uint64, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seed = s.next
	s.next++
	return seed, seed <= count && (s.seed == 0 || seed < s.seed)
}

func (s *simulationResult) add(seed uint64, w *world) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps += int64(w.steps)
	if w.violation != "" && (s.seed == 0 || seed < s.seed) {
		s.seed = seed
		s.violation = w.violation
	}
}

// simulate makes one run. Without faults, or with FaultForgetNothing alone, one run in eight then heals the world and
// checks that a last version comes into force and old ones are forgotten. Not all runs do, as this takes most of the
// time.
func simulate(seed uint64, faults InjectedFaults) *world {
	w := newWorld(seed, faults)
	for w.steps < stepsPerRun && w.violation == "" {
		w.step()
	}
	if w.violation == "" {
		w.checkReplicas()
	}
	if w.violation == "" && faults&^FaultForgetNothing == 0 && seed%8 == 0 {
		w.heal()
		last := w.commitLast()
		longest := w.longestWait()
		w.checkActivation(last, longest)
		w.checkForgetting(longest)
		if w.violation == "" {
			w.checkReplicas()
		}
	}
	return w
}

// heal ends all network and process faults.
func (w *world) heal() {
	w.healed = true
	for _, g := range w.gateways {
		g.stopped = false
		g.disconnected = false
		g.onlyReplica = nil
	}
	w.stopEarlierLeaders()
	w.apply(w.leader, len(w.log))
}

// longestWait returns how long a version may take to come into force in a healed world: a lease, the messages in
// transit and the longest fallback.
func (w *world) longestWait() Time {
	lease := testSettings.withDrift(testSettings.withDrift(leaseDuration)) + 10*leaseDuration
	fallback := testSettings.withDrift(testSettings.withDrift(w.committed.longestFallback()))
	return lease + fallback
}

// commitLast commits a final proposal and returns the number of its version.
func (w *world) commitLast() uint64 {
	last := &Proposal{ID: "last", Parent: w.committed.Announced, ReplacePending: true, Content: configPool[0]}
	w.commit(w.leader, w.enqueue(w.leader, &Command{Propose: last}))
	return w.committed.Announced
}

// checkActivation checks that the announced version comes into force within the longest wait.
func (w *world) checkActivation(number uint64, longest Time) {
	start := w.now
	for w.committed.InForce < number && w.violation == "" && w.now < start+longest {
		w.step()
	}
	if w.violation == "" && w.committed.InForce != number {
		w.violation = fmt.Sprintf("version %d is not in force %d ms after all faults ended, waiting for %v",
			number, (w.now-start)/nanosPerMilli, w.leader.manager.WaitingFor(w.leader.at(w.now)))
	}
}

// checkForgetting checks that unused versions are forgotten within the longest wait. Gateways only use the latest
// version now, so that version, the bases before it and less than a batch remain.
func (w *world) checkForgetting(longest Time) {
	if !w.retention.enabled {
		return
	}
	most := w.retention.baseVersions + w.retention.batchSize + 1
	start := w.now
	for len(w.committed.Versions) > most && w.violation == "" {
		if w.now > start+longest {
			w.violation = fmt.Sprintf("%d versions are kept, want at most %d", len(w.committed.Versions), most)
		}
		w.step()
	}
}
