package adapter

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"irispost/internal/capture"
	"irispost/internal/replay"
)

type memory struct{ bytes.Buffer }

func (*memory) Close() error { return nil }

// tapOf is a tap of batches, with what this build answers.
func tapOf(t *testing.T, batches ...[]string) string {
	t.Helper()
	tap, all, before := "", []string(nil), 0
	for _, b := range batches {
		all = append(all, b...)
		out, err := talk(all...)
		if err != nil {
			t.Fatal(err)
		}
		in := strings.ReplaceAll(strings.Join(b, "\n")+"\n", "|", "\t")
		reply := strings.ReplaceAll(out[before:], "|", "\t")
		before = len(out)
		tap += fmt.Sprintf(">> process 1, %d bytes\n%s<< process 1, %d bytes\n%s", len(in), in, len(reply), reply)
	}
	return ">> process 0, 1 bytes\n\n" + tap
}

// An instance of a tap becomes a capture that replays the same; a tap of a build that answers otherwise is told.
func TestImport(t *testing.T) {
	tap := tapOf(t, opening,
		[]string{"MARK|110.5", "REQ|3|r-a|0|2|9|2|0|basic|610.5|7|read|0", "EOF_BATCH"},
		[]string{"MARK|111", "BACKENDS_CHANGED|3|update|2|1", "ENTRY|1|k|z|10.0.0.2:5|105.0|1|ready", "REQ|3|r-c|0|2|9|2|0|basic|610.5|7|read|-1", "EOF_BATCH"},
		[]string{"MARK|112", "BACKENDS_CHANGED|3|unavailable|2|0", "ACCEPTED|3|r-a|1.0|10.0.0.1:5|0", "EOF_BATCH"},
		[]string{"MARK|120.125", "ANSWER|3|r-a|0|10.0.0.1:5|1|9.625|1|-|-|-", "WITHDRAWN|3|r-c", "EOF_BATCH"},
		[]string{"MARK|300", "RING|3|1", "EOF_BATCH"})
	process, err := FindProcess(strings.NewReader(tap), 3)
	if err != nil || process != 1 {
		t.Fatal(process, err)
	}
	var m memory
	rec := capture.NewRecorder(&m, "bench-3", "tap", capture.DefaultLimits)
	batches, err := Import(strings.NewReader(tap), process, 3, rec)
	if err := errors.Join(err, rec.Close(0)); err != nil || batches != 6 {
		t.Fatal(batches, err)
	}
	r, err := capture.NewReader(&m)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[capture.Kind]int{}
	report, err := replay.Run(func() (*capture.Record, error) {
		rec, err := r.Next()
		if err == nil {
			kinds[rec.Kind]++
		}
		return rec, err
	}, replay.Options{})
	if err != nil || !report.Same() || report.Decisions != 6 || report.Products[0].Completed != 1 || report.Products[0].Left != 1 {
		t.Errorf("%+v, %v", report, err)
	}
	for _, k := range []capture.Kind{capture.Listed, capture.ListedPart, capture.ListFailed, capture.Begun, capture.Take, capture.Left} {
		if kinds[k] == 0 {
			t.Errorf("the capture has no record of %v", k)
		}
	}
	other := strings.Replace(tap, "ROUTE\t3\tr-a", "ROUTE\t3\tr-z", 1)
	if _, err := Import(strings.NewReader(other), 1, 3, rec2(t)); !errors.Is(err, ErrRepliesDiffer) || !strings.Contains(err.Error(), "1 of 6") {
		t.Errorf("another build's tap: %v", err)
	}
	for text, want := range map[string]string{"hello\n": "no tap", tap[:len(tap)-3]: "cut off", tap: "no instance 9"} {
		if _, err := FindProcess(strings.NewReader(text), 9); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

func rec2(t *testing.T) *capture.Recorder {
	rec := capture.NewRecorder(&memory{}, "g", "b", capture.DefaultLimits)
	t.Cleanup(func() { rec.Close(0) })
	return rec
}
