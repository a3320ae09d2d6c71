package relive

import (
	"testing"

	"irispost/internal/testkit/golden"
)

func TestReportMatchesGolden(t *testing.T) {
	golden.CheckJSON(t, "report.json", &Report{})
}
