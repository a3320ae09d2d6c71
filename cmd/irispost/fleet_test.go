package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"irispost/internal/day"
)

// TestMain runs the irispost command instead of the tests if a test starts its own binary as irispost.
func TestMain(m *testing.M) {
	if os.Getenv("IRISPOST_TEST_AS_PROGRAM") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// playScenario runs a shortened fleet scenario, with the replicas and gateways as processes of the test binary.
func playScenario(t *testing.T, name string, seed uint64) *day.Report {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return playScenarioWith(t, name, seed, day.Options{Program: self, Logf: t.Logf})
}

// playScenarioWith runs a fleet scenario with its duration, lease and fault times halved.
func playScenarioWith(t *testing.T, name string, seed uint64, options day.Options) *day.Report {
	t.Helper()
	script, err := day.Load("../../examples/fleet-" + name + ".hcl")
	if err != nil {
		t.Fatal(err)
	}
	script.Seed = seed
	// The limits are generous for slow machines: the test checks that each request is answered exactly once, not how fast.
	script.Slack, script.Transit = 5*time.Second, 2*time.Second
	script.Length, script.Fleet.LeaseDuration = script.Length/2, script.Fleet.LeaseDuration/2
	for i := range script.Faults {
		script.Faults[i].At /= 2
		script.Faults[i].For /= 2
	}
	for i := range script.Clients {
		if !script.Fleet.Peers { // with slow-start budgets, the full rate is needed to reach them
			script.Clients[i].Rate /= 2
		}
	}
	report, err := day.Play(context.Background(), script, options)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Fleet scenarios with a partition, paused processes and a one-way partition pass the audit. 12 gateways make 66 pairs.
func TestFleetDays(t *testing.T) {
	t.Setenv("IRISPOST_TEST_AS_PROGRAM", "1")
	for _, name := range []string{"agree-split", "agree-stopped", "cold-oneway"} {
		report := playScenario(t, name, 7)
		if !report.Passed() || report.Agreement.Versions < 4 || report.Agreement.Pairs != 66 || report.Succeeded == 0 {
			t.Errorf("%s: got %+v and agreement %+v; want a pass, 4 versions or more, 66 pairs, and requests served",
				name, report, report.Agreement)
		}
	}
}

// If leases never expire, gateways of the same scenario act on conflicting versions for longer than the bound, and
// the audit detects it. This guards against an audit that always passes.
func TestWithoutLeasesTheAuditBreaks(t *testing.T) {
	t.Setenv("IRISPOST_TEST_AS_PROGRAM", "1")
	t.Setenv("IRISPOST_TEST_NO_LEASES", "1")
	agreement := playScenario(t, "agree-split", 7).Agreement
	if agreement.Violations == 0 || agreement.WorstMillis <= agreement.BoundMillis {
		t.Errorf("got %+v, want violations and a contradiction longer than the bound", agreement)
	}
}

// processSockets reads the sockets of a process from /proc. It returns the number of listening TCP sockets, the
// remote ports of the other TCP sockets in hexadecimal, and the number of sockets that are not TCP.
func processSockets(t *testing.T, pid int) (listening int, connectedPorts map[string]bool, nonTCP int) {
	t.Helper()
	table := map[string][]string{}
	for _, name := range []string{"tcp", "tcp6"} {
		content, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, name))
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range strings.Split(string(content), "\n") {
			if fields := strings.Fields(line); len(fields) > 9 {
				table["socket:["+fields[9]+"]"] = fields
			}
		}
	}
	connectedPorts = map[string]bool{}
	fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, fd := range fds {
		name, _ := os.Readlink(fd)
		fields := table[name]
		switch {
		case !strings.HasPrefix(name, "socket:"):
		case fields == nil:
			nonTCP++
		case fields[3] == "0A":
			listening++
		default:
			connectedPorts[fields[2][strings.IndexByte(fields[2], ':')+1:]] = true
		}
	}
	return listening, connectedPorts, nonTCP
}

// A gateway with an HTTP front end does not follow replicas: it has one listening socket and connects only to its
// discovery service, even if the environment names replicas.
func TestWebOpensNothingOfAFleet(t *testing.T) {
	watched := make(chan struct{})
	var first sync.Once
	quit := make(chan struct{})
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.FormValue("from") == "1" {
			first.Do(func() { close(watched) }) // once quit is closed, the gateway watches again
			<-quit
		}
		_, _ = fmt.Fprint(w, `{"rev":1,"all":true,"targets":[]}`)
	}))
	defer list.Close()
	defer close(quit)
	replicaListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = replicaListener.Close() }()
	gateway := startWeb(t, list.Listener.Addr().String(), "", "IRISPOST_KEEPERS="+replicaListener.Addr().String())
	<-watched // the gateway has its list and watches it
	listening, connectedPorts, nonTCP := processSockets(t, gateway.Process.Pid)
	_, port, _ := net.SplitHostPort(list.Listener.Addr().String())
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	delete(connectedPorts, fmt.Sprintf("%04X", number))
	if listening != 1 || len(connectedPorts) > 0 || nonTCP > 0 {
		t.Errorf("got %d listening sockets, other connections to ports %v, %d non-TCP sockets; want 1, none and 0",
			listening, connectedPorts, nonTCP)
	}
}
