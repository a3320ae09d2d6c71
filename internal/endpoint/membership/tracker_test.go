package membership

import (
	"fmt"
	"testing"
)

// A node is listed, drained, ready again, removed, and returns both within and after its removal grace.
func TestNodeLifecycle(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own")
	h.report(0, "1", "a:0 b:1 c:2")
	h.want("first", "a:0 b:1 c:2")
	h.report(0, "2", "a:0/draining b:1 c:2")
	h.want("drain", "a:0/draining b:1 c:2")
	h.report(0, "3", "a:0 b:1 c:2")
	h.want("drain undone", "a:0 b:1 c:2")
	h.report(0, "4", "b:1 c:2")
	h.want("removed", "b:1 c:2")
	if h.state("a") != Removing {
		t.Errorf("node a is %v, want Removing", h.state("a"))
	}
	h.advance(sec)
	h.report(0, "5", "a:0 b:1 c:2")
	h.want("back within the grace, it keeps its start time", "a:0 b:1 c:2")
	h.report(0, "6", "b:1 c:2")
	h.advance(3 * sec)
	if h.state("a") != Absent {
		t.Errorf("node a is %v, want Absent", h.state("a"))
	}
	h.report(0, "7", "a:0 b:1 c:2")
	h.want("back after the grace, it counts as started now", fmt.Sprintf("a:0@%d b:1 c:2", h.now/sec))
	h.report(0, "8", "a:0/gone b:1 c:2 d:3@7")
	h.want("one reported as removed, a new one with its start time", "b:1 c:2 d:3@7")
	h.report(0, "9", "b:1 c:2 d:3@7 e:4")
	h.want("a new one without its start time", fmt.Sprintf("b:1 c:2 d:3@7 e:4@%d", h.now/sec))
}

// Of two candidates for a shard the one that started later is elected, in whatever order they are reported. The other
// one drains.
func TestLaterStartedNodeReplacesOlder(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own")
	h.report(0, "1", "old:0 b:1")
	h.report(0, "2", "old:0 b:1 next:0@900")
	h.want("both are ready", "b:1 next:0@900 old:0/draining")
	h.report(0, "3", "b:1 next:0@900")
	h.want("the old one is removed", "b:1 next:0@900")
	h.report(0, "4", "b:1")
	h.report(0, "5", "b:1 next:0@900")
	h.want("its start time never decreases", "b:1 next:0@900")
}

// Of two candidates with the same start time the one in use is kept until it drains.
func TestNodeInUseStaysAmongEqualCandidates(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own", "other")
	h.report(0, "1", "b:0@5")
	h.report(1, "1", "a:0@5 c:1")
	h.want("the one in use stays", "b:0@5 c:1")
	if h.state("a") != Standby {
		t.Errorf("node a is %v, want Standby", h.state("a"))
	}
	h.report(0, "2", "b:0/draining@5")
	h.want("draining ends its use", "a:0@5 b:0/draining@5 c:1")
	h.report(0, "3", "b:0@5!0")
	h.report(1, "2", "a:0@5!1 c:1")
	h.want("priority decides first", "a:0/draining@5 b:0@5 c:1")
}

// If two sources list an address, the first one overrides the second, even if it reports a removal. Once the first no
// longer lists it, the second counts.
func TestFirstSourceOverridesSecond(t *testing.T) {
	h := newHarness(t, DefaultSettings, "hand", "plane")
	h.report(1, "1", "a:0 b:1 c:2")
	h.report(0, "1", "a:0/draining b:1/gone")
	h.want("overridden", "a:0/draining c:2")
	h.report(0, "2", "")
	h.want("no longer overridden", "a:0 b:1 c:2")
}

// A flapping node is used again immediately up to MaxFlaps times, and from then on only after DampingTime. A change to
// unhealthy always takes effect immediately.
func TestFlappingNodeIsDamped(t *testing.T) {
	settings := DefaultSettings
	settings.MaxLossRatio = 1
	h := newHarness(t, settings, "own")
	h.report(0, "1", "a:0 b:1")
	for i := range settings.MaxFlaps {
		h.report(0, "u", "a:0/unwell b:1")
		h.want("unhealthy", "b:1")
		h.advance(sec)
		h.report(0, "w", "a:0 b:1")
		h.want(fmt.Sprint("ready ", i), "a:0 b:1")
		h.advance(sec)
	}
	h.report(0, "u", "a:0/unwell b:1")
	h.report(0, "w", "a:0 b:1")
	h.want("damped", "a:0/draining b:1")
	h.advance(settings.DampingTime - 1)
	h.want("still damped", "a:0/draining b:1")
	h.advance(1)
	h.want("used again", "a:0 b:1")
}

// An address that is listed for another shard is used for it once the removal grace is over, and counts as started at
// that time.
func TestReassignedAddressWaitsForGrace(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own")
	h.report(0, "1", "a:0@5 b:1 c:2")
	h.report(0, "2", "a:7@5 b:1 c:2")
	h.want("removed from its old shard", "b:1 c:2")
	h.advance(sec)
	h.report(0, "2", "a:7@5 b:1 c:2/draining")
	h.report(0, "2", "a:7@5 b:1 c:2")
	h.want("within the grace", "b:1 c:2")
	h.advance(sec)
	h.want("after the grace", fmt.Sprintf("a:7@%d b:1 c:2", h.now/sec))
	h.report(0, "3", "a:0@5 b:1 c:2")
	h.report(0, "4", "a:7@5 b:1 c:2")
	h.want("listed as before within the grace", fmt.Sprintf("a:7@%d b:1 c:2", h.now/sec))
}

// A removed node is forgotten after ForgetAfter, and then no Reconcile is due.
func TestRemovedNodeIsForgotten(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own")
	h.report(0, "1", "a:0 b:1 c:2")
	h.report(0, "2", "b:1 c:2")
	h.advance(DefaultSettings.ForgetAfter + 3*sec)
	if len(h.tracker.Members()) != 2 || h.update.NextAt != 0 {
		t.Errorf("got %d members, next Reconcile at %d; want 2, 0", len(h.tracker.Members()), h.update.NextAt)
	}
}
