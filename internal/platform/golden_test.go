package platform_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"irispost/internal/platform"
	"irispost/internal/testkit/golden"
)

// encodeConfig returns a configuration as JSON with fixed key names, which do not depend on the names of its fields.
func encodeConfig(t *testing.T, c *platform.Config) []byte {
	t.Helper()
	encoded, err := json.MarshalIndent(map[string]any{
		"name":      c.Name,
		"listen":    c.Listen,
		"discovery": c.Discovery,
		"seed":      c.Seed,
		"cores":     c.Cores,
		"memory":    c.MemoryBytes,
		"sockets":   c.MaxSockets,
		"known":     c.CachedEndpoints,
		"terms":     c.Settings,
		"connect":   c.DialTimeout,
		"idle":      c.IdleTimeout,
		"grace":     c.ShutdownGrace(),
		"hold":      c.LongPoll(),
	}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(encoded, '\n')
}

// withoutKeys removes the first occurrence of each text in keys from a configuration and writes the result to a new
// file.
func withoutKeys(t *testing.T, config string, keys ...string) string {
	t.Helper()
	src, err := os.ReadFile(config)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range keys {
		src = bytes.Replace(src, []byte(key), nil, 1)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, src, 0o644); err != nil {
		t.Fatal(err)
	}
	return file
}

// The settings match the golden files when the configuration file is complete, and when the environment supplies what
// the file leaves out.
func TestGoldenSettings(t *testing.T) {
	complete := filepath.Join("testdata", "config.json")
	partial := withoutKeys(t, complete, `"name": "n3",`, `"listen": "10.0.0.4:8080",`, `"discovery": "10.2.0.1:8500",`,
		`"ask_every_ms": 10000.0,`)
	env := map[string]string{
		"PROXY_NAME":      "of the environment",
		"PROXY_LISTEN":    "10.0.0.5:8080",
		"PROXY_DISCOVERY": "10.2.0.2:8500",
	}
	for _, c := range []struct{ want, config string }{
		{"settings.json", complete},
		{"settings-of-environment.json", partial},
	} {
		env["PROXY_CONFIG"] = c.config
		config, err := platform.Load(func(name string) string { return env[name] })
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, c.want, encodeConfig(t, config))
	}
}
