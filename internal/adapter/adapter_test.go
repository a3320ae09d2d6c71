package adapter

import (
	"bytes"
	"strings"
	"testing"

	"irispost/internal/wire"
)

// runLines runs an adapter on input lines, in which "|" replaces the tab character. It returns the replies in the
// same form, and the error of the adapter.
func runLines(lines ...string) (string, error) {
	in := strings.ReplaceAll(strings.Join(lines, "\n")+"\n", "|", "\t")
	var out bytes.Buffer
	err := Run(strings.NewReader(in), &out, nil)
	return strings.ReplaceAll(out.String(), "\t", "|"), err
}

const initLine = "INIT|3|77|contract.unheard_of=1|discovery=ask|lanes.count=1|lanes.0.name=read|" +
	"lanes.0.target_ms=200.0|lanes.0.hard_limit_ms=500.0|lanes.0.effect=read_like|lanes.0.group=all|domain.unit_mean=2.0|" +
	"permissions.retry_after=true|permissions.max_retry_after_ms=1000.0|permissions.attempts_cap=3"

var startBatch = []string{"MARK|100.25", initLine, "BACKENDS_CHANGED|3|restored|1|1",
	"ENTRY|1|k|z|10.0.0.1:5|-|0|ready", "EOF_BATCH"}

func TestRequestFromArrivalToAnswer(t *testing.T) {
	out, err := runLines(append(startBatch,
		"MARK|110.5", "REQ|3|r-a|0|2|9|2|0|basic|610.5|7|read|0|later|fields", "EOF_BATCH",
		"MARK|120.125", "ANSWER|3|r-a|0|10.0.0.1:5|1|9.625|1|-|-|-", "ANSWER|3|r-none|0|10.0.0.1:5|1|9|1",
		"WITHDRAWN|3|r-a", "EOF_BATCH",
		"MARK|130", "DOWN|3", "RING|3|1", "REQ|3|r-b|0|2|9|2|0|basic|610.5|7|read|0", "EOF_BATCH")...)
	replies := strings.Split(out, "ACK\n")
	if err != nil || len(replies) != 5 || replies[3] != "" {
		t.Fatalf("got error %v and replies %q; want no error and 4 replies, the last without actions", err, out)
	}
	for i, expected := range []string{"SUBSCRIBE|3|1\n", "ROUTE|3|r-a|0.000|10.0.0.1:5\n"} {
		if !strings.Contains(replies[i], expected) {
			t.Errorf("reply %d: got %q, want it to contain %q", i, replies[i], expected)
		}
	}
}

func TestMalformedLinesAreNamed(t *testing.T) {
	for line, want := range map[string]string{
		"REQ|3|r-a|0|2|9|many|0|basic|610.5|7|read|0": `line 7: REQ: quota_units: "many" is not a number`,
		"ANSWER|3|r-a|0|x|9|1|1":                      "line 7: ANSWER: ending: no such completion code",
		"REQ|3|r-a":                                   "line 7: REQ: disk: missing",
		"NOISE|3":                                     `line 7: unknown event "NOISE"`,
		"BACKENDS_CHANGED|3|update|2|1":               `line 7: BACKENDS_CHANGED: expected an ENTRY line, got "EOF_BATCH"`,
	} {
		_, err := runLines(append(startBatch, "MARK|110.5", line, "EOF_BATCH")...)
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("input %q: got error %v, want one that begins with %q", line, err, want)
		}
	}
}

func TestSchedulerPanicIsReportedAsInternalError(t *testing.T) {
	i := &instance{number: 4}
	var out bytes.Buffer
	a := adapter{out: wire.NewWriter(&out)}
	a.decide(i, 5) // panics, because the instance has no scheduler
	if err := a.out.Flush(); err != nil || !strings.HasPrefix(out.String(), "INTERNAL_ERROR\t4\t") {
		t.Errorf("got error %v and output %q, want no error and an INTERNAL_ERROR action", err, out.String())
	}
}
