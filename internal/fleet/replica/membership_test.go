package replica

import (
	"errors"
	"fmt"
	"testing"

	"irispost/internal/testkit/testaddr"
)

// A replica that has lost its folder is replaced by one with another ID between proposals. After one more is lost, the
// remaining two, one of which has joined, accept versions, also after both have restarted.
func TestLostReplicaIsReplacedUnderNewID(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, 2, 3)
	client := c.client()
	for n := uint64(1); n <= 30; n++ { // past a compaction
		propose(t, client, n, rateLimitConfig(float64(n)))
	}
	c.stop(2)
	c.peers[4] = testaddr.Reserve(t)
	client.Replicas = append(client.Replicas, c.peers[4])
	c.joining = 4
	c.start(4)
	for _, change := range []*MembershipChange{
		{Remove: []uint64{7}},
		{Add: map[uint64]string{2: "a:1"}},
		{},
		{Add: map[uint64]string{5: ""}},
	} {
		var rejected *RejectedError
		if err := client.ChangeMembership(change); !errors.As(err, &rejected) {
			t.Errorf("change %+v: got error %v, want a RejectedError", change, err)
		}
	}
	replacement := &MembershipChange{Add: map[uint64]string{4: c.peers[4]}, Remove: []uint64{2}}
	for range 2 { // a client that misses the response sends it again
		if err := client.ChangeMembership(replacement); err != nil {
			t.Fatal(err)
		}
	}
	propose(t, client, 31, rateLimitConfig(31))
	if status, err := client.Status(); err != nil || fmt.Sprint(status.Voters) != "[1 3 4]" {
		t.Fatalf("got voters %+v, want [1 3 4]; error %v", status.Voters, err)
	}
	c.stop(1)
	propose(t, client, 32, rateLimitConfig(32))
	c.stop(3, 4)
	c.joining = 4
	delete(c.peers, 2) // the options list the present replicas
	c.start(3, 4)
	propose(t, client, 33, rateLimitConfig(33))
	if list, err := client.Versions(1); err != nil || len(list) != 33 {
		t.Errorf("%d versions are listed, want 33; error %v", len(list), err)
	}
}

// A change is rejected if the voters or the IDs used so far do not allow it, and recognised if it has been applied
// already.
func TestMembershipChangeIsValidatedAndRecognised(t *testing.T) {
	voters := []uint64{1, 2, 4}
	used := map[uint64]string{1: "a:1", 2: "b:1", 3: "c:1", 4: "d:1"}
	add := func(ids ...uint64) map[uint64]string {
		added := map[uint64]string{}
		for _, id := range ids {
			added[id] = fmt.Sprintf("new-%d:1", id)
		}
		return added
	}
	addedBefore := map[uint64]string{4: "d:1"}
	for name, test := range map[string]struct {
		change         MembershipChange
		valid, applied bool
	}{
		"one more":                 {MembershipChange{Add: add(5)}, true, false},
		"one less":                 {MembershipChange{Remove: []uint64{2}}, true, false},
		"replaced":                 {MembershipChange{Add: add(5), Remove: []uint64{2}}, true, false},
		"to seven":                 {MembershipChange{Add: add(5, 6, 7, 8)}, true, false},
		"to eight":                 {MembershipChange{Add: add(5, 6, 7, 8, 9)}, false, false},
		"to none":                  {MembershipChange{Remove: []uint64{1, 2, 4}}, false, false},
		"nothing":                  {MembershipChange{}, false, false},
		"ID zero":                  {MembershipChange{Add: add(0)}, false, false},
		"ID used before":           {MembershipChange{Add: add(3)}, false, false},
		"added already":            {MembershipChange{Add: addedBefore}, false, true},
		"added under another":      {MembershipChange{Add: map[uint64]string{4: "e:1"}}, false, false},
		"removed already":          {MembershipChange{Remove: []uint64{3}}, false, true},
		"replaced already":         {MembershipChange{Add: addedBefore, Remove: []uint64{3}}, false, true},
		"never was":                {MembershipChange{Remove: []uint64{9}}, false, false},
		"removed, and one to come": {MembershipChange{Add: add(5), Remove: []uint64{3}}, false, false},
	} {
		err := test.change.validate(voters, used)
		if (err == nil) != test.valid || err != nil && !errors.Is(err, ErrMembershipChange) {
			t.Errorf("%s: validate gives %v, want nil for a valid change and ErrMembershipChange for another", name, err)
		}
		if applied := test.change.applied(voters, used); applied != test.applied {
			t.Errorf("%s: applied is %t, want the opposite", name, applied)
		}
	}
}
