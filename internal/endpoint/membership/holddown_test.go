package membership

import "testing"

// A loss of more than MaxLossRatio is held down. Nodes that are replaced or drained are not lost.
func TestMassLossIsHeldDown(t *testing.T) {
	for name, c := range map[string]struct {
		then func(w *world)
		want string
	}{
		"within hold-down": {
			func(w *world) { w.pass(9 * sec) },
			"a:0 b:1 c:2 d:3",
		},
		"hold-down time elapsed": {
			func(w *world) { w.pass(31 * sec) },
			"a:0",
		},
		"confirmed": {
			func(w *world) { w.tracker.Confirm(); w.reconcile() },
			"a:0",
		},
		"reported again": {
			func(w *world) { w.pass(11 * sec); w.report(0, "3", "a:0") },
			"a:0",
		},
		"reported again too early": {
			func(w *world) { w.pass(sec); w.report(0, "3", "a:0"); w.pass(10 * sec) },
			"a:0 b:1 c:2 d:3",
		},
		"nodes back": {
			func(w *world) { w.report(0, "3", "a:0 b:1 c:2 d:3"); w.pass(40 * sec) },
			"a:0 b:1 c:2 d:3",
		},
		"source disconnected": {
			func(w *world) { w.disconnect(0); w.pass(300 * sec) },
			"a:0 b:1 c:2 d:3",
		},
		"reported by another source": {
			func(w *world) { w.pass(11 * sec); w.report(1, "1", "x:9@1") },
			"a:0 b:1 c:2 d:3 x:9@1",
		},
		"replaced": {
			func(w *world) { w.report(0, "3", "a:0 p:1@1 q:2@1 r:3@1") },
			"a:0 p:1@1 q:2@1 r:3@1",
		},
		"drained": {
			func(w *world) { w.report(0, "3", "a:0 b:1/draining c:2/draining d:3/draining") },
			"a:0 b:1/draining c:2/draining d:3/draining",
		},
		"one back, hold-down time elapsed": {
			func(w *world) { w.report(0, "3", "a:0 b:1"); w.pass(31 * sec) },
			"a:0 b:1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, DefaultSettings, "own", "other")
			w.report(0, "1", "a:0 b:1 c:2 d:3")
			w.report(0, "2", "a:0")
			w.want("at once", "a:0 b:1 c:2 d:3")
			c.then(w)
			w.want(name, c.want)
		})
	}
}

// A loss of all nodes, removed or unhealthy, is held down until it is confirmed or reported again, however long that
// is.
func TestTotalLossNeverTimesOut(t *testing.T) {
	w := newWorld(t, DefaultSettings, "own", "other")
	w.report(0, "1", "a:0 b:1")
	w.report(0, "2", "")
	w.pass(1000 * sec)
	w.report(1, "1", "")
	w.want("empty list", "a:0 b:1")
	if _, count, all, held := w.tracker.HoldDown(); !held || !all || count != 2 {
		t.Errorf("held %v, all %v, %d nodes", held, all, count)
	}
	w.report(0, "3", "a:0/unwell b:1/unwell")
	w.want("reported again, as unhealthy", "")
	w.report(0, "4", "a:0 b:1")
	w.want("healthy again", "a:0 b:1")
	w.pass(20 * sec)
	w.report(0, "5", "a:0/unwell b:1/unwell")
	w.want("all unhealthy at once", "a:0 b:1")
	for range 10 {
		w.report(0, "5", "a:0 b:1")
		w.report(0, "5", "a:0/unwell b:1/unwell")
		w.want("flaps while held down do not count", "a:0 b:1")
	}
	w.report(0, "5", "a:0 b:1")
	w.want("nor do they afterwards", "a:0 b:1")
	w.report(0, "5", "a:0/unwell b:1/unwell")
	w.report(0, "6", "a:0/unwell b:1")
	w.want("one is healthy: the loss of the other is no mass loss any more", "a:0 b:1")
	w.tracker.Confirm()
	w.reconcile()
	w.want("confirmed", "b:1")
}

// Losses one by one within the hold-down time add up.
func TestLossesWithinHoldDownAddUp(t *testing.T) {
	w := newWorld(t, DefaultSettings, "own")
	w.report(0, "1", "a:0 b:1 c:2 d:3 e:4")
	w.report(0, "2", "b:1 c:2 d:3 e:4")
	w.pass(sec)
	w.report(0, "3", "c:2 d:3 e:4")
	w.want("two of five", "c:2 d:3 e:4")
	w.pass(sec)
	w.report(0, "4", "d:3 e:4")
	w.want("the third is held down", "c:2 d:3 e:4")
	w.pass(60 * sec)
	w.report(0, "5", "d:3")
	w.want("later losses count anew", "d:3")
}
