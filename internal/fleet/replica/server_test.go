package replica

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
)

// A version over the size limit is rejected with a one-line message, and the group accepts further versions. What
// counts is the size of the canonical form.
func TestProposalOverLargestSizeIsRejected(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, 2, 3)
	client := c.client()
	client.Timeout = 4 * time.Minute
	_, err := client.Propose(&lease.Proposal{ID: "a", Content: make([]byte, configversion.MaxContentBytes+1)})
	var rejected *RejectedError
	const text = "the configuration is 16777217 bytes, the limit is 16777216 bytes"
	if !errors.As(err, &rejected) || rejected.Message != text {
		t.Errorf("got error %v, want a rejection with the size and the limit", err)
	}
	short := []byte(`{"needs":1,"shards":1,"plans":{"p":{"weight":1}},"sending":{"most":1},"nodes":{"a":{}}}`)
	size := canonicalSize(short)
	configuration, err := configversion.Parse(short)
	if err != nil || size != len(configuration.Canonical()) || size <= len(short) {
		t.Errorf("canonical size of %d bytes for %d bytes, error %v; want the size of the canonical form, which is larger",
			size, len(short), err)
	}
	propose(t, client, 1, rateLimitConfig(1))
}

// After a proposal that is too large the group accepts the next one within the client's usual timeout, and its
// responses state the entry format.
func TestGroupGoesOnAfterTooLargeProposal(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, 2, 3)
	client := c.client()
	_, err := client.Propose(&lease.Proposal{ID: "a", Content: make([]byte, configversion.MaxContentBytes+1)})
	if err == nil || !strings.Contains(err.Error(), "16777217 bytes") {
		t.Errorf("got error %v, want one with the size", err)
	}
	if _, err := client.Propose(&lease.Proposal{ID: "b", Content: rateLimitConfig(1)}); err != nil {
		t.Error(err)
	}
	response, err := http.Get("http://" + c.peers[1] + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(response)
	if format := response.Header.Get(entryFormatHeader); format != "2" {
		t.Errorf("the response states entry format %q, want 2", format)
	}
}
