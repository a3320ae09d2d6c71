package config

import (
	"testing"

	"irispost/internal/testkit/golden"
)

// The HCL keys of the operators' files are those in the golden files. The rest of a version's file, its endpoint
// list, is read by package endpoint.
func TestGoldenHCLKeys(t *testing.T) {
	for name, blocks := range map[string]any{"gateway-keys.txt": gatewayFile{}, "rules-keys.txt": versionFile{}} {
		t.Run(name, func(t *testing.T) { golden.Check(t, name, golden.HCLKeys(blocks)) })
	}
}
