package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"irispost/internal/day"
)

// otherBuildEnv is the environment variable with the path of another irispost build. Without it the test is skipped.
const otherBuildEnv = "IRISPOST_OTHER_BUILD"

// wrapperScript is started in place of irispost. It executes the other build for replicas and gateways with odd numbers
// and this build for the rest, and records each start. Its third argument is a replica's number or a gateway's
// configuration file.
const wrapperScript = `#!/bin/sh
number=$(basename "$3" | tr -dc 0-9)
if [ $((number % 2)) = 1 ]; then build=OTHER; else build=SELF; fi
echo "$1 $build" >>NOTES
exec $build "$@"
`

// A fleet in which every second replica and gateway runs another build passes the audit without violations. This
// guards against changes that break compatibility between builds. Run it with:
//
//	IRISPOST_OTHER_BUILD=/path/to/irispost go test -run TestFleetOfTwoBuildsAgrees -v ./cmd/irispost
func TestFleetOfTwoBuildsAgrees(t *testing.T) {
	other := os.Getenv(otherBuildEnv)
	if other == "" {
		t.Skip("needs the path of another irispost build in " + otherBuildEnv)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("IRISPOST_TEST_AS_PROGRAM", "1")
	for _, name := range []string{"agree-split", "agree-stopped", "agree-killed"} {
		t.Run(name, func(t *testing.T) {
			startsFile, program := filepath.Join(t.TempDir(), "starts"), filepath.Join(t.TempDir(), "irispost")
			script := strings.NewReplacer("OTHER", other, "SELF", self, "NOTES", startsFile).Replace(wrapperScript)
			if err := os.WriteFile(program, []byte(script), 0o700); err != nil {
				t.Fatal(err)
			}
			report := playScenarioWith(t, name, 7, day.Options{Program: program, Logf: t.Logf})
			if !report.Passed() || report.Agreement.Violations > 0 || report.Agreement.Versions < 4 || report.Succeeded == 0 {
				t.Errorf("got %+v and agreement %+v; want a pass, no violations, 4 versions or more, and requests served",
					report, report.Agreement)
			}
			started, err := os.ReadFile(startsFile)
			if err != nil {
				t.Fatal(err)
			}
			for _, line := range []string{"keeper " + other, "keeper " + self, "serve " + other, "serve " + self} {
				if !strings.Contains(string(started), line+"\n") {
					t.Errorf("missing start %q, got:\n%s", line, started)
				}
			}
			t.Logf("%+v", report.Agreement)
		})
	}
}
