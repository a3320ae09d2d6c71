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

// memoryFile is an in-memory capture file.
type memoryFile struct{ bytes.Buffer }

func (*memoryFile) Close() error { return nil }

// buildTapFile returns a tap file that contains batches and the replies of this build to them.
func buildTapFile(t *testing.T, batches ...[]string) string {
	t.Helper()
	var file strings.Builder
	file.WriteString(">> process 0, 1 bytes\n\n")
	var lines []string
	replied := 0
	for _, batch := range batches {
		lines = append(lines, batch...)
		out, err := runLines(lines...)
		if err != nil {
			t.Fatal(err)
		}
		input := strings.ReplaceAll(strings.Join(batch, "\n")+"\n", "|", "\t")
		reply := strings.ReplaceAll(out[replied:], "|", "\t")
		replied = len(out)
		fmt.Fprintf(&file, ">> process 1, %d bytes\n%s<< process 1, %d bytes\n%s", len(input), input, len(reply), reply)
	}
	return file.String()
}

// importedBatches returns the batches of the tap file that the tests import.
func importedBatches() [][]string {
	return [][]string{
		startBatch,
		{"MARK|110.5", "REQ|3|r-a|0|2|9|2|0|basic|610.5|7|read|0", "EOF_BATCH"},
		{"MARK|111", "BACKENDS_CHANGED|3|update|2|1", "ENTRY|1|k|z|10.0.0.2:5|105.0|1|ready",
			"REQ|3|r-c|0|2|9|2|0|basic|610.5|7|read|-1", "EOF_BATCH"},
		{"MARK|112", "BACKENDS_CHANGED|3|unavailable|2|0", "ACCEPTED|3|r-a|1.0|10.0.0.1:5|0", "EOF_BATCH"},
		{"MARK|120.125", "ANSWER|3|r-a|0|10.0.0.1:5|1|9.625|1|-|-|-", "WITHDRAWN|3|r-c", "EOF_BATCH"},
		{"MARK|300", "RING|3|1", "EOF_BATCH"},
	}
}

// TestImportedCaptureReplaysAlike imports an instance of a tap file into a capture, and checks that the capture
// replays without a difference and contains each of the kinds of records listed below.
func TestImportedCaptureReplaysAlike(t *testing.T) {
	file := buildTapFile(t, importedBatches()...)
	process, err := FindProcess(strings.NewReader(file), 3)
	if err != nil || process != 1 {
		t.Fatal(process, err)
	}
	var captured memoryFile
	recorder := capture.NewRecorder(&captured, "bench-3", "tap", capture.DefaultLimits)
	batches, err := Import(strings.NewReader(file), process, 3, recorder)
	if err := errors.Join(err, recorder.Close(0)); err != nil || batches != 6 {
		t.Fatal(batches, err)
	}
	reader, err := capture.NewReader(&captured)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[capture.Kind]int{}
	report, err := replay.Run(func() (*capture.Record, error) {
		record, err := reader.Next()
		if err == nil {
			kinds[record.Kind]++
		}
		return record, err
	}, replay.Options{})
	if err != nil || !report.Matches() || report.Decisions != 6 {
		t.Errorf("got report %+v and error %v; want 6 decisions that are the same, and no error", report, err)
	}
	if class := report.Classes[0]; class.Succeeded != 1 || class.ClientCancelled != 1 {
		t.Errorf("got class figures %+v, want 1 completed and 1 left", class)
	}
	for _, kind := range []capture.Kind{
		capture.KindEndpointList,
		capture.KindEndpointUpdate,
		capture.KindEndpointListFailed,
		capture.KindStreamStarted,
		capture.KindSubmitted,
		capture.KindClientCancelled,
	} {
		if kinds[kind] == 0 {
			t.Errorf("got no record of kind %v in the capture, want at least one", kind)
		}
	}
}

// TestImportReportsOtherReplies imports a tap file in which a recorded reply differs from the reply of this build.
func TestImportReportsOtherReplies(t *testing.T) {
	file := strings.Replace(buildTapFile(t, importedBatches()...), "ROUTE\t3\tr-a", "ROUTE\t3\tr-z", 1)
	recorder := capture.NewRecorder(&memoryFile{}, "g", "b", capture.DefaultLimits)
	t.Cleanup(func() {
		if err := recorder.Close(0); err != nil {
			t.Error(err)
		}
	})
	_, err := Import(strings.NewReader(file), 1, 3, recorder)
	if !errors.Is(err, ErrRepliesDiffer) || !strings.Contains(err.Error(), "1 of 6") {
		t.Error(err)
	}
}

// TestInvalidTapFileFails reads a text that is not a tap file, truncated tap files, and one without the instance.
func TestInvalidTapFileFails(t *testing.T) {
	file := buildTapFile(t, importedBatches()...)
	for text, want := range map[string]string{
		"hello\n":                        "not a tap file",
		file[:len(file)-3]:               "truncated",
		file + ">> process 1, 5 bytes\n": "truncated",
		file:                             "no instance 9",
	} {
		if _, err := FindProcess(strings.NewReader(text), 9); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("FindProcess: want an error with %q, got %v", want, err)
		}
		if strings.Contains(want, "truncated") {
			if _, err := Import(strings.NewReader(text), 1, 9, nil); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("Import: want an error with %q, got %v", want, err)
			}
		}
	}
}
