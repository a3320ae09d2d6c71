package lease

import "testing"

// Two asks that come out of order are granted the same. A gateway that says that it took the first grant may take the second one yet, so what
// that names is not forgotten.
func TestForgetKeepsVersionsOfReorderedRequests(t *testing.T) {
	for _, order := range [][]uint64{{1, 2}, {2, 1}} {
		l := NewStateMachine()
		for i, c := range []*Command{{Bootstrap: &testSettings}, {Propose: &Proposal{ID: "a", Content: configPool[0]}}, {Activate: 1}, {Join: []string{"g"}},
			{Propose: &Proposal{ID: "b", Parent: 1, Content: configPool[1]}}} {
			if _, err := l.Apply(c); err != nil {
				t.Fatal(i, err)
			}
		}
		w := NewManager(0, 1, l, 0)
		w.retention = retention{enabled: true, batchSize: 1}
		for _, seq := range order {
			w.Renew(1, &RenewRequest{Holder: "g", Seq: seq, Term: 1})
		}
		if _, err := l.Apply(&Command{Propose: &Proposal{ID: "c", Parent: 2, ReplacePending: true, Content: configPool[2]}}); err != nil {
			t.Fatal(err)
		}
		w.Renew(2, &RenewRequest{Holder: "g", Seq: 3, Term: 1, AcceptedSeq: 1, HeldVersions: []uint64{1}})
		if list := w.forgettable(3); list != nil {
			t.Errorf("asks %v: %v is to be forgotten, and the second grant names 2", order, list)
		}
		w.Renew(leaseDuration, &RenewRequest{Holder: "g", Seq: 4, Term: 1, AcceptedSeq: 3, HeldVersions: []uint64{1, 3}})
		if list := w.forgettable(2 * leaseDuration); len(list) != 1 || list[0] != 2 {
			t.Errorf("asks %v: %v is to be forgotten, and nobody can take 2 any more", order, list)
		}
	}
}
