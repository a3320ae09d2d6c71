package scheduler

import (
	"strconv"
	"testing"
)

// TestRepeatGuardKeepsRequestsFromRunningTwice: an ID may run again only if its class is idempotent, whatever the class
// under which it comes again.
func TestRepeatGuardKeepsRequestsFromRunningTwice(t *testing.T) {
	for class, mayRunAgain := range map[string]bool{"read": true, "line": true, "once": false, "mark": false} {
		guard := NewRepeatGuard(testSettings())
		if !guard.MayRun("a") {
			t.Errorf("%s: a new ID may not run", class)
		}
		guard.RecordRun("a", class)
		if guard.MayRun("a") != mayRunAgain || !guard.MayRun("b") {
			t.Errorf("%s: may run again: %t, want %t; another ID: %t", class, guard.MayRun("a"), mayRunAgain, guard.MayRun("b"))
		}
	}
}

// TestRepeatGuardIsBounded: the guard remembers the latest IDs, and no more than twice as many as it has to.
func TestRepeatGuardIsBounded(t *testing.T) {
	guard := NewRepeatGuard(testSettings())
	for i := range 5 * repeatGuardIDs {
		guard.RecordRun(strconv.Itoa(i), "once")
		if latest := strconv.Itoa(max(i-repeatGuardIDs+1, 0)); guard.MayRun(latest) {
			t.Fatalf("after %d IDs, the ID %s has been forgotten", i+1, latest)
		}
		if n := len(guard.recent) + len(guard.older); n > 2*repeatGuardIDs {
			t.Fatalf("%d IDs are remembered, want %d at most", n, 2*repeatGuardIDs)
		}
	}
	if !guard.MayRun("0") {
		t.Error("the first ID is still remembered")
	}
}
