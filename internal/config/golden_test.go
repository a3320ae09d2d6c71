package config

import (
	"testing"

	"irispost/internal/testkit/golden"
)

// Keys of the files that operators write. The nodes of a rules file are read by package listing.
func TestGoldenHCLKeys(t *testing.T) {
	for name, form := range map[string]any{"gateway-keys.txt": fileForm{}, "rules-keys.txt": rulesForm{}} {
		t.Run(name, func(t *testing.T) { golden.Check(t, name, golden.HCLKeys(form)) })
	}
}
