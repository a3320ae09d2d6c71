package scale

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// shortWithFaults returns the short size with only some faults of the case "in-force".
func shortWithFaults(faults ...string) Size {
	size := ShortSize()
	size.Faults = faults
	return size
}

// growthSize returns a size that shows memory growth early. Its configurations are so large that a replica that keeps
// all of them is noticed soon, and a bounded history is full after the first phase.
func growthSize() Size {
	size := ShortSize()
	size.Gateways = 7
	size.Nodes = 700
	size.Changes = 160
	size.Restarts = 0
	size.Kills = 0
	size.SlowStart = false
	size.Latency = time.Millisecond
	size.RenewInterval = 50 * time.Millisecond
	return size
}

// Every case passes on a short fleet, and every fault is covered. `irispost fleet scale` runs the full size.
func TestCasesHoldOnAShortFleet(t *testing.T) {
	sizesByCase := map[string][]Size{"in-force": {
		shortWithFaults("none", "leader_killed", "gateway_slow", "gateway_killed"),
		shortWithFaults("leader_stopped", "region_cut", "gateway_stopped"),
		shortWithFaults("keeper_killed", "zone_killed", "rack_killed"),
		shortWithFaults("gateway_mute", "gateway_deaf"),
	}}
	covered := map[string]bool{}
	for _, c := range Cases {
		sizes := sizesByCase[c.Name]
		if sizes == nil {
			sizes = []Size{ShortSize()}
		}
		for _, size := range sizes {
			for _, name := range size.Faults {
				covered[name] = true
			}
			t.Run(c.Name+strings.Join(append([]string{""}, size.Faults...), " "), func(t *testing.T) {
				t.Parallel()
				checkCaseHolds(t, c.Name, size)
			})
		}
	}
	for _, name := range FaultNames() {
		if !covered[name] {
			t.Errorf("no size of the case in-force covers the fault %s", name)
		}
	}
}

// checkCaseHolds runs a case and checks that it has no violations and that its first audit was not empty.
func checkCaseHolds(t *testing.T, name string, size Size) {
	t.Helper()
	result := runInSlot(t, name, size, 0)
	for _, text := range result.Violations {
		t.Error(text)
	}
	if result.NotRun != "" {
		t.Log("not run: " + result.NotRun)
		return
	}
	if len(result.Audits) == 0 || result.Audits[0].Intervals == 0 || result.Audits[0].Versions == 0 {
		t.Errorf("got audits %+v, want a first one with intervals and versions", result.Audits)
	}
	t.Logf("%+v %+v %+v", result.Figures, result.Distributions, result.MemoryByPhase)
}

// Cases report injected defects. The violation names the defective gateway or the check that failed.
func TestCasesReportInjectedDefects(t *testing.T) {
	small := ShortSize()
	small.Gateways = 14
	small.Nodes = 30
	small.Timeout = 8 * time.Second
	noFault := small
	noFault.Faults = []string{"none"}
	for _, c := range []struct {
		name    string
		on      string
		defects Defect
		size    Size
		want    string
	}{
		{"a lost version", "ordinary", DefectLostVersion, small, "g4 acts on"},
		{"a lost version", "in-force", DefectLostVersion, noFault, "g4 acts on"},
		{"a lost version", "replaced", DefectLostVersion, small, "g4 acts on"},
		{"an old version again", "replaced", DefectStaleList, small, "g4"},
		{"a gateway left out", "all", DefectNotRestarted, small, "g4 acts on nothing (not running)"},
		{"a gateway left out", "rolling", DefectNotRestarted, small, "g4 acts on nothing (not running)"},
		{"leases that never run out", "regions", DefectNoLeaseExpiry, small, "contradicted each other"},
		{"a leak", "ordinary", DefectLeak, growthSize(), "gateways grows with the number of changes"},
	} {
		t.Run(c.name+" on "+c.on, func(t *testing.T) {
			t.Parallel()
			result := runInSlot(t, c.on, c.size, c.defects)
			if text := strings.Join(result.Violations, "\n"); !strings.Contains(text, c.want) {
				t.Errorf("no violation contains %q: %s", c.want, text)
			}
		})
	}
}

// The memory of replicas and gateways and the directories of replicas do not grow with the number of changes.
func TestMemoryDoesNotGrowWithChanges(t *testing.T) {
	t.Parallel()
	result := runInSlot(t, "ordinary", growthSize(), 0)
	for _, text := range result.Violations {
		t.Error(text)
	}
	t.Log(fmt.Sprint(result.MemoryByPhase))
}

func TestFindRejectsAnUnknownCase(t *testing.T) {
	if _, err := Find("flood"); !errors.Is(err, ErrUnknownCase) || err.Error() != `unknown case "flood"` {
		t.Error(err)
	}
}
