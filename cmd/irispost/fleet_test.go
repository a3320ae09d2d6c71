package main

import (
	"context"
	"os"
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
	s, err := day.Load("../../examples/fleet-agree-" + name + ".hcl")
	if err != nil {
		t.Fatal(err)
	}
	s.Seed = seed
	s.Slack, s.Transit = 5*time.Second, 2*time.Second // a slow machine is late; that it answers at all, and once, is what is checked
	s.Length, s.Fleet.Lease = s.Length/2, s.Fleet.Lease/2
	for i := range s.Troubles {
		s.Troubles[i].At /= 2
		s.Troubles[i].For /= 2
	}
	for i := range s.Clients {
		s.Clients[i].Rate /= 2
	}
	r, err := day.Play(context.Background(), s, day.Options{Program: self, Note: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestFleetDays(t *testing.T) {
	t.Setenv("IRISPOST_TEST_AS_PROGRAM", "1")
	for _, name := range []string{"split", "stopped"} {
		r := playFleet(t, name, 7)
		if !r.Good() || r.Agreement.Versions < 4 || r.Agreement.Pairs != 66 || r.Completed == 0 {
			t.Errorf("%s: %+v, %+v", name, r, r.Agreement)
		}
	}
}

// With leases that never run out, the same day has gateways contradict each other: the audit sees it.
func TestWithoutLeasesTheAuditBreaks(t *testing.T) {
	t.Setenv("IRISPOST_TEST_AS_PROGRAM", "1")
	t.Setenv("IRISPOST_TEST_NO_LEASES", "1")
	if r := playFleet(t, "split", 7); r.Agreement.Broken == 0 || r.Agreement.Worst <= r.Agreement.Stated {
		t.Errorf("%+v", r.Agreement)
	}
}
