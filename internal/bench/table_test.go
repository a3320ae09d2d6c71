package bench

import (
	"bytes"
	"strings"
	"testing"

	"irispost/internal/sftp"
)

func TestMedianRatioIsOfPairsOfRounds(t *testing.T) {
	results := []loadResult{{rate: 90}, {rate: 10}, {rate: 30}}
	base := []loadResult{{rate: 100}, {rate: 20}, {rate: 40}}
	if got := medianRatio(results, base); got != 0.75 { // of 0.9, 0.5 and 0.75
		t.Errorf("median ratio: got %v, want 0.75", got)
	}
}

func TestTableHasARowOfMediansForEachCase(t *testing.T) {
	var out bytes.Buffer
	table := newTable(&out)
	table.writeCase(testCase{"read", sftp.Read, 4096, 16}, caseResults{
		direct:    []loadResult{{rate: 1000, p50: 100, p99: 200}},
		through:   []loadResult{{rate: 800, p50: 150, p99: 290, cpu: 12.34, failed: 1}},
		captured:  []loadResult{{rate: 600}},
		following: []loadResult{{rate: 400, failed: 2}},
	})
	if err := table.Flush(); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("got lines %q, want a header and one row", lines)
	}
	want := "read 4096 16 1000 800 0.80 50 90 12.3 0.75 0.50 3"
	if got := strings.Join(strings.Fields(lines[1]), " "); got != want {
		t.Errorf("row: got %s, want %s", got, want)
	}
	if !strings.HasSuffix(lines[0], "captured/through  followed/through  failed") {
		t.Errorf("header: got %q, want it to end with the ratios and the failures", lines[0])
	}
}

func TestConfigsOfCaptureAndFollowingDifferFromThePlainOneInOneThing(t *testing.T) {
	capture := captureConfig("/folder")
	for _, want := range []string{`gateway "captured" {`, `folder = "/folder"`, `nodes  = "nodes.hcl"`} {
		if !strings.Contains(capture, want) {
			t.Errorf("configuration with capture: got no %s, want it", want)
		}
	}
	follow := followConfig([]string{"a:1", "b:2"})
	if !strings.Contains(follow, `gateway "followed" {`) || !strings.Contains(follow, `keepers = ["a:1", "b:2"]`) {
		t.Error(follow)
	}
	if strings.Contains(follow, "nodes.hcl") {
		t.Error("configuration that follows replicas: got a node list, want none")
	}
}
