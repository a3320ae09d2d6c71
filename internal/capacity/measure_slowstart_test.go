package capacity_test

import (
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"testing"

	"irispost/internal/capacity"
)

// budgetTest is the test of the scheduler whose log lines are parsed.
const budgetTest = "TestFleetStaysWithinTheBudgetOfAWarmingNode"

// budgetLine matches a log line of that test. It captures the number of gateways, the name of the case, the calls in
// 4 s, and the worst excess over N calls as a fraction of the distance from N to the bound.
var budgetLine = regexp.MustCompile(`(\d+) gateways, ([^:]+): (\d+) calls in 4 s, at worst (-?[0-9.]+)`)

// budgetUse has the extremes among the cases of one fleet.
type budgetUse struct {
	gateways    float64
	worstExcess float64
	fewestCalls float64
}

// TestMeasureCold runs a test of the scheduler and records what it logs for each fleet, up to 780 gateways: the worst
// excess and the fewest calls among its cases.
func TestMeasureCold(t *testing.T) {
	m := beginMeasurement(t)
	command := exec.Command("go", "test", "-count=1", "-v", "-run", budgetTest+"$", "irispost/scheduler")
	command.Env = append(os.Environ(), "IRISPOST_MEASURE=1")
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	for _, use := range parseBudgetUse(t, string(output)) {
		const unit = "of the way from N calls to the bound"
		m.add(capacity.Simulated, "cold_worst_by_gateways", unit, "gateways", use.gateways, use.worstExcess)
		m.add(capacity.Simulated, "cold_calls_by_gateways", "calls in 4 s", "gateways", use.gateways, use.fewestCalls)
	}
	m.save()
}

// parseBudgetUse returns the budget use of each fleet, in the order of the log.
func parseBudgetUse(t *testing.T, log string) (uses []*budgetUse) {
	t.Helper()
	byGateways := map[float64]*budgetUse{}
	for _, match := range budgetLine.FindAllStringSubmatch(log, -1) {
		gateways, calls, excess := parseFloat(t, match[1]), parseFloat(t, match[3]), parseFloat(t, match[4])
		use := byGateways[gateways]
		if use == nil {
			use = &budgetUse{gateways: gateways, worstExcess: excess, fewestCalls: calls}
			byGateways[gateways] = use
			uses = append(uses, use)
		}
		use.worstExcess = max(use.worstExcess, excess)
		use.fewestCalls = min(use.fewestCalls, calls)
	}
	return uses
}

func parseFloat(t *testing.T, text string) float64 {
	t.Helper()
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
