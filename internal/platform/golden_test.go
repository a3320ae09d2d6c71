package platform_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"irispost/internal/platform"
)

var update = flag.Bool("update", false, "write the golden files anew")

// checkGolden fails the test if got differs from testdata/name.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}

// Settings as read: from the file alone, and with what the file leaves out from the environment.
func TestGoldenSettings(t *testing.T) {
	env := map[string]string{"PROXY_CONFIG": filepath.Join("testdata", "config.json"), "PROXY_NAME": "of the environment",
		"PROXY_LISTEN": "10.0.0.5:8080", "PROXY_DISCOVERY": "10.2.0.2:8500"}
	src, err := os.ReadFile(env["PROXY_CONFIG"])
	if err != nil {
		t.Fatal(err)
	}
	short := filepath.Join(t.TempDir(), "config.json")
	for _, key := range []string{`"name": "n3",`, `"listen": "10.0.0.4:8080",`, `"discovery": "10.2.0.1:8500",`, `"ask_every_ms": 10000.0,`} {
		src = bytes.Replace(src, []byte(key), nil, 1)
	}
	if err := os.WriteFile(short, src, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ file, from string }{{"settings.json", env["PROXY_CONFIG"]}, {"settings-of-environment.json", short}} {
		env["PROXY_CONFIG"] = c.from
		got, err := platform.Load(func(name string) string { return env[name] })
		if err != nil {
			t.Fatal(err)
		}
		form, err := json.MarshalIndent(map[string]any{"name": got.Name, "listen": got.Listen, "discovery": got.Discovery, "seed": got.Seed,
			"cores": got.Cores, "memory": got.MemoryBytes, "sockets": got.MaxSockets, "known": got.CachedEndpoints, "terms": got.Settings, "connect": got.DialTimeout,
			"idle": got.IdleTimeout, "grace": got.ShutdownGrace(), "hold": got.LongPoll()}, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		checkGolden(t, c.file, append(form, '\n'))
	}
}
