package capacity_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"irispost/internal/capacity"
)

// TestMeasureTake takes in what `irispost fleet bench --json` and `irispost fleet scale --json` wrote: IRISPOST_TAKE=FILE,FILE,...
// IRISPOST_TAKE_COMMAND and IRISPOST_TAKE_COMMIT say how and of which text they were made, where that is not the one that takes them in.
func TestMeasureTake(t *testing.T) {
	names := os.Getenv("IRISPOST_TAKE")
	if names == "" {
		t.Skip("IRISPOST_TAKE names no files")
	}
	s := begin(t)
	files := map[string][]byte{}
	for _, name := range strings.Split(names, ",") {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		files[name] = b
	}
	command := os.Getenv("IRISPOST_TAKE_COMMAND")
	if command == "" {
		command = "irispost fleet bench --followers N --nodes N --json FILE; IRISPOST_TAKE=FILE,... " + s.command
	}
	if commit := os.Getenv("IRISPOST_TAKE_COMMIT"); commit != "" {
		s.commit = commit
	}
	list, left, err := capacity.Taken(files, command, s.commit)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range left {
		t.Log("left out: ", line)
	}
	if len(list) == 0 {
		t.Fatal("nothing has three sizes")
	}
	s.list = list
	s.keep()
}

func benchRun(followers, nodes int, change float64) []byte {
	return fmt.Appendf(nil, `{"followers":%d,"nodes":%d,"changes":40,"change_bytes":%g,"in_force_ms":{"p50":1,"worst":%d},"keeper_mb":[1,9,4],"text":"no","elections":2}`, followers, nodes, change, followers)
}

func scaleRun(gateways int, broken string) []byte {
	return fmt.Appendf(nil, `[{"case":"in-force","size":{"gateways":%d},"figures":{"rest_bytes_s":5},"spread":{"last_ms.no fault":{"worst":%d}},"broken":[%s]}]`, gateways, 2*gateways, broken)
}

// TestTaken: slopes come from runs that differ in one size alone, at three sizes or more, and what cannot be a run is refused.
func TestTaken(t *testing.T) {
	files := map[string][]byte{"a": benchRun(100, 1800, 4000), "b": benchRun(300, 1800, 4000), "c": benchRun(780, 1800, 4000), "d": benchRun(780, 200, 500), "e": benchRun(780, 900, 2000),
		"f": benchRun(100, 200, 1), "g": benchRun(780, 1800, 4100), "s": scaleRun(60, ""), "t": scaleRun(300, ""), "u": scaleRun(780, "")}
	list, left, err := capacity.Taken(files, "c", "1")
	if err != nil || len(left) != 0 {
		t.Fatal(err, left)
	}
	got := map[string]string{}
	for _, r := range list {
		got[r.Name] = fmt.Sprint(r.Points, r.Unit)
	}
	for name, want := range map[string]string{"control_change_bytes_by_followers": "[{100 4000} {300 4000} {780 4100}]bytes", "control_change_bytes_by_nodes": "[{200 500} {900 2000} {1800 4100}]bytes",
		"control_in_force_ms_worst_by_followers": "[{100 100} {300 300} {780 780}]ms", "control_keeper_mb_by_followers": "[{100 9} {300 9} {780 9}]MB",
		"control_keeper_mb_others_by_followers": "[{100 4} {300 4} {780 4}]MB", "scale_in_force_last_ms_no_fault_worst_by_gateways": "[{60 120} {300 600} {780 1560}]ms"} {
		if got[name] != want {
			t.Errorf("%s: %s", name, got[name])
		}
	}
	if len(list) != 12 { // five of the bench by followers and by nodes, two of the scale tests, and no elections
		t.Errorf("%d records: %v", len(list), got)
	}
	history := []byte(`{"followers":0,"nodes":1800,"changes":900,"start_ms":3,"marks":[{"changes":10,"keeper_mb":[3,4]},{"changes":500,"keeper_mb":[5,6]},{"changes":900,"keeper_mb":[8,7]}]}`)
	list, left, err = capacity.Taken(map[string][]byte{"h": history}, "c", "1")
	if err != nil || len(left) != 1 || len(list) != 2 || list[0].Name != "history_keeper_mb_by_changes" || fmt.Sprint(list[0].Points) != "[{10 4} {500 6} {900 8}]" {
		t.Errorf("%v, %v, %v", list, left, err)
	}
	for name, b := range map[string][]byte{"two sizes": benchRun(1, 1, 1), "no run": []byte(`{"a":1}`), "not JSON": []byte(`{`), "a case that broke": scaleRun(60, `"lost"`)} {
		if list, left, err := capacity.Taken(map[string][]byte{name: b, "x": benchRun(2, 1, 1)}, "c", "1"); err == nil && (len(list) != 0 || len(left) == 0) {
			t.Errorf("%s is taken: %v", name, list)
		}
	}
}
