package config

import (
	"testing"

	"irispost/internal/testkit/golden"
)

// Keys of the files that operators write. Package endpoint reads the rest of a version's file, its endpoint list.
func TestGoldenHCLKeys(t *testing.T) {
	for name, blocks := range map[string]any{"gateway-keys.txt": gatewayFile{}, "rules-keys.txt": versionFile{}} {
		t.Run(name, func(t *testing.T) { golden.Check(t, name, golden.HCLKeys(blocks)) })
	}
}
