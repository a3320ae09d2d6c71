package audit

import (
	"testing"

	"irispost/internal/testkit/golden"
)

func TestReportsMatchGolden(t *testing.T) {
	for name, record := range map[string]any{
		"rule.json":     &RuleResult{},
		"summary.json":  &Summary{},
		"coldness.json": &SlowStartSummary{},
	} {
		t.Run(name, func(t *testing.T) { golden.CheckJSON(t, name, record) })
	}
}
