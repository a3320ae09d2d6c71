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

func runCommands(t *testing.T, server *Server, commands ...string) {
	t.Helper()
	for _, command := range commands {
		if err := server.Command(command); err != nil {
			t.Fatalf("command %q: got error %v, want none", command, err)
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
		"mute perhaps":      "mute must be on or off",
		"slow down":         `slow "down"`,
	} {
		if err := server.Command(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("command %q: got error %v, want the one in the table", text, err)
		}
	}
}

func TestCommandChangesTheNodes(t *testing.T) {
	server := startServer(t, endpoint.Node{Addr: "a:1"})
	runCommands(t, server, "add b:1 2 z", "drain a:1", "unwell b:1")
	nodes := server.Nodes()
	if len(nodes) != 2 || nodes[0].Health != endpoint.Draining || nodes[1].Health != endpoint.Unhealthy {
		t.Fatalf("nodes after add, drain and unwell: got %+v, want a draining and an unhealthy one", nodes)
	}
	if nodes[1].Shard != 2 || nodes[1].Zone != "z" || nodes[1].StartedAt == 0 {
		t.Errorf("added node: got %+v, want shard 2, zone z and a start time", nodes[1])
	}
	runCommands(t, server, "remove b:1", "everybody ready")
	nodes = server.Nodes()
	if nodes[0].Health != endpoint.Ready || nodes[1].Health != endpoint.Removed {
		t.Errorf("nodes after remove and everybody ready: got %+v, want a ready and a removed one", nodes)
	}
	runCommands(t, server, "nothing")
	if nodes := server.Nodes(); len(nodes) != 0 {
		t.Errorf("nodes after nothing: got %+v, want none", nodes)
	}
}

func TestRepairKeepsTheVersionOfTheBrokenUpdate(t *testing.T) {
	server := startServer(t, endpoint.Node{Addr: "127.0.0.1:7"})
	before := server.versions[xds.ClusterType]
	runCommands(t, server, "broken endpoints")
	broken := server.versions[xds.EndpointType]
	runCommands(t, server, "mend")
	if got := server.versions[xds.EndpointType]; got != broken {
		t.Errorf("version of endpoints after mend: got %d, want %d", got, broken)
	}
	if got := server.versions[xds.ClusterType]; got != before {
		t.Errorf("version of clusters after mend: got %d, want %d", got, before)
	}
}

func TestRevertRestoresResourcesAndVersions(t *testing.T) {
	server := startServer(t, endpoint.Node{Addr: "127.0.0.1:7"})
	version := server.versions[xds.EndpointType]
	before := server.resources[xds.EndpointType]["storage"].body
	runCommands(t, server, "add 127.0.0.1:8 0")
	if server.versions[xds.EndpointType] == version {
		t.Fatal("version of endpoints after add: got the same as before, want a new one")
	}
	runCommands(t, server, "old")
	if got := server.versions[xds.EndpointType]; got != version {
		t.Errorf("version of endpoints after old: got %d, want %d", got, version)
	}
	if got := server.resources[xds.EndpointType]["storage"].body; got != before {
		t.Errorf("endpoints after old: got %v, want %v", got, before)
	}
}
