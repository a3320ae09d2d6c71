package content

import (
	"errors"
	"testing"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// newFullReplica returns a replica that has all contents.
func newFullReplica() *fakeReplica {
	replica := newFakeReplica()
	for n, digest := range digests {
		replica.has[digest] = contents[n]
	}
	return replica
}

// TestDeltaIsRequestedFromVersionInForce checks that the base of a delta is the version in force, not one that is
// only announced.
func TestDeltaIsRequestedFromVersionInForce(t *testing.T) {
	replica, cache := newFullReplica(), NewCache(contents[0], 0)
	for _, c := range []struct {
		version  int
		retained []int
		base     int
	}{
		{version: 1, retained: []int{1}, base: 0},
		{version: 2, retained: []int{1, 2}, base: 1},
		{version: 3, retained: []int{1, 3}, base: 1},
		{version: 4, retained: []int{3, 4}, base: 3},
		{version: 6, retained: []int{6}, base: 3},
	} {
		var retained []string
		for _, n := range c.retained {
			retained = append(retained, digests[n])
		}
		cache.Retain(retained...)
		if request := mustFetch(t, cache, replica, digests[c.version]); request.Base != digests[c.base] {
			t.Errorf("version %d is requested with base %.8s, want %.8s", c.version, request.Base, digests[c.base])
		}
	}
}

// TestRejectedResponseIsFollowedByAnotherRequest checks that a rejected delta is followed by a request for the full
// content, a rejected full content by a request to the next replica, and the last replica by none.
func TestRejectedResponseIsFollowedByAnotherRequest(t *testing.T) {
	replica, cache := newFullReplica(), NewCache(contents[3], 0)
	cache.Retain(digests[6])
	mustFetch(t, cache, replica, digests[6])
	cache.Retain(digests[6], digests[7])
	bomb := mustEncode(contents[6], make([]byte, configversion.MaxContentBytes+1))
	fetch := cache.Fetch(digests[7], 2)
	for i, c := range []struct {
		base     string
		replica  int
		encoding string
		encoded  []byte
		want     error
	}{
		{digests[6], 0, EncodingDelta, bomb, delta.ErrTooLarge},
		{"", 0, EncodingZstd, bomb, delta.ErrWrongBase},
		{"", 1, "gzip", nil, ErrUnexpectedEncoding},
	} {
		request := fetch.NextRequest()
		if fetch.State() != StateInProgress || request.Base != c.base || request.Replica != c.replica {
			t.Fatalf("request %d is %+v in state %v, want one in progress with the expected base and replica",
				i, request, fetch.State())
		}
		if err := fetch.HandleResponse(request, c.encoding, c.encoded); !errors.Is(err, c.want) {
			t.Errorf("request %d: got error %v, want %v", i, err, c.want)
		}
	}
	if fetch.State() != StateFailed || cache.Content(digests[7]) != nil || cache.Content(digests[6]) == nil {
		t.Errorf("fetch is %v, cached are %v, want it failed, its base cached and its content not",
			fetch.State(), cache.Digests())
	}
}
