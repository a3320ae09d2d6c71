package scheduler

import (
	"strconv"
	"testing"
)

// BenchmarkJob takes a job of one of 64 volumes over 16 nodes through to its answer, 16 jobs a decision.
func BenchmarkJob(b *testing.B) {
	now := Second
	g := New(now, 1, Settings{"units.mean": "1", "plans.count": "1", "plans.0.name": "p", "plans.0.rate": "100000",
		"products.count": "1", "products.0.name": "r", "products.0.goal": "300", "products.0.patience": "2500"})
	g.BeginEndpointList(now, true, false)
	for i := range 16 {
		g.UpdateEndpoint("n"+strconv.Itoa(i), "z", i, 0, EndpointReady)
	}
	g.FinishEndpointList()
	b.ReportAllocs()
	for n := 0; n < b.N; n++ {
		now += 10 * Microsecond
		g.Submit(now, &Request{ID: strconv.Itoa(n), Units: 1, Shard: n % 16, Deadline: now + 2500*Millisecond}, int64(n%64), "p", "r", 1, false)
		if n%16 == 0 {
			for _, e := range g.Decide(now).Dispatch {
				g.AttemptFinished(now+Millisecond, e.Request.ID, e.Number, OutcomeServed, Millisecond, true, 0)
			}
		}
	}
}
