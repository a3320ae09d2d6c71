package replay

import (
	"fmt"
	"os"
	"reflect"
	"testing"

	"irispost/internal/capture"
	"irispost/internal/testkit/golden"
)

// records reads a capture to its end. The digest of the module's text changes with each text, so it does not count.
func records(t *testing.T, b []byte) (all []*capture.Record) {
	t.Helper()
	next := open(t, b)
	for {
		rec, err := next()
		if err != nil {
			return all
		}
		rec.Digest = 0
		all = append(all, rec)
	}
}

// Captures written by an earlier build, from the scheduler's start and from a snapshot, replay without a difference,
// and what is written of the same events now is the same, record by record.
func TestCapturesOfAnEarlierBuildStayReadable(t *testing.T) {
	for _, c := range []struct {
		name      string
		from      int // the event before which the recorder begins to listen; 0: at the module's start
		decisions int64
	}{{"start", 0, 156}, {"state", 120, 79}} {
		t.Run(c.name, func(t *testing.T) {
			var now memory
			rec := capture.NewRecorder(&now, "g", "b", limits())
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
			r, err := Run(open(t, stored), Options{})
			if err != nil {
				t.Fatal(err)
			}
			if !r.Matches() || r.State != Ended || r.Gaps > 0 || r.Decisions != c.decisions {
				t.Errorf("%v after %d decisions, %s %s", r.State, r.Decisions, r.Reason, place(r))
			}
			before, after := records(t, stored), records(t, now.Bytes())
			for i := range max(len(before), len(after)) {
				if i >= len(before) || i >= len(after) || !reflect.DeepEqual(before[i], after[i]) {
					t.Fatalf("record %d of %d is written otherwise, of %d", i, len(before), len(after))
				}
			}
		})
	}
}

func TestGoldenJSON(t *testing.T) {
	golden.CheckJSON(t, "report.json", &Report{})
}
