package accord

import (
	"fmt"
	"testing"
)

// A gateway that others reach counts as present from its place in the log until its lease has run out, though it may act on a floor for
// longer; when it is back the set is another again, and whoever is told knows how often one has parted.
func TestWhoIsPresent(t *testing.T) {
	l := NewLedger()
	l.Apply(&Command{Found: &testTerms})
	if _, err := l.Apply(&Command{Propose: &Proposal{ID: "a", Rules: pool[3]}}); err != nil { // with a floor of six leases
		t.Fatal(err)
	}
	l.Apply(&Command{Force: 1})
	w := Lead(0, 1, l, 0)
	seq := uint64(0)
	ask := func(now Time, who string, knows uint64) *Grant {
		seq++
		return w.Renew(now, &Ask{Who: who, Seq: seq, Term: 1, Peer: who + ":1", Set: knows})
	}
	log := func(now Time) (list []string) {
		for c := w.Decide(now); c != nil; c = w.Decide(now) {
			l.Apply(c)
			w.Applied(c)
			list = append(list, fmt.Sprint(c.Join, c.Part, c.Away))
		}
		return list
	}
	ask(1, "g1", 0)
	ask(1, "g2", 0)
	log(1)
	if g := ask(2, "g1", 0); g.Set == nil || g.Set.Number != 1 || fmt.Sprint(g.Set.Members) != "[g1 g2]" || g.Set.Parts != 0 {
		t.Fatalf("%+v", g.Set)
	}
	ask(3, "g2", 1)
	for now := lease / 2; now < 3*lease; now += lease / 2 { // g2 is silent
		ask(now, "g1", 1)
		log(now)
	}
	if g := ask(3*lease, "g1", 1); g.Set.Number != 2 || fmt.Sprint(g.Set.Members) != "[g1]" || g.Set.Parts != 1 || g.Set.Age <= 0 || !l.Holders["g2"] {
		t.Errorf("%+v, holders %v", g.Set, l.Holders)
	}
	if g := ask(3*lease, "g1", 2); g.Set.Members != nil {
		t.Errorf("told again: %+v", g.Set)
	}
	ask(3*lease+1, "g2", 1)
	log(3*lease + 1)
	if g := ask(3*lease+2, "g2", 1); g.Set.Number != 3 || fmt.Sprint(g.Set.Members) != "[g1 g2]" || g.Set.Age > 1 || g.Peers["g2"] != "g2:1" {
		t.Errorf("%+v, %v", g.Set, g.Peers)
	}
}
