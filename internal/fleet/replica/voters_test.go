package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/loopback"
)

// A keeper whose folder is lost is replaced by one with another number, while versions are proposed; with one more lost, the two that are
// left, of which one has come later, go on, also after they have all started again.
func TestKeeperIsReplaced(t *testing.T) {
	h := newHome(t)
	h.must(1, 2, 3)
	c := h.client()
	propose := func(n int) {
		t.Helper()
		if _, err := c.Propose(&lease.Proposal{ID: fmt.Sprint(n), Parent: uint64(n - 1), ReplacePending: true, Content: some(float64(n))}); err != nil {
			t.Fatal(err)
		}
	}
	for n := 1; n <= 30; n++ { // past a compaction
		propose(n)
	}
	h.stop(2)
	l, err := net.Listen("tcp", loopback.Own()+":0")
	if err != nil {
		t.Fatal(err)
	}
	h.peers[4] = l.Addr().String()
	l.Close()
	c.Replicas = append(c.Replicas, h.peers[4])
	h.joins = 4
	h.must(4)
	for _, v := range []*MembershipChange{{Remove: []uint64{7}}, {Add: map[uint64]string{2: "a:1"}}, {}, {Add: map[uint64]string{5: ""}}} {
		var refused *RejectedError
		if err := c.ChangeMembership(v); !errors.As(err, &refused) {
			t.Errorf("%+v: %v", v, err)
		}
	}
	for range 2 { // who does not hear the answer asks again
		if err := c.ChangeMembership(&MembershipChange{Add: map[uint64]string{4: h.peers[4]}, Remove: []uint64{2}}); err != nil {
			t.Fatal(err)
		}
	}
	propose(31)
	if s, err := c.Status(); err != nil || fmt.Sprint(s.Voters) != "[1 3 4]" {
		t.Fatalf("%+v, %v", s.Voters, err)
	}
	h.stop(1)
	propose(32)
	h.stop(3, 4)
	h.joins = 4
	delete(h.peers, 2) // what keepers are told at their start is what there is now
	h.must(3, 4)
	propose(33)
	if list, err := c.Versions(1); err != nil || len(list) != 33 {
		t.Errorf("%d versions, %v", len(list), err)
	}
}

// Who waits for news is left waiting while there is none, and hears of a version at once; a keeper that does not lead says so.
func TestNewsIsWaitedFor(t *testing.T) {
	h := newHome(t)
	h.must(1, 2, 3)
	c := h.client()
	if _, err := c.Propose(&lease.Proposal{ID: "a", Content: some(1)}); err != nil {
		t.Fatal(err)
	}
	var s Status
	for s.InForce != 1 {
		var err error
		if s, err = c.Status(); err != nil {
			t.Fatal(err)
		}
	}
	ask := func(keeper uint64, hold time.Duration, term, version uint64) (news bool, err error) {
		err = c.Call(context.Background(), h.peers[keeper], http.MethodGet, fmt.Sprintf("/news?term=%d&in_force=%d&announced=%d&hold_ms=%d", term, version, version,
			hold.Milliseconds()), nil, &news)
		return news, err
	}
	if news, err := ask(s.Leader, time.Millisecond, s.Term, 1); news || err != nil {
		t.Errorf("where there is none: %t, %v", news, err)
	}
	if news, err := ask(s.Leader, time.Hour, s.Term, 0); !news || err != nil {
		t.Errorf("of a version that is not known: %t, %v", news, err)
	}
	if _, err := ask(s.Leader%3+1, time.Hour, s.Term, 1); err == nil || !strings.Contains(err.Error(), "does not lead") {
		t.Errorf("at one that does not lead: %v", err)
	}
	r, err := http.Get("http://" + h.peers[s.Leader] + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if b, err := io.ReadAll(r.Body); err != nil || !strings.Contains(string(b), "irispost_keeper_leads 1") || !strings.Contains(string(b), `irispost_keeper_version{which="in_force"} 1`) {
		t.Errorf("%v: %s", err, b)
	}
	heard := make(chan error, 1)
	go func() {
		news, err := ask(s.Leader, longestHold, s.Term, 1)
		if err == nil && !news {
			err = errors.New("it was left waiting")
		}
		heard <- err
	}()
	time.Sleep(50 * time.Millisecond)
	if _, err := c.Propose(&lease.Proposal{ID: "b", Parent: 1, Content: some(2)}); err != nil {
		t.Fatal(err)
	}
	if err := <-heard; err != nil {
		t.Error(err)
	}
}
