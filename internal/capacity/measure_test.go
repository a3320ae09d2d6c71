package capacity_test

import (
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"

	"github.com/google/renameio/v2"

	"irispost/internal/capacity"
)

const (
	recordFile = "../../docs/capacity.json"
	pageFile   = "../../docs/CAPACITY.md"
)

func readPage(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func readRecords(t *testing.T) capacity.Records {
	t.Helper()
	all, err := capacity.Read(recordFile)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// measured skips a measurement unless one is asked for.
func measured(t *testing.T) {
	t.Helper()
	if os.Getenv("IRISPOST_MEASURE") == "" {
		t.Skip("a measurement: IRISPOST_MEASURE=1")
	}
}

// set is a measurement's records, by name.
type set struct {
	t       *testing.T
	command string
	commit  string
	list    []*capacity.Record
}

func begin(t *testing.T) *set {
	measured(t)
	commit, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		t.Fatalf("no commit to name: %v", err)
	}
	changed, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no", ":/", ":!/docs").Output()
	if err != nil {
		t.Fatal(err)
	}
	name := strings.TrimSpace(string(commit))
	if len(changed) > 0 {
		name += " and changes"
	}
	return &set{t: t, commit: name, command: "IRISPOST_MEASURE=1 go test -run '" + t.Name() + "$' ./internal/capacity"}
}

// add notes what one size came to.
func (s *set) add(how capacity.How, name, unit, over string, size, value float64) {
	s.t.Logf("%s: %g %s at %g %s", name, value, unit, size, over)
	for _, r := range s.list {
		if r.Name == name {
			r.Points = append(r.Points, capacity.Point{Size: size, Measured: value})
			return
		}
	}
	s.list = append(s.list, &capacity.Record{Name: name, Unit: unit, Over: over, How: how, Command: s.command, Commit: s.commit,
		Points: []capacity.Point{{Size: size, Measured: value}}})
}

// keep takes the measurement into the file.
func (s *set) keep() {
	s.t.Helper()
	if err := capacity.Merge(recordFile, s.list...); err != nil {
		s.t.Fatal(err)
	}
	for _, r := range s.list {
		s.t.Logf("%s: %s", r.Name, r)
	}
}

// heap is what is in use, in KB.
func heap() float64 {
	for range 3 { // what pools hold goes with the second after its last use
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e3
}

// TestMeasurePage writes the page's figures from the records. What is missing stays as it was written; TestPage tells what has to change there.
func TestMeasurePage(t *testing.T) {
	measured(t)
	page, err := capacity.Fill(readPage(t), readRecords(t), capacity.Letter)
	if err != nil {
		t.Fatal(err)
	}
	if err := renameio.WriteFile(pageFile, []byte(page), 0o644); err != nil {
		t.Fatal(err)
	}
}
