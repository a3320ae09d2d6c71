package meter

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

func TestParseStatWithAnyProgramName(t *testing.T) {
	const rest = " S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 1 0 100 9999 42"
	for _, name := range []string{"keeper", "a (b) c", ") 1 2"} {
		if cpu, err := parseStat("77 (" + name + ")" + rest); err != nil || cpu != 2*time.Second {
			t.Errorf("name %q: got CPU time %v, error %v, want 2s", name, cpu, err)
		}
	}
	if pages, err := parseStatm("900 33 7 1 0 8 0\n"); err != nil || pages != 33 {
		t.Errorf("got %d pages, error %v, want 33", pages, err)
	}
}

func TestParseRejectsMalformedText(t *testing.T) {
	for _, malformed := range []string{
		"",
		"1 (x) S",
		"77 (x) S 1 2 3 4 5 6 7 8 9 10 a 50",
		"77 (x) S 1 2 3 4 5 6 7 8 9 10 1 b",
	} {
		if _, err := parseStat(malformed); err == nil {
			t.Errorf("parseStat(%q): got no error, want one", malformed)
		}
		if _, err := parseStatm(malformed); err == nil {
			t.Errorf("parseStatm(%q): got no error, want one", malformed)
		}
	}
}

func TestProcessSeesTimeAndMemorySpent(t *testing.T) {
	before, err := ProcessUsage(os.Getpid())
	if err != nil || before.MB < 1 {
		t.Fatalf("got usage %+v, error %v, want at least 1 MB", before, err)
	}
	memory := make([]byte, 64<<20)
	for after := before; after.CPU == before.CPU || after.MB < before.MB+50; { // uses CPU time until the usage shows it
		for i := range memory {
			memory[i]++
		}
		if after, err = ProcessUsage(os.Getpid()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := ProcessUsage(1 << 30); err == nil {
		t.Error("got no error, want one for a process that does not exist")
	}
}

func TestFolderCountsFilesBelow(t *testing.T) {
	dir := t.TempDir()
	if err := os.MkdirAll(filepath.Join(dir, "a", "b"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, size := range map[string]int{"x": 1000, "a/b/y": 234} {
		if err := os.WriteFile(filepath.Join(dir, name), make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if n, err := DirSize(dir); n != 1234 || err != nil {
		t.Errorf("got %d bytes, error %v, want 1234", n, err)
	}
	if _, err := DirSize(filepath.Join(dir, "none")); err == nil {
		t.Error("got no error, want one for a directory that does not exist")
	}
}
