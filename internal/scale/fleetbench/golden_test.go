package fleetbench

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"

	"irispost/internal/testkit/golden"
)

func TestGoldenJSON(t *testing.T) {
	for name, record := range map[string]any{"figures.json": &Figures{}, "growth.json": &Growth{}} {
		t.Run(name, func(t *testing.T) { golden.CheckJSON(t, name, record) })
	}
}

// The human-readable texts are identical to those written by an earlier build.
func TestGoldenText(t *testing.T) {
	figures := &Figures{}
	readJSON(t, "figures.json", figures)
	figures.InForceByKind[NodeReplacement] = figures.InForce
	figures.Kinds[LimitChange] = 7
	growth := &Growth{}
	readJSON(t, "growth.json", growth)
	growth.Kinds[NodeReplacement] = 3
	for name, record := range map[string]interface{ Text(io.Writer) }{"figures.txt": figures, "growth.txt": growth} {
		t.Run(name, func(t *testing.T) {
			var text bytes.Buffer
			record.Text(&text)
			golden.Check(t, name, text.Bytes())
		})
	}
}

func readJSON(t *testing.T, name string, record any) {
	t.Helper()
	encoded, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(encoded, record); err != nil {
		t.Fatal(err)
	}
}
