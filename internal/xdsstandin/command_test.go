package xdsstandin

import (
	"strings"
	"testing"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
)

func startServer(t *testing.T, nodes ...endpoint.Node) *Server {
	t.Helper()
	server, err := Start("127.0.0.1:0", 1, nodes...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

func run(t *testing.T, server *Server, commands ...string) {
	t.Helper()
	for _, command := range commands {
		if err := server.Command(command); err != nil {
			t.Fatalf("%q: %v", command, err)
		}
	}
}

func TestCommandRejectsWhatItDoesNotKnow(t *testing.T) {
	server := startServer(t)
	for text, want := range map[string]string{
		"":                  "no such command",
		"sulk":              "no such command",
		"add a b":           `shard "b"`,
		"drain a":           `no node "a"`,
		"everybody asleep":  `not "asleep"`,
		"broken everything": `not "everything"`,
		"mute perhaps":      "mute is on or off",
		"slow down":         `slow "down"`,
	} {
		if err := server.Command(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestCommandChangesTheNodes(t *testing.T) {
	server := startServer(t, endpoint.Node{Addr: "a:1"})
	run(t, server, "add b:1 2 z", "drain a:1", "unwell b:1")
	nodes := server.Nodes()
	if len(nodes) != 2 || nodes[0].Health != endpoint.Draining || nodes[1].Health != endpoint.Unhealthy {
		t.Fatalf("%+v", nodes)
	}
	if nodes[1].Shard != 2 || nodes[1].Zone != "z" || nodes[1].StartedAt == 0 {
		t.Errorf("%+v", nodes[1])
	}
	run(t, server, "remove b:1", "everybody ready")
	nodes = server.Nodes()
	if nodes[0].Health != endpoint.Ready || nodes[1].Health != endpoint.Removed {
		t.Errorf("%+v", nodes)
	}
	run(t, server, "nothing")
	if nodes := server.Nodes(); len(nodes) != 0 {
		t.Errorf("%+v", nodes)
	}
}

func TestRepairKeepsTheVersionOfTheBrokenUpdate(t *testing.T) {
	server := startServer(t, endpoint.Node{Addr: "127.0.0.1:7"})
	before := server.versions[xds.ClusterType]
	run(t, server, "broken endpoints")
	broken := server.versions[xds.EndpointType]
	run(t, server, "mend")
	if got := server.versions[xds.EndpointType]; got != broken {
		t.Errorf("endpoints have version %d, not %d", got, broken)
	}
	if got := server.versions[xds.ClusterType]; got != before {
		t.Errorf("clusters have version %d, not %d", got, before)
	}
}

func TestRevertRestoresResourcesAndVersions(t *testing.T) {
	server := startServer(t, endpoint.Node{Addr: "127.0.0.1:7"})
	version := server.versions[xds.EndpointType]
	before := server.resources[xds.EndpointType]["storage"].body
	run(t, server, "add 127.0.0.1:8 0")
	if server.versions[xds.EndpointType] == version {
		t.Fatal("a new node has no new version")
	}
	run(t, server, "old")
	if got := server.versions[xds.EndpointType]; got != version {
		t.Errorf("endpoints have version %d, not %d", got, version)
	}
	if got := server.resources[xds.EndpointType]["storage"].body; got != before {
		t.Errorf("%v is served, not %v", got, before)
	}
}
