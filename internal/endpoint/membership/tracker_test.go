package membership

import (
	"fmt"
	"testing"
)

// A node that is listed, drained, ready again, removed, and back within and after its grace.
func TestNodeLifecycle(t *testing.T) {
	w := newWorld(t, DefaultSettings, "own")
	w.report(0, "1", "a:0 b:1 c:2")
	w.want("first", "a:0 b:1 c:2")
	w.report(0, "2", "a:0/draining b:1 c:2")
	w.want("drain", "a:0/draining b:1 c:2")
	w.report(0, "3", "a:0 b:1 c:2")
	w.want("drain undone", "a:0 b:1 c:2")
	w.report(0, "4", "b:1 c:2")
	w.want("removed", "b:1 c:2")
	if w.state("a") != Removing {
		t.Errorf("a is %v", w.state("a"))
	}
	w.pass(sec)
	w.report(0, "5", "a:0 b:1 c:2")
	w.want("back within the grace, it keeps its start", "a:0 b:1 c:2")
	w.report(0, "6", "b:1 c:2")
	w.pass(3 * sec)
	if w.state("a") != Absent {
		t.Errorf("a is %v", w.state("a"))
	}
	w.report(0, "7", "a:0 b:1 c:2")
	w.want("back later, it counts as started now", fmt.Sprintf("a:0@%d b:1 c:2", w.now/sec))
	w.report(0, "8", "a:0/gone b:1 c:2 d:3@7")
	w.want("reported as removed; a new one with its start", "b:1 c:2 d:3@7")
	w.report(0, "9", "b:1 c:2 d:3@7 e:4")
	w.want("a new one without its start", fmt.Sprintf("b:1 c:2 d:3@7 e:4@%d", w.now/sec))
}

// Of two candidates for a shard the one that started later serves, in whatever order they are reported; the other
// drains.
func TestLaterStartedNodeReplacesOlder(t *testing.T) {
	w := newWorld(t, DefaultSettings, "own")
	w.report(0, "1", "old:0 b:1")
	w.report(0, "2", "old:0 b:1 next:0@900")
	w.want("both are ready", "b:1 next:0@900 old:0/draining")
	w.report(0, "3", "b:1 next:0@900")
	w.want("the old one is removed", "b:1 next:0@900")
	w.report(0, "4", "b:1")
	w.report(0, "5", "b:1 next:0@900")
	w.want("its start never goes back", "b:1 next:0@900")
}

// Of two candidates with the same start the one in use stays until it drains.
func TestNodeInUseStaysAmongEqualCandidates(t *testing.T) {
	w := newWorld(t, DefaultSettings, "own", "other")
	w.report(0, "1", "b:0@5")
	w.report(1, "1", "a:0@5 c:1")
	w.want("the one in use stays", "b:0@5 c:1")
	if w.state("a") != Standby {
		t.Errorf("a is %v", w.state("a"))
	}
	w.report(0, "2", "b:0/draining@5")
	w.want("a drain ends its use", "a:0@5 b:0/draining@5 c:1")
	w.report(0, "3", "b:0@5!0")
	w.report(1, "2", "a:0@5!1 c:1")
	w.want("priority decides first", "a:0/draining@5 b:0@5 c:1")
}

// Where two sources list an address the first counts, also where it reports a removal; without it, the second does.
func TestFirstSourceOverridesSecond(t *testing.T) {
	w := newWorld(t, DefaultSettings, "hand", "plane")
	w.report(1, "1", "a:0 b:1 c:2")
	w.report(0, "1", "a:0/draining b:1/gone")
	w.want("overridden", "a:0/draining c:2")
	w.report(0, "2", "")
	w.want("no longer overridden", "a:0 b:1 c:2")
}

// A node that flaps is used at once up to MaxFlaps times, then after DampingTime. Bad health always takes effect at
// once.
func TestFlappingNodeIsDamped(t *testing.T) {
	settings := DefaultSettings
	settings.MaxLossRatio = 1
	w := newWorld(t, settings, "own")
	w.report(0, "1", "a:0 b:1")
	for i := range settings.MaxFlaps {
		w.report(0, "u", "a:0/unwell b:1")
		w.want("unhealthy", "b:1")
		w.pass(sec)
		w.report(0, "w", "a:0 b:1")
		w.want(fmt.Sprint("ready ", i), "a:0 b:1")
		w.pass(sec)
	}
	w.report(0, "u", "a:0/unwell b:1")
	w.report(0, "w", "a:0 b:1")
	w.want("damped", "a:0/draining b:1")
	w.pass(settings.DampingTime - 1)
	w.want("still damped", "a:0/draining b:1")
	w.pass(1)
	w.want("used again", "a:0 b:1")
}

// An address listed for another shard is used for it once the removal grace is over, and counts as started then.
func TestReassignedAddressWaitsForGrace(t *testing.T) {
	w := newWorld(t, DefaultSettings, "own")
	w.report(0, "1", "a:0@5 b:1 c:2")
	w.report(0, "2", "a:7@5 b:1 c:2")
	w.want("removed from its old shard", "b:1 c:2")
	w.pass(sec)
	w.report(0, "2", "a:7@5 b:1 c:2/draining")
	w.report(0, "2", "a:7@5 b:1 c:2")
	w.want("within the grace", "b:1 c:2")
	w.pass(sec)
	w.want("after the grace", fmt.Sprintf("a:7@%d b:1 c:2", w.now/sec))
	w.report(0, "3", "a:0@5 b:1 c:2")
	w.report(0, "4", "a:7@5 b:1 c:2")
	w.want("listed as before within the grace", fmt.Sprintf("a:7@%d b:1 c:2", w.now/sec))
}

// A node is forgotten ForgetAfter its removal, and no call of Reconcile is due after that.
func TestRemovedNodeIsForgotten(t *testing.T) {
	w := newWorld(t, DefaultSettings, "own")
	w.report(0, "1", "a:0 b:1 c:2")
	w.report(0, "2", "b:1 c:2")
	w.pass(DefaultSettings.ForgetAfter + 3*sec)
	if len(w.tracker.Members()) != 2 || w.update.NextAt != 0 {
		t.Errorf("%d members, next call at %d", len(w.tracker.Members()), w.update.NextAt)
	}
}
