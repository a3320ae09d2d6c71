package scheduler

import (
	"strconv"
	"testing"
)

// BenchmarkRequest processes a request from Submit to AttemptFinished, for 64 volumes and 16 nodes, with 16 requests
// per decision.
func BenchmarkRequest(b *testing.B) {
	now := Second
	s := New(now, 1, Settings{
		"units.mean":          "1",
		"plans.count":         "1",
		"plans.0.name":        "p",
		"plans.0.rate":        "100000",
		"products.count":      "1",
		"products.0.name":     "r",
		"products.0.goal":     "300",
		"products.0.patience": "2500",
	})
	s.BeginEndpointList(now, true, false)
	for i := range 16 {
		s.UpdateEndpoint("n"+strconv.Itoa(i), "z", i, 0, EndpointReady)
	}
	s.FinishEndpointList()
	b.ReportAllocs()
	for n := 0; n < b.N; n++ {
		now += 10 * Microsecond
		request := &Request{ID: strconv.Itoa(n), Units: 1, Shard: n % 16, Deadline: now + 2500*Millisecond}
		s.Submit(now, request, int64(n%64), "p", "r", 1, false)
		if n%16 != 0 {
			continue
		}
		for _, attempt := range s.Decide(now).Dispatch {
			s.AttemptFinished(now+Millisecond, attempt.Request.ID, attempt.Number, OutcomeServed, Millisecond, true, 0)
		}
	}
}
