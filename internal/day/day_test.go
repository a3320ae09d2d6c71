package day

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestLoadAcceptsTheExamples(t *testing.T) {
	var files []string
	for _, pattern := range []string{"../../examples/day-*.hcl", "../../examples/fleet-*.hcl"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, found...)
	}
	if len(files) < 10 {
		t.Errorf("found %d scripts, want at least 10", len(files))
	}
	for _, file := range files {
		if _, err := Load(file); err != nil {
			t.Error(err)
		}
	}
}

func TestParseRejectsWithPlaceAndReason(t *testing.T) {
	source, err := os.ReadFile("../../examples/day-mixed.hcl")
	if err != nil {
		t.Fatal(err)
	}
	example := string(source)
	for _, c := range []struct{ old, new, want string }{
		{`length   = "22s"`, `length = "22"`, "not a duration"},
		{`gateways = 2`, `gateways = 0`, "1 to 64 gateways"},
		{`node = "a"`, `node = "z"`, `node "z" does not exist`},
		{`do   = "hang"`, `do = "sulk"`, "not an action on nodes"},
		{`gateway = "g2"`, `gateway = "g9"`, "g1 to g2"},
		{`do     = "read"`, `do = "sing"`, "sing"},
		{`bytes  = 131072`, `bytes = 5`, "multiple of 4096"},
		{`rate   = 15`, `rate = -1`, "rate = -1"},
	} {
		if !strings.Contains(example, c.old) {
			t.Fatalf("the example does not contain %q", c.old)
		}
		_, err := Parse("day.hcl", []byte(strings.Replace(example, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "day.hcl:") {
			t.Errorf("Parse with %q: got error %v, want one that names the position and the problem", c.new, err)
		}
		if scriptError := new(ScriptError); !errors.As(err, &scriptError) || len(scriptError.Problems) == 0 {
			t.Errorf("Parse with %q: got an error of type %T, want a *ScriptError with problems", c.new, err)
		}
	}
}

func TestUntornFindsATornBlock(t *testing.T) {
	data := make([]byte, 2*blockSize)
	copy(data, strings.Repeat("12345678", blockSize/8))
	if !untorn(data) {
		t.Error("untorn: got false for two blocks that repeat one word, want true")
	}
	data[blockSize+9]++
	if untorn(data) {
		t.Error("untorn: got true for data with a torn block, want false")
	}
}

// TestPlayShortScenariosWithoutViolation plays shortened example scenarios with their faults. No rule may be violated,
// whatever the speed of the machine. The share of requests served within their objective depends on that speed and is
// not checked.
func TestPlayShortScenariosWithoutViolation(t *testing.T) {
	for _, name := range []string{"bad-morning", "replacement", "mixed", "rolling"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := shortScript(t, "../../examples/day-"+name+".hcl")
			options := Options{}
			if name == "rolling" { // with a management server, long enough for its restart
				script.Length = 7 * time.Second
				options.EndpointSource = sourceIncremental
			}
			report, err := Play(t.Context(), script, options)
			if err != nil {
				t.Fatal(err)
			}
			if !report.Passed() || report.Sent == 0 || report.Succeeded == 0 {
				t.Errorf("got report %+v, want one that passed with requests sent and served", report)
			}
		})
	}
}

// shortScript loads a script and reduces its duration to a third and its request rates to half. As a slow machine
// responds late, it allows more time for responses and attempts: the test checks that each request gets one response.
func shortScript(t *testing.T, file string) *Script {
	t.Helper()
	script, err := Load(file)
	if err != nil {
		t.Fatal(err)
	}
	script.Slack = 5 * time.Second
	script.Transit = 2 * time.Second
	script.Length /= 3
	for i := range script.Faults {
		script.Faults[i].At /= 3
		script.Faults[i].For /= 3
	}
	for i := range script.Clients {
		script.Clients[i].Rate /= 2
	}
	return script
}
