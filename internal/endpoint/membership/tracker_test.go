package membership

import (
	"fmt"
	"testing"
)

// A node that is listed, drained, ready again, removed, and back within and after its grace.
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
		t.Errorf("a is %v", h.state("a"))
	}
	h.advance(sec)
	h.report(0, "5", "a:0 b:1 c:2")
	h.want("back within the grace, it keeps its start", "a:0 b:1 c:2")
	h.report(0, "6", "b:1 c:2")
	h.advance(3 * sec)
	if h.state("a") != Absent {
		t.Errorf("a is %v", h.state("a"))
	}
	h.report(0, "7", "a:0 b:1 c:2")
	h.want("back later, it counts as started now", fmt.Sprintf("a:0@%d b:1 c:2", h.now/sec))
	h.report(0, "8", "a:0/gone b:1 c:2 d:3@7")
	h.want("reported as removed; a new one with its start", "b:1 c:2 d:3@7")
	h.report(0, "9", "b:1 c:2 d:3@7 e:4")
	h.want("a new one without its start", fmt.Sprintf("b:1 c:2 d:3@7 e:4@%d", h.now/sec))
}

// Of two candidates for a shard the one that started later serves, in whatever order they are reported; the other
// drains.
func TestLaterStartedNodeReplacesOlder(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own")
	h.report(0, "1", "old:0 b:1")
	h.report(0, "2", "old:0 b:1 next:0@900")
	h.want("both are ready", "b:1 next:0@900 old:0/draining")
	h.report(0, "3", "b:1 next:0@900")
	h.want("the old one is removed", "b:1 next:0@900")
	h.report(0, "4", "b:1")
	h.report(0, "5", "b:1 next:0@900")
	h.want("its start never goes back", "b:1 next:0@900")
}

// Of two candidates with the same start the one in use stays until it drains.
func TestNodeInUseStaysAmongEqualCandidates(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own", "other")
	h.report(0, "1", "b:0@5")
	h.report(1, "1", "a:0@5 c:1")
	h.want("the one in use stays", "b:0@5 c:1")
	if h.state("a") != Standby {
		t.Errorf("a is %v", h.state("a"))
	}
	h.report(0, "2", "b:0/draining@5")
	h.want("a drain ends its use", "a:0@5 b:0/draining@5 c:1")
	h.report(0, "3", "b:0@5!0")
	h.report(1, "2", "a:0@5!1 c:1")
	h.want("priority decides first", "a:0/draining@5 b:0@5 c:1")
}

// Where two sources list an address the first counts, also where it reports a removal; without it, the second does.
func TestFirstSourceOverridesSecond(t *testing.T) {
	h := newHarness(t, DefaultSettings, "hand", "plane")
	h.report(1, "1", "a:0 b:1 c:2")
	h.report(0, "1", "a:0/draining b:1/gone")
	h.want("overridden", "a:0/draining c:2")
	h.report(0, "2", "")
	h.want("no longer overridden", "a:0 b:1 c:2")
}

// A node that flaps is used at once up to MaxFlaps times, then after DampingTime. Bad health always takes effect at
// once.
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

// An address listed for another shard is used for it once the removal grace is over, and counts as started then.
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

// A node is forgotten ForgetAfter its removal, and no call of Reconcile is due after that.
func TestRemovedNodeIsForgotten(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own")
	h.report(0, "1", "a:0 b:1 c:2")
	h.report(0, "2", "b:1 c:2")
	h.advance(DefaultSettings.ForgetAfter + 3*sec)
	if len(h.tracker.Members()) != 2 || h.update.NextAt != 0 {
		t.Errorf("%d members, next call at %d", len(h.tracker.Members()), h.update.NextAt)
	}
}
