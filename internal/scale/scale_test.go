package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// play runs a case here.
func play(name string, s Size, dir string, flaw Flaw, note func(string, ...any)) (*Result, error) {
	c, err := Find(name)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return Run(c, s, Options{Program: func(args ...string) *exec.Cmd { return exec.Command(self, args...) }, Dir: dir,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Note: note, Defects: flaw})
}

// slots are fleets that run at once: with all of them, a machine that others use too comes to stand still over their starts.
var slots = make(chan struct{}, 4)

// run runs a case: the ordinary day in a process of its own, as what this one holds is weighed there.
func run(t *testing.T, name string, s Size, flaw Flaw) *Result {
	t.Helper()
	slots <- struct{}{}
	defer func() { <-slots }()
	if name != "ordinary" {
		r, err := play(name, s, t.TempDir(), flaw, t.Logf)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	in, err := json.Marshal(errand{name, s, t.TempDir(), flaw})
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, "case", string(in))
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	r := &Result{}
	if err := json.Unmarshal(out, r); err != nil {
		t.Fatal(err)
	}
	return r
}

// errand is a case for a process of its own.
type errand struct {
	Name string
	Size Size
	Dir  string
	Flaw Flaw
}

func caseProcess(text string) error {
	var a errand
	if err := json.Unmarshal([]byte(text), &a); err != nil {
		return err
	}
	r, err := play(a.Name, a.Size, a.Dir, a.Flaw, func(string, ...any) {})
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(r)
}

// Each case in its short form. At the size it is run by `irispost fleet scale`.
func TestCases(t *testing.T) {
	short := func(faults ...string) Size {
		s := Short()
		s.Faults = faults
		return s
	}
	groups := map[string][]Size{"in-force": {short("none", "leader_killed", "gateway_slow", "gateway_killed"), short("leader_stopped", "region_cut", "gateway_stopped"),
		short("keeper_killed", "zone_killed", "rack_killed"), short("gateway_mute", "gateway_deaf")}}
	covered := map[string]bool{}
	for _, c := range Cases {
		sizes := groups[c.Name]
		if sizes == nil {
			sizes = []Size{short()}
		}
		for _, s := range sizes {
			for _, name := range s.Faults {
				covered[name] = true
			}
			t.Run(c.Name+strings.Join(append([]string{""}, s.Faults...), " "), func(t *testing.T) {
				t.Parallel()
				r := run(t, c.Name, s, 0)
				for _, text := range r.Violations {
					t.Error(text)
				}
				if r.NotRun != "" {
					t.Log("not run: " + r.NotRun)
					return
				}
				if len(r.Audits) == 0 || r.Audits[0].Intervals == 0 || r.Audits[0].Versions == 0 {
					t.Errorf("nothing was audited: %+v", r.Audits)
				}
				t.Logf("%+v %+v %+v", r.Figures, r.Distributions, r.MemoryByPhase)
			})
		}
	}
	for _, name := range FaultNames() {
		if !covered[name] {
			t.Errorf("no test has the fault %s", name)
		}
	}
}

// A defect that is put in is seen by each case that it is put into, and told of the gateway that has it or of what it breaks.
func TestDefectsAreSeen(t *testing.T) {
	small := Short()
	small.Gateways, small.Nodes, small.Timeout = 14, 30, 8*time.Second
	single := small
	single.Faults = []string{"none"}
	big := large()
	for _, c := range []struct {
		name string
		on   string
		flaw Flaw
		size Size
		says string
	}{
		{"a lost version", "ordinary", LoseVersion, small, "g4 acts on"},
		{"a lost version", "in-force", LoseVersion, single, "g4 acts on"},
		{"a lost version", "replaced", LoseVersion, small, "g4 acts on"},
		{"an old version again", "replaced", TurnsBack, small, "g4"},
		{"a gateway left out", "all", LeftOut, small, "g4 acts on not there"},
		{"a gateway left out", "rolling", LeftOut, small, "g4 acts on not there"},
		{"leases that never run out", "regions", NoLease, small, "contradicted each other"},
		{"a leak", "ordinary", Leak, big, "gateways grows with the changes made"},
	} {
		t.Run(c.name+" on "+c.on, func(t *testing.T) {
			t.Parallel()
			r := run(t, c.on, c.size, c.flaw)
			if text := strings.Join(r.Violations, "\n"); !strings.Contains(text, c.says) {
				t.Errorf("nothing says %q of it: %s", c.says, text)
			}
		})
	}
}

// large is few gateways, contents of which a keeper that keeps all shows it soon, and a first part after which a bounded history is full.
func large() Size {
	s := Short()
	s.Gateways, s.Nodes, s.Changes, s.Restarts, s.Kills, s.SlowStart = 7, 700, 160, 0, 0, false
	s.Latency, s.RenewInterval = time.Millisecond, 50*time.Millisecond
	return s
}

// Nothing of what keepers and gateways hold grows with the changes that were made.
func TestNothingGrowsWithTheChangesMade(t *testing.T) {
	t.Parallel()
	r := run(t, "ordinary", large(), 0)
	for _, text := range r.Violations {
		t.Error(text)
	}
	t.Log(fmt.Sprint(r.MemoryByPhase))
}
