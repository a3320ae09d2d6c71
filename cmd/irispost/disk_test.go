package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"irispost/internal/testkit"
)

// The disk commands discover a target, show its size, write data, read the same data back, and run the benchmark.
// Each output or error contains the expected text.
func TestDisksAreFoundReadWrittenAndMeasured(t *testing.T) {
	const name = "iqn.2026-01.example:d"
	const disks = `disks {
  listen = "127.0.0.1:0"
  target "` + name + `" {
    lun "0" {
      file = "/meals/d"
      size = "4MiB"
    }
  }
}
`
	bed := testkit.Start(t, testkit.Conf+disks, 2, 1, nil)
	dir := t.TempDir()
	from, to := filepath.Join(dir, "from"), filepath.Join(dir, "to")
	data := bytes.Repeat([]byte("menu of the week\n"), 10_000)
	if err := os.WriteFile(from, data, 0o644); err != nil {
		t.Fatal(err)
	}
	at := bed.Gateways[0].ISCSI.Addr()
	for _, c := range []struct {
		args, out string
		fails     bool
	}{
		{"discover", name + " " + at, false},
		{"info --target " + name, "1024 blocks of 4096", false},
		{"info --target iqn.none", "0203", true},
		{"write " + from + " --offset 8192 --target " + name, "", false},
		{"read " + to + " --offset 8192 --length 172032 --target " + name, "", false},
		{"bench --target " + name, "--overwrite", true},
		{"bench --overwrite --each 20ms --size 65536 --depth 4 --target " + name, "0 failed", false},
		{"bench --overwrite --size 100 --target " + name, "whole blocks", true},
	} {
		out, err := run(append(append([]string{"disk"}, strings.Fields(c.args)...), "--at", at)...)
		if err != nil {
			out += err.Error()
		}
		if (err != nil) != c.fails || !strings.Contains(out, c.out) {
			t.Errorf("disk %s: got output %q and error %v, want the text and outcome of the case", c.args, out, err)
		}
	}
	if got, err := os.ReadFile(to); err != nil || !bytes.HasPrefix(got, data) || len(got) != 172032 {
		t.Errorf("read back %d bytes, error %v; want 172032 bytes that begin with the data written", len(got), err)
	}
}
