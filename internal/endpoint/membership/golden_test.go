package membership

import (
	"bytes"
	"encoding/json"
	"testing"

	"irispost/internal/testkit/golden"
)

// shown is what the admin socket shows of a tracker, under names of the test's own.
func (w *world) shown(name string) map[string]any {
	sources, nodes := []map[string]any{}, []map[string]any{}
	for _, s := range w.tracker.Sources() {
		sources = append(sources, map[string]any{
			"name":       s.Name,
			"state":      s.State.String(),
			"since":      s.Since,
			"trouble":    s.LinkError,
			"version":    s.Version(),
			"heard":      s.UpdatedAt(),
			"nodes":      s.NodeCount(),
			"held":       s.HeldVersion(),
			"refused":    s.Rejections,
			"refusal":    s.RejectReason,
			"refused_at": s.RejectedAt,
		})
	}
	for _, m := range w.tracker.Members() {
		nodes = append(nodes, map[string]any{
			"addr":   m.Addr,
			"name":   m.Reported().Name,
			"shard":  m.Shard(),
			"zone":   m.Reported().Zone,
			"state":  m.State.String(),
			"since":  m.Since,
			"why":    m.Reason,
			"source": m.Source.Name,
			"weight": m.Reported().Weight,
		})
	}
	since, count, all, is := w.tracker.HoldDown()
	holdDown := map[string]any{"is": is, "since": since, "nodes": count, "all": all}
	return map[string]any{"case": name, "sources": sources, "nodes": nodes, "held": holdDown}
}

// What the admin socket shows of nodes and sources in each of their states.
func TestGoldenStates(t *testing.T) {
	w := newWorld(t, DefaultSettings, "hand", "plane")
	var all []map[string]any
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"starting", func() { w.tracker.Sources()[0].State = Starting }},
		{"serving, draining, unwell, waiting", func() { w.report(1, "1", "a:0 b:1/draining c:2/unwell d:3 e:3@1 f:4 g:5") }},
		{"refused", func() { w.tracker.Sources()[1].Reject(w.now, "it is wrong") }},
		{"leaving", func() { w.pass(sec); w.report(1, "2", "a:0 b:1/draining c:2/unwell e:3@1 f:4 g:5") }},
		{"absent", func() { w.pass(3 * sec) }},
		{"kept", func() { w.report(1, "3", "a:0") }},
		{"cut", func() {
			w.tracker.Sources()[1].LinkDown(w.now, "the stream broke")
			w.reconcile()
		}},
		{"silent", func() { w.pass(61 * sec) }},
		{"an old list held", func() {
			w.tracker.Sources()[1].LinkUp(w.now)
			w.report(1, "1", "a:0 b:1/draining c:2/unwell d:3 e:3@1 f:4 g:5")
		}},
		{"confirmed", func() { w.tracker.Confirm(); w.reconcile() }},
		{"resting", func() {
			for range 7 {
				w.report(1, "8", "a:0/unwell e:3 f:4 g:5")
				w.report(1, "9", "a:0 e:3 f:4 g:5")
			}
		}},
	} {
		step.do()
		all = append(all, w.shown(step.name))
	}
	got, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "states.json", append(got, '\n'))
	for s := Absent; s <= Damped; s++ {
		if !bytes.Contains(got, []byte(`"state": "`+s.String()+`"`)) {
			t.Errorf("no node is shown %v", s)
		}
	}
	for s := Starting; s <= Stale; s++ {
		if !bytes.Contains(got, []byte(`"state": "`+s.String()+`"`)) {
			t.Errorf("no source is shown %v", s)
		}
	}
}
