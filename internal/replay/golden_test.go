package replay

import (
	"fmt"
	"os"
	"reflect"
	"testing"

	"irispost/internal/capture"
	"irispost/internal/testkit/golden"
)

// records reads a capture to its end. It clears the digest of the scheduler's source, which changes with every edit.
func records(t *testing.T, b []byte) (all []*capture.Record) {
	t.Helper()
	next := openCapture(t, b)
	for {
		rec, err := next()
		if err != nil {
			return all
		}
		rec.Digest = 0
		all = append(all, rec)
	}
}

// Captures that an earlier build wrote, one from the scheduler's start and one from a snapshot, must replay without a
// difference, and this build must write the same records for the same events.
func TestCapturesOfAnEarlierBuildStayReadable(t *testing.T) {
	for _, c := range []struct {
		name      string
		from      int // the event before which the capture starts; 0: the scheduler's start
		decisions int64
	}{{"start", 0, 156}, {"state", 120, 79}} {
		t.Run(c.name, func(t *testing.T) {
			var now memoryFile
			rec := capture.NewRecorder(&now, "g", "b", testLimits())
			if err := rec.Close(driveFrom(41, 250, c.from, rec)); err != nil {
				t.Fatal(err)
			}
			file := fmt.Sprintf("testdata/golden/%s.iriscap", c.name)
			if os.Getenv("IRISPOST_GOLDEN") == "write" {
				if err := os.WriteFile(file, now.Bytes(), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			stored, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			r, err := Run(openCapture(t, stored), Options{})
			if err != nil {
				t.Fatal(err)
			}
			if !r.Matches() || r.State != Ended || r.Gaps > 0 || r.Decisions != c.decisions {
				t.Errorf("stored capture: got state %v after %d decisions, reason %q, want it ended without a difference\n%s",
					r.State, r.Decisions, r.Reason, describeDifference(r))
			}
			before, after := records(t, stored), records(t, now.Bytes())
			for i := range max(len(before), len(after)) {
				if i >= len(before) || i >= len(after) || !reflect.DeepEqual(before[i], after[i]) {
					t.Fatalf("record %d differs: %d records stored, %d written now", i, len(before), len(after))
				}
			}
		})
	}
}

func TestGoldenJSON(t *testing.T) {
	golden.CheckJSON(t, "report.json", &Report{})
}
