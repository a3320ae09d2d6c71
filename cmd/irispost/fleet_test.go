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
func playFleet(t *testing.T, name string, seed uint64) *day.Report {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return playFleetWith(t, name, seed, day.Options{Program: self, Logf: t.Logf})
}

func playFleetWith(t *testing.T, name string, seed uint64, options day.Options) *day.Report {
	t.Helper()
	s, err := day.Load("../../examples/fleet-" + name + ".hcl")
	if err != nil {
		t.Fatal(err)
	}
	s.Seed = seed
	// A slow machine is late; that it answers at all, and once, is what is checked.
	s.Slack, s.Transit = 5*time.Second, 2*time.Second
	s.Length, s.Fleet.LeaseDuration = s.Length/2, s.Fleet.LeaseDuration/2
	for i := range s.Faults {
		s.Faults[i].At /= 2
		s.Faults[i].For /= 2
	}
	for i := range s.Clients {
		if !s.Fleet.Peers { // what cold nodes bear has to be asked for
			s.Clients[i].Rate /= 2
		}
	}
	r, err := day.Play(context.Background(), s, options)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestFleetDays(t *testing.T) {
	t.Setenv("IRISPOST_TEST_AS_PROGRAM", "1")
	for _, name := range []string{"agree-split", "agree-stopped", "cold-oneway"} {
		r := playFleet(t, name, 7)
		if !r.Passed() || r.Agreement.Versions < 4 || r.Agreement.Pairs != 66 || r.Succeeded == 0 {
			t.Errorf("%s: %+v, %+v", name, r, r.Agreement)
		}
	}
}

// With leases that never run out, the same day has gateways contradict each other: the audit sees it.
func TestWithoutLeasesTheAuditBreaks(t *testing.T) {
	t.Setenv("IRISPOST_TEST_AS_PROGRAM", "1")
	t.Setenv("IRISPOST_TEST_NO_LEASES", "1")
	agreement := playFleet(t, "agree-split", 7).Agreement
	if agreement.Violations == 0 || agreement.WorstMillis <= agreement.BoundMillis {
		t.Errorf("%+v", agreement)
	}
}

// sockets are a process's, from what the kernel says: how many listen, the addresses that the others go to, and how
// many are none of TCP's.
func sockets(t *testing.T, pid int) (listen int, to map[string]bool, others int) {
	t.Helper()
	table := map[string][]string{}
	for _, name := range []string{"tcp", "tcp6"} {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, name))
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range strings.Split(string(b), "\n") {
			if f := strings.Fields(line); len(f) > 9 {
				table["socket:["+f[9]+"]"] = f
			}
		}
	}
	to = map[string]bool{}
	fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, fd := range fds {
		name, _ := os.Readlink(fd)
		f := table[name]
		switch {
		case !strings.HasPrefix(name, "socket:"):
		case f == nil:
			others++
		case f[3] == "0A":
			listen++
		default:
			to[f[2][strings.IndexByte(f[2], ':')+1:]] = true
		}
	}
	return listen, to, others
}

// The gateway on the platform has nothing of a fleet: one socket that listens, one way to its list, and no other, even
// where replicas are named all around it.
func TestWebOpensNothingOfAFleet(t *testing.T) {
	watched := make(chan struct{})
	var first sync.Once
	quit := make(chan struct{})
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.FormValue("from") == "1" {
			first.Do(func() { close(watched) }) // it watches on when quit is closed, and nobody counts
			<-quit
		}
		_, _ = fmt.Fprint(w, `{"rev":1,"all":true,"targets":[]}`)
	}))
	defer list.Close()
	defer close(quit)
	trap, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = trap.Close() }()
	w := startWeb(t, list.Listener.Addr().String(), "", "IRISPOST_KEEPERS="+trap.Addr().String())
	<-watched // by now it watches its list
	listen, to, others := sockets(t, w.Process.Pid)
	_, port, _ := net.SplitHostPort(list.Listener.Addr().String())
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	delete(to, fmt.Sprintf("%04X", number))
	if listen != 1 || len(to) > 0 || others > 0 {
		t.Errorf("%d sockets listen, others go to %v, and %d are none of TCP's", listen, to, others)
	}
}
