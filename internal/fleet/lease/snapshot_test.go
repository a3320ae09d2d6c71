package lease

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/fleet/configversion"
)

// configOfNodes is rules of so many nodes with a limit.
func configOfNodes(nodes int, limit float64) []byte {
	r := &configversion.Config{RequiredFormat: 1, Shards: nodes + 1, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: limit}}, Dispatch: configversion.DispatchPolicy{MaxAttempts: 1},
		Nodes: map[string]configversion.Node{}}
	for i := range nodes {
		r.Nodes[fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)] = configversion.Node{Shard: i, Name: fmt.Sprint("node-", i), Zone: "a", StartedAt: int64(i) * 1e9}
	}
	return r.Canonical()
}

// Whatever is proposed, forgotten, saved and restored, coded or not: each keeper has of each version the bytes that were proposed, or nothing,
// and nothing only of what was forgotten.
func TestStateMachinesKeepProposedContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*StateMachine{NewStateMachine(), NewStateMachine(), NewStateMachine()}
		all, gone := map[uint64][]byte{}, map[uint64]bool{}
		put := func(c *Command, form int) (taken *configversion.Version) {
			e, err := c.EncodeEntry(form, ledgers[0])
			if err != nil {
				t.Fatal(err)
			}
			for i, l := range ledgers {
				read, err := DecodeEntry(e)
				if err != nil {
					t.Fatal(err)
				}
				v, err := l.Apply(read)
				if errors.Is(err, ErrInvalidEntry) || i > 0 && (v == nil) != (taken == nil) {
					t.Fatalf("keeper %d: %v, %v", i, v, err)
				}
				taken = v
			}
			return taken
		}
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			l := ledgers[0]
			form := max(l.Format, rapid.SampledFrom([]int{1, 2}).Draw(t, "form"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0: // a restart
				i := rapid.IntRange(0, 2).Draw(t, "keeper")
				back, err := Restore(ledgers[i].Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				ledgers[i] = back
			case 1:
				put(&Command{Activate: l.Announced}, form)
			case 2:
				c := &Command{}
				for _, v := range l.Versions {
					if v.Number != l.InForce && v.Number != l.Announced && rapid.Bool().Draw(t, "forget") {
						c.Forget, gone[v.Number] = append(c.Forget, v.Number), true
					}
				}
				if len(c.Forget) > 0 {
					put(c, 2)
				}
			default:
				content := configOfNodes(rapid.IntRange(0, 30).Draw(t, "nodes"), float64(n))
				parent := l.Announced - min(l.Announced, uint64(rapid.IntRange(0, 1).Draw(t, "late")))
				if v := put(&Command{Propose: &Proposal{ID: fmt.Sprint(n), Parent: parent, ReplacePending: true, Content: content}}, form); (v != nil) != (parent == l.Announced-1 && v != nil) {
					t.Fatalf("%v of parent %d", v, parent)
				} else if v != nil {
					all[v.Number] = content
				}
			}
		}
		for i, l := range ledgers {
			for n, content := range all {
				if v := l.Version(n); v == nil != gone[n] || v != nil && !bytes.Equal(v.Content, content) {
					t.Fatalf("keeper %d has version %d as %v, forgotten %t", i, n, v, gone[n])
				}
			}
		}
	})
}

