package fleetbench

import (
	"testing"

	"irispost/internal/testkit/golden"
)

func TestGoldenJSON(t *testing.T) {
	for name, record := range map[string]any{"figures.json": &Figures{}, "growth.json": &Growth{}} {
		t.Run(name, func(t *testing.T) { golden.CheckJSON(t, name, record) })
	}
}
