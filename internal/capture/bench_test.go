package capture

import (
	"io"
	"strconv"
	"testing"

	"irispost/scheduler"
)

type discard struct{ io.Writer }

func (discard) Close() error { return nil }

// BenchmarkJob writes down one job: taken, sent, answered, with the two decisions.
func BenchmarkJob(b *testing.B) {
	l := DefaultLimits
	l.QueuedBlocks = 1 << 12
	r := NewRecorder(discard{io.Discard}, "g", "b", l)
	n := &scheduler.Node{Addr: "127.0.0.1:7000"}
	b.ReportAllocs()
	for i := range b.N {
		j := &scheduler.Request{ID: "g1/abcdefghij/17:" + strconv.Itoa(i) + "#" + strconv.Itoa(i), Units: 1, Deadline: 5}
		e := &scheduler.Attempt{Request: j, Node: n}
		r.Submitted(int64(i), j, 1, "basic", "order-read", 2, false)
		r.Decided(int64(i), &scheduler.Decision{Dispatch: []*scheduler.Attempt{e}, NextWake: int64(i)})
		r.AttemptEnded(int64(i), j.ID, 0, scheduler.OutcomeServed, 1000, true, 0, 1, 1000)
		r.Decided(int64(i), &scheduler.Decision{NextWake: int64(i)})
	}
	if err := r.Close(int64(b.N)); err != nil {
		b.Fatal(err)
	}
}
