package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"irispost/internal/day"
)

// otherBuild names the environment variable with the path of another build of irispost; without it the test has nothing to play beside.
const otherBuildEnv = "IRISPOST_OTHER_BUILD"

// wrapper starts replicas and gateways with odd numbers in the other build and the rest in this one, and notes each start. Its
// third argument is a replica's number or a gateway's configuration file.
const wrapperScript = `#!/bin/sh
number=$(basename "$3" | tr -dc 0-9)
if [ $((number % 2)) = 1 ]; then build=OTHER; else build=SELF; fi
echo "$1 $build" >>NOTES
exec $build "$@"
`

// A fleet of which every second replica and gateway runs another build agrees, and breaks no rule:
//
//	IRISPOST_OTHER_BUILD=/path/to/irispost go test -run TestFleetOfTwoBuildsAgrees -v ./cmd/irispost
func TestFleetOfTwoBuildsAgrees(t *testing.T) {
	other := os.Getenv(otherBuildEnv)
	if other == "" {
		t.Skip("needs another build of the program in " + otherBuildEnv)
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
				t.Errorf("%+v, %+v", report, report.Agreement)
			}
			started, err := os.ReadFile(startsFile)
			if err != nil {
				t.Fatal(err)
			}
			for _, line := range []string{"keeper " + other, "keeper " + self, "serve " + other, "serve " + self} {
				if !strings.Contains(string(started), line+"\n") {
					t.Errorf("no start of %q among:\n%s", line, started)
				}
			}
			t.Logf("%+v", report.Agreement)
		})
	}
}
