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

// A version over the largest size is rejected in one line, and the group goes on. What counts is the canonical form.
func TestProposalOverLargestSizeIsRejected(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, 2, 3)
	client := c.client()
	client.Timeout = 4 * time.Minute
	_, err := client.Propose(&lease.Proposal{ID: "a", Content: make([]byte, configversion.MaxContentBytes+1)})
	var rejected *RejectedError
	const text = "the rules are 16777217 bytes, and a version has 16777216 at most"
	if !errors.As(err, &rejected) || rejected.Message != text {
		t.Errorf("%v", err)
	}
	short := []byte(`{"needs":1,"shards":1,"plans":{"p":{"weight":1}},"sending":{"most":1},"nodes":{"a":{}}}`)
	size := canonicalSize(short)
	configuration, err := configversion.Parse(short)
	if err != nil || size != len(configuration.Canonical()) || size <= len(short) {
		t.Errorf("%d bytes of %d, %v", size, len(short), err)
	}
	propose(t, client, 1, rateLimitConfig(1))
}

// After a proposal that is too large the group goes on within the usual time, and states its entry format in answers.
func TestGroupGoesOnAfterTooLargeProposal(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, 2, 3)
	client := c.client()
	_, err := client.Propose(&lease.Proposal{ID: "a", Content: make([]byte, configversion.MaxContentBytes+1)})
	if err == nil || !strings.Contains(err.Error(), "16777217 bytes") {
		t.Errorf("%v", err)
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
		t.Errorf("entry format %q", format)
	}
}
