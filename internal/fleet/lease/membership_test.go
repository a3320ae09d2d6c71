package lease

import (
	"fmt"
	"testing"
)

// A gateway that others reach counts as present from its place in the log until its lease has run out, though it may act on a floor for
// longer; when it is back the set is another again, and whoever is told knows how often one has parted.
func TestMembershipFollowsLeases(t *testing.T) {
	l := NewStateMachine()
	l.Apply(&Command{Bootstrap: &testSettings})
	if _, err := l.Apply(&Command{Propose: &Proposal{ID: "a", Content: configPool[3]}}); err != nil { // with a floor of six leases
		t.Fatal(err)
	}
	l.Apply(&Command{Activate: 1})
	w := NewManager(0, 1, l, 0)
	seq := uint64(0)
	ask := func(now Time, who string, knows uint64) *RenewResponse {
		seq++
		return w.Renew(now, &RenewRequest{Holder: who, Seq: seq, Term: 1, PeerAddr: who + ":1", MembershipEpoch: knows})
	}
	log := func(now Time) (list []string) {
		for c := w.NextCommand(now); c != nil; c = w.NextCommand(now) {
			l.Apply(c)
			w.Applied(c)
			list = append(list, fmt.Sprint(c.Join, c.Remove, c.LeaseExpired))
		}
		return list
	}
	ask(1, "g1", 0)
	ask(1, "g2", 0)
	log(1)
	if g := ask(2, "g1", 0); g.Membership == nil || g.Membership.Epoch != 1 || fmt.Sprint(g.Membership.Members) != "[g1 g2]" || g.Membership.Departures != 0 {
		t.Fatalf("%+v", g.Membership)
	}
	ask(3, "g2", 1)
	for now := leaseDuration / 2; now < 3*leaseDuration; now += leaseDuration / 2 { // g2 is silent
		ask(now, "g1", 1)
		log(now)
	}
	if g := ask(3*leaseDuration, "g1", 1); g.Membership.Epoch != 2 || fmt.Sprint(g.Membership.Members) != "[g1]" || g.Membership.Departures != 1 || g.Membership.Age <= 0 || !l.Holders["g2"] {
		t.Errorf("%+v, holders %v", g.Membership, l.Holders)
	}
	if g := ask(3*leaseDuration, "g1", 2); g.Membership.Members != nil {
		t.Errorf("told again: %+v", g.Membership)
	}
	ask(3*leaseDuration+1, "g2", 1)
	log(3*leaseDuration + 1)
	if g := ask(3*leaseDuration+2, "g2", 1); g.Membership.Epoch != 3 || fmt.Sprint(g.Membership.Members) != "[g1 g2]" || g.Membership.Age > 1 || g.PeerAddrs["g2"] != "g2:1" {
		t.Errorf("%+v, %v", g.Membership, g.PeerAddrs)
	}
}
