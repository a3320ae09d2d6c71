package day

import (
	"testing"

	"irispost/internal/testkit/golden"
)

func TestScriptKeysAndReportMatchGolden(t *testing.T) {
	t.Run("keys", func(t *testing.T) { golden.Check(t, "day-keys.txt", golden.HCLKeys(scriptFile{})) })
	t.Run("record", func(t *testing.T) { golden.CheckJSON(t, "report.json", &Report{}) })
}
