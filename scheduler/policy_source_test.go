package scheduler

import (
	"io/fs"
	"os"
	"strings"
	"testing"
)

// deploy/balancer.toml and PolicySource must list the same policy files.
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
		t.Errorf("deploy/balancer.toml names %d scheduler files, PolicySource contains %d", named, len(names))
	}
	if !strings.Contains(string(PolicySource), "func (s *Scheduler) Decide(") {
		t.Error("PolicySource does not contain Scheduler.Decide")
	}
}
