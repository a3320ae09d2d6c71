package capacity_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"irispost/internal/capacity"
)

// TestMeasureTake adds the output of `irispost fleet bench --json` and `irispost fleet scale --json` to the records.
// IRISPOST_TAKE=FILE,FILE,... lists the files. IRISPOST_TAKE_COMMAND and IRISPOST_TAKE_COMMIT replace the command and
// the commit that the records name, for files that another command or commit wrote.
func TestMeasureTake(t *testing.T) {
	names := os.Getenv("IRISPOST_TAKE")
	if names == "" {
		t.Skip("IRISPOST_TAKE lists no files")
	}
	m := beginMeasurement(t)
	files := map[string][]byte{}
	for _, name := range strings.Split(names, ",") {
		content, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		files[name] = content
	}
	command := os.Getenv("IRISPOST_TAKE_COMMAND")
	if command == "" {
		command = "irispost fleet bench --followers N --nodes N --json FILE; IRISPOST_TAKE=FILE,... " + m.command
	}
	if commit := os.Getenv("IRISPOST_TAKE_COMMIT"); commit != "" {
		m.commit = commit
	}
	records, leftOut, err := capacity.FromRuns(files, command, m.commit)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range leftOut {
		t.Log("left out: ", line)
	}
	if len(records) == 0 {
		t.Fatal("no figure was measured at three sizes")
	}
	m.records = records
	m.save()
}

// benchRun returns a run of the fleet bench in its JSON form.
func benchRun(followers, nodes int, changeBytes float64) []byte {
	return fmt.Appendf(nil, `{"followers":%d,"nodes":%d,"changes":40,"change_bytes":%g,`+
		`"in_force_ms":{"p50":1,"worst":%d},"keeper_mb":[1,9,4],"text":"no","elections":2}`,
		followers, nodes, changeBytes, followers)
}

// scaleRun returns a run of a scale test in its JSON form.
func scaleRun(gateways int, violations string) []byte {
	return fmt.Appendf(nil, `[{"case":"in-force","size":{"gateways":%d},"figures":{"rest_bytes_s":5},`+
		`"spread":{"last_ms.no fault":{"worst":%d}},"broken":[%s]}]`, gateways, 2*gateways, violations)
}

// A record is made of runs that differ only in one size, and only if there are three sizes or more.
func TestFromRunsMakesASlopeOfRunsThatDifferInOneSize(t *testing.T) {
	files := map[string][]byte{
		"a": benchRun(100, 1800, 4000),
		"b": benchRun(300, 1800, 4000),
		"c": benchRun(780, 1800, 4000),
		"d": benchRun(780, 200, 500),
		"e": benchRun(780, 900, 2000),
		"f": benchRun(100, 200, 1),
		"g": benchRun(780, 1800, 4100),
		"s": scaleRun(60, ""),
		"t": scaleRun(300, ""),
		"u": scaleRun(780, ""),
	}
	records, leftOut, err := capacity.FromRuns(files, "c", "1")
	if err != nil || len(leftOut) != 0 {
		t.Fatal(err, leftOut)
	}
	got := map[string]string{}
	for _, record := range records {
		got[record.Name] = fmt.Sprint(record.Points, record.Unit)
	}
	for name, want := range map[string]string{
		"control_change_bytes_by_followers":                 "[{100 4000} {300 4000} {780 4100}]bytes",
		"control_change_bytes_by_nodes":                     "[{200 500} {900 2000} {1800 4100}]bytes",
		"control_in_force_ms_worst_by_followers":            "[{100 100} {300 300} {780 780}]ms",
		"control_keeper_mb_by_followers":                    "[{100 9} {300 9} {780 9}]MB",
		"control_keeper_mb_others_by_followers":             "[{100 4} {300 4} {780 4}]MB",
		"scale_in_force_last_ms_no_fault_worst_by_gateways": "[{60 120} {300 600} {780 1560}]ms",
	} {
		if got[name] != want {
			t.Errorf("%s: got points and unit %q, want those in the test's table", name, got[name])
		}
	}
	// Five figures of the bench by followers and by nodes, and two of the scale tests. Elections are not a cost.
	if len(records) != 12 {
		t.Errorf("got %d records, want 12: %v", len(records), got)
	}
}

func TestFromRunsMakesASlopeOfMarks(t *testing.T) {
	history := []byte(`{"followers":0,"nodes":1800,"changes":900,"start_ms":3,"marks":[` +
		`{"changes":10,"keeper_mb":[3,4]},{"changes":500,"keeper_mb":[5,6]},{"changes":900,"keeper_mb":[8,7]}]}`)
	records, leftOut, err := capacity.FromRuns(map[string][]byte{"h": history}, "c", "1")
	if err != nil || len(leftOut) != 1 || len(records) != 2 {
		t.Fatalf("got records %v, left out %q, error %v, want 2 records and 1 left out", records, leftOut, err)
	}
	points := fmt.Sprint(records[0].Points)
	if records[0].Name != "history_keeper_mb_by_changes" || points != "[{10 4} {500 6} {900 8}]" {
		t.Errorf("got %v, want history_keeper_mb_by_changes with points {10 4} {500 6} {900 8}", records[0])
	}
}

func TestFromRunsLeavesOutTwoSizes(t *testing.T) {
	files := map[string][]byte{"a": benchRun(1, 1, 1), "b": benchRun(2, 1, 1)}
	records, leftOut, err := capacity.FromRuns(files, "c", "1")
	if err != nil || len(records) != 0 || len(leftOut) == 0 {
		t.Errorf("got records %v, left out %q, error %v, want no records and something left out", records, leftOut, err)
	}
}

func TestFromRunsRejectsWhatIsNoRun(t *testing.T) {
	for name, file := range map[string][]byte{
		"no run":          []byte(`{"a":1}`),
		"not JSON":        []byte(`{`),
		"with violations": scaleRun(60, `"lost"`),
	} {
		files := map[string][]byte{name: file, "x": benchRun(2, 1, 1)}
		_, _, err := capacity.FromRuns(files, "c", "1")
		if err == nil || name != "not JSON" && !errors.Is(err, capacity.ErrBadRun) {
			t.Errorf("%s: got error %v, want one (ErrBadRun if the file is JSON)", name, err)
		}
	}
}
