package main

import (
	"path/filepath"
	"strings"
	"testing"

	"irispost/internal/endpoint"
	"irispost/internal/testkit"
)

// If all nodes vanish from the endpoint list, the endpoints and status commands show the loss as held until the
// operator confirms it. A socket on which no gateway listens is reported as an error.
func TestEndpointsAreShownHeldAndConfirmed(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "admin.sock")
	withSocket := strings.Replace(testkit.Conf, "gateways = 2\n", "gateways = 2\n  admin = \""+socket+"\"\n", 1)
	bed := testkit.Start(t, withSocket, 2, 1, nil)
	out, err := run("endpoints", "--socket", socket)
	if err != nil || strings.Count(out, "serving") != 2 || !strings.Contains(out, bed.Nodes[0].Addr()) {
		t.Errorf("endpoints: got output %q and error %v, want 2 serving nodes with their addresses", out, err)
	}
	bed.UpdateEndpoints(endpoint.List{})
	for !strings.Contains(out, "HELD") { // the gateway receives the list asynchronously
		if out, err = run("endpoints", "--socket", socket); err != nil {
			t.Fatal(err)
		}
	}
	if !strings.Contains(out, "kept") || !strings.Contains(out, "--confirm") {
		t.Errorf("endpoints during a held loss: got %q, want the kept nodes and a hint at --confirm", out)
	}
	out, err = run("status", "--socket", socket)
	if err != nil || !strings.Contains(out, "2 kept") || !strings.Contains(out, "HELD") {
		t.Errorf("status during a held loss: got output %q and error %v, want 2 kept nodes and HELD", out, err)
	}
	out, err = run("endpoints", "--socket", socket, "--confirm", "--json")
	if err != nil || !strings.Contains(out, "loss of 2 nodes") || !strings.Contains(out, `"state":"leaving"`) {
		t.Errorf("endpoints --confirm: got output %q and error %v, want the loss of 2 nodes confirmed", out, err)
	}
	_, err = run("endpoints", "--socket", filepath.Join(dir, "none"))
	if err == nil || !strings.Contains(err.Error(), "does not answer") {
		t.Error(err)
	}
}
