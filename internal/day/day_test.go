package day

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestExamplesAreInOrder(t *testing.T) {
	files, _ := filepath.Glob("../../examples/day-*.hcl")
	fleets, _ := filepath.Glob("../../examples/fleet-*.hcl")
	files = append(files, fleets...)
	if len(files) < 10 {
		t.Errorf("%d days found", len(files))
	}
	for _, f := range files {
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
}

func TestRefusals(t *testing.T) {
	b, err := os.ReadFile("../../examples/day-mixed.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`length   = "22s"`, `length = "22"`, "not a span"}, {`gateways = 2`, `gateways = 0`, "1 to 64 gateways"},
		{`node = "a"`, `node = "z"`, `no node "z"`}, {`do   = "hang"`, `do = "sulk"`, "no such trouble"},
		{`gateway = "g2"`, `gateway = "g9"`, "g1 to g2"}, {`do     = "read"`, `do = "sing"`, "sing"},
		{`bytes  = 131072`, `bytes = 5`, "multiple of 4096"}, {`rate   = 15`, `rate = -1`, "rate = -1"},
	} {
		if !strings.Contains(string(b), c.old) {
			t.Fatalf("the example has no %q", c.old)
		}
		if _, err := Parse("day.hcl", []byte(strings.Replace(string(b), c.old, c.new, 1))); err == nil ||
			!strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "day.hcl:") {
			t.Errorf("%q: %v", c.new, err)
		}
	}
}

func TestFillAndWhole(t *testing.T) {
	b := make([]byte, 2*block)
	copy(b, strings.Repeat("12345678", block/8))
	if !whole(b) {
		t.Error("two whole blocks are not whole")
	}
	if b[block+9]++; whole(b) {
		t.Error("a torn block is not noticed")
	}
}

// The example days with all their troubles, cut short: no rule breaks, whatever the machine's speed. Figures of service
// are not judged here.
func TestShortDays(t *testing.T) {
	for _, name := range []string{"bad-morning", "replacement", "mixed", "rolling"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := Load("../../examples/day-" + name + ".hcl")
			if err != nil {
				t.Fatal(err)
			}
			s.Slack = 5 * time.Second // a slow machine is late; that it answers at all, and once, is what is checked
			s.Transit = 2 * time.Second
			s.Length /= 3
			for i := range s.Faults {
				s.Faults[i].At /= 3
				s.Faults[i].For /= 3
			}
			for i := range s.Clients {
				s.Clients[i].Rate /= 2
			}
			o := Options{}
			if name == "rolling" { // under a management server, until it has begun anew
				s.Length, o.EndpointSource = 7*time.Second, "delta"
			}
			r, err := Play(context.Background(), s, o)
			if err != nil {
				t.Fatal(err)
			}
			if !r.Passed() || r.Sent == 0 || r.Succeeded == 0 {
				t.Errorf("%+v", r)
			}
		})
	}
}