// What is spoilt anywhere is refused in one line.
func TestRestoreRejectsCorruptSnapshots(t *testing.T) {
	l := NewStateMachine()
	for n := range 12 {
		c := &Command{Propose: &Proposal{ID: fmt.Sprint(n), Parent: uint64(n), ReplacePending: true, Content: configOfNodes(20, float64(n+1))}}
		e, err := c.EncodeEntry(2, l)
		if err != nil {
			t.Fatal(err)
		}
		read, _ := DecodeEntry(e)
		if _, err := l.Apply(read); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.forget([]uint64{3, 12}); err == nil || len(l.Versions) != 12 {
		t.Errorf("the announced version is forgotten: %v", err)
	}
	l.forget([]uint64{1, 2, 3, 5})
	good := l.Snapshot()
	if back, err := Restore(good); err != nil || !bytes.Equal(back.Snapshot(), good) || len(back.Versions) != 8 {
		t.Fatalf("%v", err)
	}
	for i := range good {
		for _, bad := range [][]byte{good[:i], slices.Concat(good[:i], []byte{good[i] ^ 1<<(i%8)}, good[i+1:])} {
			if _, err := Restore(bad); err == nil || strings.Contains(err.Error(), "\n") {
				t.Fatalf("at byte %d of %d: %v", i, len(good), err)
			}
		}
	}
	old := NewStateMachine()
	if _, err := old.Apply(&Command{Propose: &Proposal{ID: "a", Content: configOfNodes(1, 1)}}); err != nil {
		t.Fatal(err)
	}
	text := old.Snapshot()
	if back, err := Restore(text); err != nil || back.Version(1) == nil || text[0] != '{' {
		t.Errorf("of the form before: %v", err)
	}
	for _, bad := range []string{`{"versions":[null],"announced":1}`, `{"versions":[],"announced":1}`, `{"versions":[{"number":2}],"announced":1}`, `{"in_force":1}`, `{`, ""} {
		if _, err := Restore([]byte(bad)); err == nil {
			t.Errorf("%s is taken", bad)
		}
	}
}

// An entry that is spoilt ends the keeper, and changes nothing.
func TestCorruptEntriesChangeNothing(t *testing.T) {
	fresh := func() *StateMachine {
		l := NewStateMachine()
		l.Apply(&Command{Propose: &Proposal{ID: "a", Content: configOfNodes(50, 1)}})
		return l
	}
	l := fresh()
	e, err := (&Command{Propose: &Proposal{ID: "b", Parent: 1, ReplacePending: true, Content: configOfNodes(50, 2)}}).EncodeEntry(2, l)
	if err != nil || len(e) > 1000 {
		t.Fatalf("%d bytes: %v", len(e), err)
	}
	if _, err := (&Command{Forget: []uint64{1}}).EncodeEntry(1, l); err == nil {
		t.Error("an entry of form 1 tells what to forget")
	}
	whole := configOfNodes(50, 2)
	for i := range e {
		for _, bad := range [][]byte{e[:i], slices.Concat(e[:i], []byte{e[i] ^ 1<<(i%8)}, e[i+1:])} {
			c, err := DecodeEntry(bad)
			if err != nil || c.Propose == nil {
				continue // the keeper ends by it
			}
			l := fresh()
			if v, err := l.Apply(c); err == nil && !bytes.Equal(v.Content, whole) || err != nil && len(l.Versions) != 1 {
				t.Fatalf("at byte %d of %d: %v, %v", i, len(e), v, err)
			}
		}
	}
	other := NewStateMachine() // whose first version is another
	other.Apply(&Command{Propose: &Proposal{ID: "a", Content: configOfNodes(50, 3)}})
	c, _ := DecodeEntry(e)
	if _, err := other.Apply(c); !errors.Is(err, ErrInvalidEntry) {
		t.Errorf("against another base: %v", err)
	}
}

// A proposal that is asked for again is told its number as long as its ID is known, and is refused after that, as its parent is not the newest.
func TestRepeatedProposalsAreRecognised(t *testing.T) {
	l := NewStateMachine()
	ask := func(n int) (*configversion.Version, error) {
		c := &Command{Propose: &Proposal{ID: fmt.Sprint(n), Parent: uint64(n), ReplacePending: true, Content: configOfNodes(0, float64(n+1))}}
		e, err := c.EncodeEntry([]int{2, 1}[min(n%16, 1)], l)
		if err != nil {
			t.Fatal(err)
		}
		if c, err = DecodeEntry(e); err != nil {
			t.Fatal(err)
		}
		return l.Apply(c)
	}
	const all = RetainedProposalIDs + 100
	for n := range all {
		if _, err := ask(n); err != nil {
			t.Fatal(err)
		}
		l.forget([]uint64{l.Announced - 1})
	}
	if len(l.ProposalIDs) != RetainedProposalIDs || len(l.Versions) != 1 {
		t.Errorf("%d IDs and %d versions are kept", len(l.ProposalIDs), len(l.Versions))
	}
	oldest := slices.Min(slices.Collect(maps.Values(l.ProposalIDs)))
	for n := range all {
		v, err := ask(n)
		if known := uint64(n+1) >= oldest; known != (err == nil) || known && v.Number != uint64(n+1) || !known && !errors.Is(err, ErrStaleParent) {
			t.Fatalf("proposal %d: %v, %v", n, v, err)
		}
	}
	if _, err := ask(0); err == nil || !strings.Contains(err.Error(), "kept for 1024 versions") || l.Announced != all {
		t.Errorf("%v", err)
	}
	for _, p := range []*Proposal{{Content: make([]byte, configversion.MaxContentBytes+1)}, {Reason: strings.Repeat("w", 3000)}, {ID: strings.Repeat("w", 129)}} {
		if err := p.Validate(); err == nil {
			t.Error("a proposal that is too large is taken")
		}
	}
}

// A gateway that is on its floor for an hour has its version kept, whoever leads, while a thousand others come and go; then it goes, too.
func TestVersionOfALongFallbackIsKept(t *testing.T) {
	l, now, seq := NewStateMachine(), Time(0), uint64(0)
	l.Apply(&Command{Bootstrap: &testSettings})
	l.Apply(&Command{Join: []string{"far", "near"}})
	r, _ := configversion.Parse(configOfNodes(0, 1))
	r.FallbackPolicy = configversion.FallbackPolicy{Duration: 3600 * 1e9, LimitFraction: 1}
	w := NewManager(now, 1, l, 0)
	step := func(content []byte) {
		if _, err := l.Apply(&Command{Propose: &Proposal{ID: fmt.Sprint(now), Parent: l.Announced, ReplacePending: true, Content: content}}); err != nil {
			t.Fatal(err)
		}
		for _, who := range []string{"near", "far"} {
			if seq++; who == "near" || now < 3*leaseDuration {
				w.Renew(now, &RenewRequest{Holder: who, Seq: seq, Term: w.term, AcceptedSeq: seq, HeldVersions: []uint64{l.Announced}})
			}
		}
		w.AllowForget(true)
		for c := w.NextCommand(now); c != nil; c = w.NextCommand(now) {
			l.Apply(c)
			w.Applied(c)
		}
		now += 4 * leaseDuration
	}
	step(r.Canonical())
	held := l.Announced
	most := 0
	for n := range 1400 {
		step(configOfNodes(0, float64(n+2)))
		if most = max(most, len(l.Versions)); n == 100 {
			w = NewManager(now, 2, l, 0)
		}
		if l.Version(held) == nil && now < 3600*leaseDuration {
			t.Fatalf("forgotten after %d s", now/1e9)
		}
	}
	if l.Version(held) != nil || len(l.Holders) != 1 {
		t.Errorf("after %d s it is still there, holders %v", now/1e9, l.Holders)
	}
	if len(l.Versions) > RetainedBaseVersions+forgetBatch+2 {
		t.Errorf("%d versions at the end, %d at most", len(l.Versions), most)
	}
}
