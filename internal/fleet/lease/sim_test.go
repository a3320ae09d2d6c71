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

// IRISPOST_RUNS makes more runs than the tests do.
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

// Each injected fault has to be found, or nothing would be shown by finding none.
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
				t.Fatal("not found")
			}
			t.Logf("run %5d: %s", result.seed, result.violation)
		})
	}
}

// simulation is the result of many runs.
type simulation struct {
	mu        sync.Mutex
	next      uint64 // seed
	seed      uint64 // the first that is violated; 0: none
	violation string
	steps     int64 // of all runs
}

// simulateMany makes runs with the seeds from 1 to count, several at a time, up to the first that is violated.
func simulateMany(count uint64, faults InjectedFaults) *simulation {
	s := &simulation{next: 1}
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

// take returns the next seed, unless an earlier one is violated.
func (s *simulation) take(count uint64) (seed uint64, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seed = s.next
	s.next++
	return seed, seed <= count && (s.seed == 0 || seed < s.seed)
}

func (s *simulation) add(seed uint64, w *world) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps += int64(w.steps)
	if w.violation != "" && (s.seed == 0 || seed < s.seed) {
		s.seed = seed
		s.violation = w.violation
	}
}

// simulate makes a run. Some runs without a fault are healed at their end, as that takes most of the time.
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

// heal ends all faults of the network and of processes.
func (w *world) heal() {
	w.healed = true
	for _, g := range w.gateways {
		g.stopped = false
		g.cut = false
		g.reaches = nil
	}
	w.stopEarlierLeaders()
	w.apply(w.leader, len(w.log))
}

// longestWait is how long a version may wait in a healed world: for a lease and the messages that are under
// way, and for the longest fallback.
func (w *world) longestWait() Time {
	lease := testSettings.withDrift(testSettings.withDrift(leaseDuration)) + 10*leaseDuration
	fallback := testSettings.withDrift(testSettings.withDrift(w.committed.longestFallback()))
	return lease + fallback
}

// commitLast commits a last proposal and returns the version that it has become.
func (w *world) commitLast() uint64 {
	last := &Proposal{ID: "last", Parent: w.committed.Announced, ReplacePending: true, Content: configPool[0]}
	w.commit(w.leader, w.enqueue(w.leader, &Command{Propose: last}))
	return w.committed.Announced
}

// checkActivation checks that the announced version comes into force in time.
func (w *world) checkActivation(number uint64, longest Time) {
	start := w.now
	for w.committed.InForce < number && w.violation == "" && w.now < start+longest {
		w.step()
	}
	if w.violation == "" && w.committed.InForce != number {
		w.violation = fmt.Sprintf("version %d is not in force %d ms after all has healed: %v",
			number, (w.now-start)/nanosPerMilli, w.leader.manager.WaitingFor(w.leader.at(w.now)))
	}
}

// checkForgetting checks that all versions are forgotten in time but those that are always kept. Only the
// latest is acted on now, so it, its bases and less than a batch remain.
func (w *world) checkForgetting(longest Time) {
	if !w.retention.enabled {
		return
	}
	most := w.retention.baseVersions + w.retention.batchSize + 1
	start := w.now
	for len(w.committed.Versions) > most && w.violation == "" {
		if w.now > start+longest {
			w.violation = fmt.Sprintf("%d versions are kept, %d at most would do", len(w.committed.Versions), most)
		}
		w.step()
	}
}
