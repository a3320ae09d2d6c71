package day

import (
	"testing"

	"irispost/internal/testkit/golden"
)

// The keys of a script, and the record of a day.
func TestGoldenForms(t *testing.T) {
	t.Run("keys", func(t *testing.T) { golden.Check(t, "day-keys.txt", golden.HCLKeys(scriptForm{})) })
	t.Run("record", func(t *testing.T) { golden.CheckJSON(t, "report.json", &Report{}) })
}
