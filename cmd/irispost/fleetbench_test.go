package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runMeasurement runs "fleet bench" with additional arguments. It returns the output and the results in the JSON
// file.
func runMeasurement(t *testing.T, args string) (text string, figures map[string]any) {
	t.Helper()
	t.Setenv("IRISPOST_TEST_AS_PROGRAM", "1")
	file := filepath.Join(t.TempDir(), "figures.json")
	text, err := run(append(strings.Fields("fleet bench --idle 2s --nodes 20 --json "+file), strings.Fields(args)...)...)
	if err != nil {
		t.Fatal(text, err)
	}
	encoded, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(encoded, &figures)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s\n%s", text, encoded)
	return text, figures
}

// checkPositive checks that the named figures exist and are positive, including each number in lists and objects.
func checkPositive(t *testing.T, figures map[string]any, names string) {
	t.Helper()
	for _, name := range strings.Fields(names) {
		if !isPositive(figures[name]) {
			t.Errorf("%s: got %v, want only positive numbers", name, figures[name])
		}
	}
}

func isPositive(value any) bool {
	switch v := value.(type) {
	case float64:
		return v > 0
	case []any:
		for _, element := range v {
			if !isPositive(element) {
				return false
			}
		}
		return len(v) > 0
	case map[string]any:
		for _, element := range v {
			if !isPositive(element) {
				return false
			}
		}
		return len(v) > 0
	}
	return false
}

// All figures are present and, with two exceptions, positive: CPU time has a resolution of 10 ms, so a few followers
// may use none, and the memory of three followers is too small to show in that of the process.
func TestFleetBenchMeasuresAllFigures(t *testing.T) {
	text, figures := runMeasurement(t, "--followers 3 --changes 2")
	checkPositive(t, figures, `followers nodes changes rest_bytes_s change_bytes change_bytes_worst day_bytes_s follower_core
		in_force_ms announced_ms keeper_mb keeper_mb_start leader_out_bytes_change first_start_ms again_ms changes_by_kind
		version_bytes`)
	for _, name := range strings.Fields("follower_core_day follower_mb keeper_core keeper_core_others keeper_ends") {
		if _, ok := figures[name].(float64); !ok {
			t.Errorf("%s: got %v, want a number", name, figures[name])
		}
	}
	if figures["followers"] != 3.0 || figures["nodes"] != 20.0 || figures["changes"] != 2.0 || len(figures["keeper_mb"].([]any)) != 3 ||
		figures["in_force_killed_ms"] != nil {
		t.Errorf("got %v; want 3 followers, 20 nodes, 2 changes, the memory of 3 replicas, and no time with a replica killed",
			figures)
	}
	inForce, announced := figures["in_force_ms"].(map[string]any), figures["announced_ms"].(map[string]any)
	if inForce["worst"].(float64) < announced["worst"].(float64) || len(inForce) != 3 || len(announced) != 3 {
		t.Errorf("got in force %v, announced %v; want 3 quantiles each, and the worst in force no less than announced",
			inForce, announced)
	}
	if v := figures["change_bytes"].(float64); v > 100*figures["version_bytes"].(float64) || figures["leader_out_bytes_change"].(float64) < v {
		t.Errorf("got %v bytes per change to a gateway, %v sent by the leader; want at most 100 versions, and no fewer sent",
			v, figures["leader_out_bytes_change"])
	}
	for _, word := range []string{"3 followers, 20 nodes", "1 by a node that is replaced, 1 by a plan's limit",
		"from proposal to announced: median"} {
		if !strings.Contains(text, word) {
			t.Errorf("missing %q in output %s", word, text)
		}
	}
}

// With --kill, changes are measured separately while the killed leader is down, and it is restarted.
func TestFleetBenchMeasuresChangesWithoutTheLeader(t *testing.T) {
	text, figures := runMeasurement(t, "--followers 3 --changes 8 --kill")
	checkPositive(t, figures, "in_force_ms in_force_killed_ms changes_killed elections keeper_mb")
	killed := figures["changes_killed"].(float64)
	if killed < 2 || killed > 4 || !strings.Contains(text, "which led, is killed") || !strings.Contains(text, "is started again") {
		t.Errorf("got %v of 8 changes with a replica down, want 2 to 4 and the kill and restart in output %s", killed, text)
	}
}

// Growth is measured at each mark, both without followers and with a few.
func TestFleetBenchMeasuresGrowthAtMarks(t *testing.T) {
	for _, args := range []string{"--marks 2,6", "--marks 4 --followers 2"} {
		text, figures := runMeasurement(t, args)
		checkPositive(t, figures, "nodes changes marks in_force_ms start_ms join_ms join_bytes changes_by_kind")
		marks := figures["marks"].([]any)
		last := marks[len(marks)-1].(map[string]any)
		if len(marks) != strings.Count(args, ",")+1 || last["changes"] != figures["changes"] ||
			len(last["keeper_mb"].([]any)) != 3 || len(last["folder_bytes"].([]any)) != 3 {
			t.Errorf("%s: got marks %v; want one per mark, the last at all changes, each with 3 replicas", args, marks)
		}
		if !strings.Contains(text, "after 4 changes") && !strings.Contains(text, "after 6 changes") {
			t.Errorf("got output %s, want progress after 4 or 6 changes", text)
		}
	}
}

// Invalid options and unwritable output files are rejected before anything starts, with a one-line error that names
// the option. An existing output file keeps its content until the results replace it.
func TestFleetBenchRejectsWhatCannotBeMeasured(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "figures.json")
	if err := os.WriteFile(file, []byte("kept"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, word := range map[string]string{
		"--followers 0":                  "--followers 0",
		"--followers -3":                 "--followers -3",
		"--nodes 0":                      "--nodes 0",
		"--nodes -1":                     "--nodes -1",
		"--changes 0":                    "--changes 0",
		"--changes -1":                   "--changes -1",
		"--marks 5,3":                    "--marks [5 3]",
		"--marks 5 --changes 3":          "--changes and --marks",
		"--kill --changes 2":             "--kill",
		"--json " + dir:                  dir,
		"--json " + dir + "/none/x.json": "none/x.json",
		"--json /dev/null":               "not a regular file",
		"--json /proc/x.json":            "/proc/x.json",
	} {
		_, err := run(append(strings.Fields("fleet bench --json "+file), strings.Fields(args)...)...)
		if err == nil || !strings.Contains(err.Error(), word) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line that names the problem", args, err)
		}
	}
	reserved, err := reserveFile(file)
	if err != nil {
		t.Fatal(err)
	}
	reserved.discard() // as after a failed measurement
	left, _ := os.ReadDir(dir)
	if b, _ := os.ReadFile(file); string(b) != "kept" || len(left) != 1 {
		t.Errorf("after discard: got content %q and files %v, want \"kept\" and only that file", b, left)
	}
	if reserved.save([]byte("late")) == nil {
		t.Error("save after discard succeeded, want an error")
	}
	if reserved, err = reserveFile(file); err != nil {
		t.Fatal(err)
	}
	if err := reserved.save([]byte("new")); err != nil {
		t.Fatal(err)
	}
	if b, _ := os.ReadFile(file); string(b) != "new" {
		t.Errorf("after save: got content %q, want \"new\"", b)
	}
}
