package membership

import "testing"

// A loss of more than MaxLossRatio of the shards is held down. Replaced and draining nodes do not count as lost.
func TestMassLossIsHeldDown(t *testing.T) {
	for name, c := range map[string]struct {
		then func(h *harness)
		want string
	}{
		"within hold-down": {
			func(h *harness) { h.advance(9 * sec) },
			"a:0 b:1 c:2 d:3",
		},
		"hold-down time elapsed": {
			func(h *harness) { h.advance(31 * sec) },
			"a:0",
		},
		"confirmed": {
			func(h *harness) { h.tracker.Confirm(); h.reconcile() },
			"a:0",
		},
		"reported again": {
			func(h *harness) { h.advance(11 * sec); h.report(0, "3", "a:0") },
			"a:0",
		},
		"reported again too early": {
			func(h *harness) { h.advance(sec); h.report(0, "3", "a:0"); h.advance(10 * sec) },
			"a:0 b:1 c:2 d:3",
		},
		"nodes back": {
			func(h *harness) { h.report(0, "3", "a:0 b:1 c:2 d:3"); h.advance(40 * sec) },
			"a:0 b:1 c:2 d:3",
		},
		"source disconnected": {
			func(h *harness) { h.disconnect(0); h.advance(300 * sec) },
			"a:0 b:1 c:2 d:3",
		},
		"reported by another source": {
			func(h *harness) { h.advance(11 * sec); h.report(1, "1", "x:9@1") },
			"a:0 b:1 c:2 d:3 x:9@1",
		},
		"replaced": {
			func(h *harness) { h.report(0, "3", "a:0 p:1@1 q:2@1 r:3@1") },
			"a:0 p:1@1 q:2@1 r:3@1",
		},
		"drained": {
			func(h *harness) { h.report(0, "3", "a:0 b:1/draining c:2/draining d:3/draining") },
			"a:0 b:1/draining c:2/draining d:3/draining",
		},
		"one back, hold-down time elapsed": {
			func(h *harness) { h.report(0, "3", "a:0 b:1"); h.advance(31 * sec) },
			"a:0 b:1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, DefaultSettings, "own", "other")
			h.report(0, "1", "a:0 b:1 c:2 d:3")
			h.report(0, "2", "a:0")
			h.want("at once", "a:0 b:1 c:2 d:3")
			c.then(h)
			h.want(name, c.want)
		})
	}
}

// A loss of all nodes, whether removed or unhealthy, is held down until it is confirmed or reported again. It never
// times out.
func TestTotalLossNeverTimesOut(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own", "other")
	h.report(0, "1", "a:0 b:1")
	h.report(0, "2", "")
	h.advance(1000 * sec)
	h.report(1, "1", "")
	h.want("empty list", "a:0 b:1")
	if _, count, all, held := h.tracker.HoldDown(); !held || !all || count != 2 {
		t.Errorf("HoldDown: got held %v, all %v, %d nodes; want true, true, 2", held, all, count)
	}
	h.report(0, "3", "a:0/unwell b:1/unwell")
	h.want("reported again, as unhealthy", "")
	h.report(0, "4", "a:0 b:1")
	h.want("healthy again", "a:0 b:1")
	h.advance(20 * sec)
	h.report(0, "5", "a:0/unwell b:1/unwell")
	h.want("all unhealthy at once", "a:0 b:1")
	for range 10 {
		h.report(0, "5", "a:0 b:1")
		h.report(0, "5", "a:0/unwell b:1/unwell")
		h.want("flaps while held down are not counted", "a:0 b:1")
	}
	h.report(0, "5", "a:0 b:1")
	h.want("flaps while held down do not count afterwards either", "a:0 b:1")
	h.report(0, "5", "a:0/unwell b:1/unwell")
	h.report(0, "6", "a:0/unwell b:1")
	h.want("one is healthy: the loss of the other is no mass loss any more", "a:0 b:1")
	h.tracker.Confirm()
	h.reconcile()
	h.want("confirmed", "b:1")
}

// Successive losses within the hold-down time are added up.
func TestLossesWithinHoldDownAddUp(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own")
	h.report(0, "1", "a:0 b:1 c:2 d:3 e:4")
	h.report(0, "2", "b:1 c:2 d:3 e:4")
	h.advance(sec)
	h.report(0, "3", "c:2 d:3 e:4")
	h.want("two of five", "c:2 d:3 e:4")
	h.advance(sec)
	h.report(0, "4", "d:3 e:4")
	h.want("the third is held down", "c:2 d:3 e:4")
	h.advance(60 * sec)
	h.report(0, "5", "d:3")
	h.want("later losses count anew", "d:3")
}
