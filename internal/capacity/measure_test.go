package capacity_test

import (
	"io"
	"log/slog"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/renameio/v2"

	"irispost/internal/capacity"
)

const (
	recordFile = "../../docs/capacity.json"
	pageFile   = "../../docs/CAPACITY.md"
)

// readPage returns the content of the page in the working tree.
func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// readRecords returns the records in the working tree.
func readRecords(t *testing.T) capacity.Records {
	t.Helper()
	records, err := capacity.Read(recordFile)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// skipUnlessMeasuring skips a measurement unless IRISPOST_MEASURE is set.
func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if os.Getenv("IRISPOST_MEASURE") == "" {
		t.Skip("runs only as a measurement, with IRISPOST_MEASURE=1")
	}
}

// isTrial reports whether this is a trial, whose measurements are not saved.
func isTrial() bool { return os.Getenv("IRISPOST_TRIAL") != "" }

// measurement collects the records of one measurement.
type measurement struct {
	t       *testing.T
	command string
	commit  string
	records []*capacity.Record
}

// beginMeasurement begins the measurement of a test, or skips the test if none is requested.
func beginMeasurement(t *testing.T) *measurement {
	t.Helper()
	skipUnlessMeasuring(t)
	commit, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		t.Fatalf("cannot determine the commit: %v", err)
	}
	changed, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no", ":/", ":!/docs").Output()
	if err != nil {
		t.Fatal(err)
	}
	name := strings.TrimSpace(string(commit))
	if len(changed) > 0 {
		name += " and changes"
	}
	command := "IRISPOST_MEASURE=1 go test -run '" + t.Name() + "$' ./internal/capacity"
	return &measurement{t: t, commit: name, command: command}
}

// add adds the value at one size to the record with the given name, which it creates first if necessary.
func (m *measurement) add(origin capacity.Origin, name, unit, over string, size, value float64) {
	m.t.Helper()
	m.t.Logf("%s: %g %s at %g %s", name, value, unit, size, over)
	point := capacity.Point{Size: size, Measured: value}
	for _, record := range m.records {
		if record.Name == name {
			record.Points = append(record.Points, point)
			return
		}
	}
	m.records = append(m.records, &capacity.Record{
		Name:    name,
		Unit:    unit,
		Over:    over,
		Origin:  origin,
		Command: m.command,
		Commit:  m.commit,
		Points:  []capacity.Point{point},
	})
}

// addMeasured adds a value that was measured on real sockets or processes, or as processor time.
func (m *measurement) addMeasured(name, unit, over string, size, value float64) {
	m.t.Helper()
	m.add(capacity.Measured, name, unit, over, size, value)
}

// save merges the records into the file of records.
func (m *measurement) save() {
	m.t.Helper()
	if err := capacity.Merge(recordFile, m.records...); err != nil {
		m.t.Fatal(err)
	}
	for _, record := range m.records {
		m.t.Logf("%s: %s", record.Name, record)
	}
}

// heapKB returns the size of the live heap in KB.
func heapKB() float64 {
	for range 3 { // a sync.Pool releases its content only at the second collection after its last use
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / 1e3
}

// meanMicros returns the mean time of a call in microseconds.
func meanMicros(count int, call func(i int)) float64 {
	startedAt := time.Now()
	for i := range count {
		call(i)
	}
	return float64(time.Since(startedAt).Nanoseconds()) / float64(count) / 1e3
}

// discardLogger returns a logger that discards all messages.
func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// TestMeasurePage generates the page's figures from the records. It leaves the list of what is missing unchanged;
// TestPage reports what has to change there.
func TestMeasurePage(t *testing.T) {
	skipUnlessMeasuring(t)
	page, err := capacity.Fill(readPage(t), readRecords(t), capacity.PlannedSize)
	if err != nil {
		t.Fatal(err)
	}
	if err := renameio.WriteFile(pageFile, []byte(page), 0o644); err != nil {
		t.Fatal(err)
	}
}
