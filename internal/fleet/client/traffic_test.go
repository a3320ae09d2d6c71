package client

import (
	"fmt"
	"os"
	"testing"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// TestBytesOfAChangeAreFarFewerThanTheList checks that a change of one node of 1,800 costs a gateway far fewer bytes
// than the list of nodes. IRISPOST_MEASURE=1 measures for longer, and also the traffic of an idle gateway.
func TestBytesOfAChangeAreFarFewerThanTheList(t *testing.T) {
	const nodes = 1800
	count, changes, rest := 8, 4, time.Duration(0)
	if os.Getenv("IRISPOST_MEASURE") == "1" {
		count, changes, rest = 50, 20, 30*time.Second
	}
	addrs, _ := startReplicaProcesses(t)
	replicas := &replica.Client{Replicas: addrs, Timeout: 30 * time.Second}
	propose := func(n int) {
		t.Helper()
		proposal := &lease.Proposal{ID: fmt.Sprint(n), Parent: uint64(n - 1), ReplacePending: true}
		proposal.Content = largeContent(nodes, n)
		if _, err := replicas.Propose(proposal); err != nil {
			t.Fatal(err)
		}
	}
	fullSize := len(largeContent(nodes, 1))
	perClient := func(n int64) float64 { return float64(n) / float64(count) }

	propose(1)
	group := startClients(t, count, addrs, nil)
	group.waitForVersion(1)
	t.Logf("%d clients, content of %d bytes: start takes %.0f bytes per client", count, fullSize, perClient(group.bytes.Load()))
	idleRate := 0.0
	if rest > 0 {
		time.Sleep(2 * time.Second)
		before := group.bytes.Load()
		time.Sleep(rest)
		idleRate = perClient(group.bytes.Load()-before) / rest.Seconds()
		t.Logf("idle: %.0f bytes/s per client", idleRate)
	}

	before, start := group.bytes.Load(), time.Now()
	for n := 2; n <= changes+1; n++ {
		propose(n)
		group.waitForVersion(n)
	}
	seconds := time.Since(start).Seconds()
	total := perClient(group.bytes.Load() - before)
	perChange := total / float64(changes)
	t.Logf("%d changes in %.1f s: %.0f bytes per change and client, %.0f without idle traffic",
		changes, seconds, perChange, (total-idleRate*seconds)/float64(changes))
	if perChange > float64(fullSize)/8 { // the compressed full list is a sixth of fullSize
		t.Errorf("%.0f bytes per change and client, want at most an eighth of the full list of %d bytes", perChange, fullSize)
	}
}
