package membership

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// checkGolden fails the test if got differs from testdata/name.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}

// shown is what the admin socket shows of a fleet, in a form of the test's own; texts for people only as far as there are any.
func (w *world) shown(name string) map[string]any {
	sources, nodes := []map[string]any{}, []map[string]any{}
	for _, s := range w.f.Sources() {
		sources = append(sources, map[string]any{"name": s.Name, "state": s.State.String(), "since": s.Since, "trouble": s.LinkError,
			"version": s.Version(), "heard": s.UpdatedAt(), "nodes": s.NodeCount(), "held": s.HeldVersion(), "refused": s.Rejections, "refusal": s.RejectReason,
			"refused_at": s.RejectedAt})
	}
	for _, m := range w.f.Members() {
		nodes = append(nodes, map[string]any{"addr": m.Addr, "name": m.Reported().Name, "shard": m.Shard(), "zone": m.Reported().Zone,
			"state": m.State.String(), "since": m.Since, "why": m.Reason != "", "source": m.Source.Name, "weight": m.Reported().Weight})
	}
	since, count, all, held := w.f.HoldDown()
	return map[string]any{"case": name, "sources": sources, "nodes": nodes,
		"held": map[string]any{"is": held, "since": since, "nodes": count, "all": all}}
}

// What the admin socket shows of nodes and sources in each of their states.
func TestGoldenStates(t *testing.T) {
	w := newWorld(DefaultSettings, "hand", "plane")
	w.t = t
	var all []map[string]any
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"starting", func() { w.f.Sources()[0].State = Starting }},
		{"serving, draining, unwell, waiting", func() { w.say(1, "1", "a:0 b:1/draining c:2/unwell d:3 e:3@1 f:4 g:5") }},
		{"refused", func() { w.f.Sources()[1].Reject(w.now, "it is wrong") }},
		{"leaving", func() { w.pass(sec); w.say(1, "2", "a:0 b:1/draining c:2/unwell e:3@1 f:4 g:5") }},
		{"absent", func() { w.pass(3 * sec) }},
		{"kept", func() { w.say(1, "3", "a:0") }},
		{"cut", func() { w.f.Sources()[1].LinkDown(w.now, "the stream broke"); w.decide() }},
		{"silent", func() { w.pass(61 * sec) }},
		{"an old list held", func() { w.f.Sources()[1].LinkUp(w.now); w.say(1, "1", "a:0 b:1/draining c:2/unwell d:3 e:3@1 f:4 g:5") }},
		{"confirmed", func() { w.f.Confirm(); w.decide() }},
		{"resting", func() {
			for range 7 {
				w.say(1, "8", "a:0/unwell e:3 f:4 g:5")
				w.say(1, "9", "a:0 e:3 f:4 g:5")
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
	checkGolden(t, "states.json", append(got, '\n'))
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
