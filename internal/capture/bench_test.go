package capture

import (
	"io"
	"strconv"
	"testing"

	"irispost/scheduler"
)

type discard struct{ io.Writer }

func (discard) Close() error { return nil }

// BenchmarkJob records the events of one request: submission, dispatch and answer, with the two decisions.
func BenchmarkJob(b *testing.B) {
	limits := DefaultLimits
	limits.QueuedBlocks = 1 << 12
	recorder := NewRecorder(discard{io.Discard}, "g", "b", limits)
	node := &scheduler.Node{Addr: "127.0.0.1:7000"}
	b.ReportAllocs()
	for i := range b.N {
		request := &scheduler.Request{ID: "g1/abcdefghij/17:" + strconv.Itoa(i) + "#" + strconv.Itoa(i), Units: 1,
			Deadline: 5}
		attempt := &scheduler.Attempt{Request: request, Node: node}
		recorder.Submitted(int64(i), request, 1, "basic", "order-read", 2, false)
		recorder.Decided(int64(i), &scheduler.Decision{Dispatch: []*scheduler.Attempt{attempt}, NextWake: int64(i)})
		recorder.AttemptEnded(int64(i), request.ID, 0, scheduler.OutcomeServed, 1000, true, 0, 1, 1000)
		recorder.Decided(int64(i), &scheduler.Decision{NextWake: int64(i)})
	}
	if err := recorder.Close(int64(b.N)); err != nil {
		b.Fatal(err)
	}
}
