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
	l.Behind = 1 << 12
	r := NewRecorder(nowhere{io.Discard}, "g", "b", l)
	n := &decide.Node{Addr: "127.0.0.1:7000"}
	b.ReportAllocs()
	for i := range b.N {
		j := &decide.Job{ID: "g1/abcdefghij/17:" + strconv.Itoa(i) + "#" + strconv.Itoa(i), Units: 1, StopBy: 5}
		e := &decide.Execution{Job: j, Node: n}
		r.Take(int64(i), j, 1, "basic", "order-read", 2, false)
		r.Decided(int64(i), &decide.Decision{Start: []*decide.Execution{e}, NextWake: int64(i)})
		r.Ended(int64(i), j.ID, 0, decide.Served, 1000, true, 0, 1, 1000)
		r.Decided(int64(i), &decide.Decision{NextWake: int64(i)})
	}
	r.Close(int64(b.N))
}
