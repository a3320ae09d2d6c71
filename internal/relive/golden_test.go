package relive

import (
	"testing"

	"irispost/internal/testkit/golden"
)

func TestGoldenJSON(t *testing.T) {
	golden.CheckJSON(t, "report.json", &Report{})
}
