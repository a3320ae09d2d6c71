package scale

import (
	"testing"
	"time"
)

// An hour apart, in virtual time: what the region without a majority serves by its floor, and how long a change waits in the other.
func TestRegionsApartForAnHour(t *testing.T) {
	const lease, hour = int64(2 * time.Second), int64(time.Hour)
	most := func(span int64) int64 { return int64(float64(span)*1.01/0.99) + 3*int64(time.Second) } // as keepers count it, and asks
	for _, c := range []struct {
		name  string
		floor int64
		place []int
		drain bool
	}{
		{"a limit raised, floor 4 s", 4e9, []int{0, 0, 1}, false},
		{"a node replaced, no floor", 0, []int{0, 0, 1}, true},
		{"a node replaced, floor 4 s", 4e9, []int{0, 0, 1}, true},
		{"a node replaced, floor 60 s", 60e9, []int{0, 0, 1}, true},
		{"a node replaced, floor 10 min", int64(10 * time.Minute), []int{0, 0, 1}, true},
		{"a node replaced, floor 2 h", 2 * hour, []int{0, 0, 1}, true},
		{"a limit raised, floor 2 h", 2 * hour, []int{0, 0, 1}, false},
		{"one keeper in each region and one in a third that neither reaches", 60e9, []int{0, 1, 2}, true},
	} {
		s, err := Apart{Lease: lease, Floor: c.floor, For: hour, Placement: c.place, Drain: c.drain}.Play()
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		t.Logf("%s: %+v", c.name, s)
		if s.Leased <= 0 || s.Leased > lease+2*virtual {
			t.Errorf("%s: a lease counted for %v", c.name, time.Duration(s.Leased))
		}
		if c.floor > hour {
			if s.Floored != 0 {
				t.Errorf("%s: a floor for %v ended after %v", c.name, time.Duration(c.floor), time.Duration(s.Floored))
			}
		} else if s.Floored < s.Leased || s.Floored > max(c.floor, lease)+2*virtual {
			t.Errorf("%s: a floor for %v ended after %v", c.name, time.Duration(c.floor), time.Duration(s.Floored))
		}
		switch waits := max(lease, c.floor); {
		case s.Majority < 0 || c.drain && c.floor > hour:
			if s.InForce >= 0 {
				t.Errorf("%s: in force after %v", c.name, time.Duration(s.InForce))
			}
		case !c.drain && (s.InForce < 0 || s.InForce > most(lease)), c.drain && (s.InForce < 0 || s.InForce > most(waits) || s.InForce < waits-2e9):
			t.Errorf("%s: in force after %v", c.name, time.Duration(s.InForce))
		}
	}
}
