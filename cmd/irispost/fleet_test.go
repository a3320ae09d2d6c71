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

// TestMain has the test's own binary be the program where a day starts it as one.
func TestMain(m *testing.M) {
	if os.Getenv("IRISPOST_TEST_AS_PROGRAM") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// playFleet plays a shortened day of keepers and gateways as processes.
func playScenario(t *testing.T, name string, seed uint64) *day.Report {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return playScenarioWith(t, name, seed, day.Options{Program: self, Logf: t.Logf})
}

func playScenarioWith(t *testing.T, name string, seed uint64, options day.Options) *day.Report {
	t.Helper()
	script, err := day.Load("../../examples/fleet-" + name + ".hcl")
	if err != nil {
		t.Fatal(err)
	}
	script.Seed = seed
	// A slow machine is late; that it answers at all, and once, is what is checked.
	script.Slack, script.Transit = 5*time.Second, 2*time.Second
	script.Length, script.Fleet.LeaseDuration = script.Length/2, script.Fleet.LeaseDuration/2
	for i := range script.Faults {
		script.Faults[i].At /= 2
		script.Faults[i].For /= 2
	}
	for i := range script.Clients {
		if !script.Fleet.Peers { // what cold nodes bear has to be asked for
			script.Clients[i].Rate /= 2
		}
	}
	report, err := day.Play(context.Background(), script, options)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestFleetDays(t *testing.T) {
	t.Setenv("IRISPOST_TEST_AS_PROGRAM", "1")
	for _, name := range []string{"agree-split", "agree-stopped", "cold-oneway"} {
		report := playScenario(t, name, 7)
		if !report.Passed() || report.Agreement.Versions < 4 || report.Agreement.Pairs != 66 || report.Succeeded == 0 {
			t.Errorf("%s: %+v, %+v", name, report, report.Agreement)
		}
	}
}

// With leases that never run out, the same day has gateways contradict each other: the audit sees it.
func TestWithoutLeasesTheAuditBreaks(t *testing.T) {
	t.Setenv("IRISPOST_TEST_AS_PROGRAM", "1")
	t.Setenv("IRISPOST_TEST_NO_LEASES", "1")
	agreement := playScenario(t, "agree-split", 7).Agreement
	if agreement.Violations == 0 || agreement.WorstMillis <= agreement.BoundMillis {
		t.Errorf("%+v", agreement)
	}
}

// sockets are a process's, from what the kernel says: how many listen, the addresses that the others go to, and how
// many are none of TCP's.
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

// The gateway on the platform has nothing of a fleet: one socket that listens, one way to its list, and no other, even
// where replicas are named all around it.
func TestWebOpensNothingOfAFleet(t *testing.T) {
	watched := make(chan struct{})
	var first sync.Once
	quit := make(chan struct{})
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.FormValue("from") == "1" {
			first.Do(func() { close(watched) }) // it watches on when quit is closed, and nobody counts
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
	<-watched // by now it watches its list
	listening, connectedPorts, nonTCP := processSockets(t, gateway.Process.Pid)
	_, port, _ := net.SplitHostPort(list.Listener.Addr().String())
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	delete(connectedPorts, fmt.Sprintf("%04X", number))
	if listening != 1 || len(connectedPorts) > 0 || nonTCP > 0 {
		t.Errorf("%d sockets listen, others go to %v, and %d are none of TCP's", listening, connectedPorts, nonTCP)
	}
}
