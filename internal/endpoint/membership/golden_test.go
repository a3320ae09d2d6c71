package membership

import (
	"bytes"
	"encoding/json"
	"testing"

	"irispost/internal/testkit/golden"
)

// adminView returns the state of a tracker that the admin socket shows, under the keys of the golden file.
func (h *harness) adminView(name string) map[string]any {
	sources, nodes := []map[string]any{}, []map[string]any{}
	for _, s := range h.tracker.Sources() {
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
	for _, m := range h.tracker.Members() {
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
	since, count, all, is := h.tracker.HoldDown()
	holdDown := map[string]any{"is": is, "since": since, "nodes": count, "all": all}
	return map[string]any{"case": name, "sources": sources, "nodes": nodes, "held": holdDown}
}

// The names, reasons and versions that the admin socket shows for nodes and sources stay as they are, in each state.
func TestGoldenStates(t *testing.T) {
	h := newHarness(t, DefaultSettings, "hand", "plane")
	var all []map[string]any
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"starting", func() { h.tracker.Sources()[0].State = Starting }},
		{"serving, draining, unwell, waiting", func() { h.report(1, "1", "a:0 b:1/draining c:2/unwell d:3 e:3@1 f:4 g:5") }},
		{"refused", func() { h.tracker.Sources()[1].Reject(h.now, "it is wrong") }},
		{"leaving", func() { h.advance(sec); h.report(1, "2", "a:0 b:1/draining c:2/unwell e:3@1 f:4 g:5") }},
		{"absent", func() { h.advance(3 * sec) }},
		{"kept", func() { h.report(1, "3", "a:0") }},
		{"cut", func() {
			h.tracker.Sources()[1].LinkDown(h.now, "the stream broke")
			h.reconcile()
		}},
		{"silent", func() { h.advance(61 * sec) }},
		{"an old list held", func() {
			h.tracker.Sources()[1].LinkUp(h.now)
			h.report(1, "1", "a:0 b:1/draining c:2/unwell d:3 e:3@1 f:4 g:5")
		}},
		{"confirmed", func() { h.tracker.Confirm(); h.reconcile() }},
		{"resting", func() {
			for range 7 {
				h.report(1, "8", "a:0/unwell e:3 f:4 g:5")
				h.report(1, "9", "a:0 e:3 f:4 g:5")
			}
		}},
	} {
		step.do()
		all = append(all, h.adminView(step.name))
	}
	got, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "states.json", append(got, '\n'))
	for s := Absent; s <= Damped; s++ {
		if !bytes.Contains(got, []byte(`"state": "`+s.String()+`"`)) {
			t.Errorf("no node is shown as %v", s)
		}
	}
	for s := Starting; s <= Stale; s++ {
		if !bytes.Contains(got, []byte(`"state": "`+s.String()+`"`)) {
			t.Errorf("no source is shown as %v", s)
		}
	}
}
