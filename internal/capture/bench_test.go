package capture

import (
	"io"
	"strconv"
	"testing"

	"irispost/decide"
)

type nowhere struct{ io.Writer }

func (nowhere) Close() error { return nil }

// BenchmarkJob writes down one job: taken, sent, answered, with the two decisions.
func BenchmarkJob(b *testing.B) {
	l := DefaultLimits
	l.QueuedBlocks = 1 << 12
	r := NewRecorder(nowhere{io.Discard}, "g", "b", l)
	n := &decide.Node{Addr: "127.0.0.1:7000"}
	b.ReportAllocs()
	for i := range b.N {
		j := &decide.Request{ID: "g1/abcdefghij/17:" + strconv.Itoa(i) + "#" + strconv.Itoa(i), Units: 1, Deadline: 5}
		e := &decide.Attempt{Request: j, Node: n}
		r.Submitted(int64(i), j, 1, "basic", "order-read", 2, false)
		r.Decided(int64(i), &decide.Decision{Dispatch: []*decide.Attempt{e}, NextWake: int64(i)})
		r.AttemptEnded(int64(i), j.ID, 0, decide.OutcomeServed, 1000, true, 0, 1, 1000)
		r.Decided(int64(i), &decide.Decision{NextWake: int64(i)})
	}
	r.Close(int64(b.N))
}
