package scheduler

import (
	"io/fs"
	"os"
	"strings"
	"testing"
)

// The deploy file names the same files as policy as PolicySource holds.
func TestPolicySourceIsThePolicyOfTheDeployFile(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	names, err := fs.Glob(policyFiles, "*")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if !strings.Contains(string(deploy), `"scheduler/`+name+`"`) {
			t.Errorf("deploy/balancer.toml does not name scheduler/%s", name)
		}
	}
	if named := strings.Count(string(deploy), `"scheduler/`); named != len(names) {
		t.Errorf("deploy/balancer.toml names %d files of the scheduler, PolicySource has %d", named, len(names))
	}
	if !strings.Contains(string(PolicySource), "func (s *Scheduler) Decide(") {
		t.Error("PolicySource lacks Scheduler.Decide")
	}
}
