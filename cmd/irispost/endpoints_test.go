package main

import (
	"path/filepath"
	"strings"
	"testing"

	"irispost/internal/endpoint"
	"irispost/internal/testkit"
)

// A management server, a gateway with an admin socket, and what its operator sees.
func TestEndpointsAreShownHeldAndConfirmed(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "admin.sock")
	withSocket := strings.Replace(testkit.Conf, "gateways = 2\n", "gateways = 2\n  admin = \""+socket+"\"\n", 1)
	bed := testkit.Start(t, withSocket, 2, 1, nil)
	out, err := run("endpoints", "--socket", socket)
	if err != nil || strings.Count(out, "serving") != 2 || !strings.Contains(out, bed.Nodes[0].Addr()) {
		t.Errorf("%q, %v", out, err)
	}
	bed.UpdateEndpoints(endpoint.List{})
	for !strings.Contains(out, "HELD") { // the list takes its time
		if out, err = run("endpoints", "--socket", socket); err != nil {
			t.Fatal(err)
		}
	}
	if !strings.Contains(out, "kept") || !strings.Contains(out, "--confirm") {
		t.Errorf("%q", out)
	}
	out, err = run("status", "--socket", socket)
	if err != nil || !strings.Contains(out, "2 kept") || !strings.Contains(out, "HELD") {
		t.Errorf("%q, %v", out, err)
	}
	out, err = run("endpoints", "--socket", socket, "--confirm", "--json")
	if err != nil || !strings.Contains(out, "loss of 2 nodes") || !strings.Contains(out, `"state":"leaving"`) {
		t.Errorf("%q, %v", out, err)
	}
	_, err = run("endpoints", "--socket", filepath.Join(dir, "none"))
	if err == nil || !strings.Contains(err.Error(), "does not answer") {
		t.Error(err)
	}
}
