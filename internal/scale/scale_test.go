package scale

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// shortWithFaults returns the short size with some faults of the case "in-force" alone.
func shortWithFaults(faults ...string) Size {
	size := ShortSize()
	size.Faults = faults
	return size
}

// growthSize returns a size with few gateways, with contents so large that a replica that keeps all shows it soon,
// and with a first phase after which a bounded history is full.
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

// Each case in its short form. The full size is run by `irispost fleet scale`.
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
			t.Errorf("no test has the fault %s", name)
		}
	}
}

// checkCaseHolds runs a case and checks that there are no violations and that something was audited.
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
		t.Errorf("nothing was audited: %+v", result.Audits)
	}
	t.Logf("%+v %+v %+v", result.Figures, result.Distributions, result.MemoryByPhase)
}

// Each case reports the defect that is injected, with the gateway that has it or with what it violates.
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
		{"a gateway left out", "all", DefectNotRestarted, small, "g4 acts on not there"},
		{"a gateway left out", "rolling", DefectNotRestarted, small, "g4 acts on not there"},
		{"leases that never run out", "regions", DefectNoLeaseExpiry, small, "contradicted each other"},
		{"a leak", "ordinary", DefectLeak, growthSize(), "gateways grows with the changes made"},
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

// Nothing that replicas and gateways hold grows with the number of changes.
func TestMemoryDoesNotGrowWithChanges(t *testing.T) {
	t.Parallel()
	result := runInSlot(t, "ordinary", growthSize(), 0)
	for _, text := range result.Violations {
		t.Error(text)
	}
	t.Log(fmt.Sprint(result.MemoryByPhase))
}

func TestFindRejectsAnUnknownCase(t *testing.T) {
	if _, err := Find("flood"); !errors.Is(err, ErrUnknownCase) || err.Error() != `there is no case "flood"` {
		t.Error(err)
	}
}
