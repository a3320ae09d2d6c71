package scale

import (
	"testing"

	"irispost/internal/testkit/golden"
)

func TestGoldenJSON(t *testing.T) {
	golden.CheckJSON(t, "result.json", &Result{})
}
