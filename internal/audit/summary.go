package audit

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary counts a day's requests by what became of them, as their clients saw it.
type Summary struct {
	Sent            int            `json:"jobs"`
	Succeeded       int            `json:"completed"`
	Rejected        int            `json:"dismissed"`
	Failed          int            `json:"written_off"`
	ClientCancelled int            `json:"left"`
	Lost            int            `json:"lost"`
	AnsweredTwice   int            `json:"answered_twice"`
	Classes         []ClassSummary `json:"products"`
}

// ClassSummary is a summary of one product.
type ClassSummary struct {
	Name            string  `json:"name"`
	Sent            int     `json:"jobs"`
	WithinObjective int     `json:"in_goal"`
	P50             float64 `json:"p50_ms"` // of the completed
	P99             float64 `json:"p99_ms"`
}

// Summarize counts. A request that is out when its client goes, or its gateway is killed, is left; one that has no
// answer otherwise is lost.
func Summarize(events []Event) Summary {
	var s Summary
	asked, told, gone := map[requestKey]Event{}, map[requestKey]int{}, map[string]bool{}
	products := map[string]*ClassSummary{}
	times := map[string]*hdrhistogram.Histogram{}
	for _, e := range events {
		k := requestKey{e.Session, e.ClientRequest}
		switch e.Type {
		case RequestSent:
			asked[k] = e
			if products[e.RequestClass] == nil {
				products[e.RequestClass] = &ClassSummary{Name: e.RequestClass}
				times[e.RequestClass] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
			}
			products[e.RequestClass].Sent++
			s.Sent++
		case ClientDisconnected:
			gone[e.Session] = true
		case ResponseReceived:
			if told[k]++; told[k] > 1 {
				s.AnsweredTwice++
				continue
			}
			a, known := asked[k]
			if !known {
				continue
			}
			switch e.Outcome {
			case Succeeded:
				s.Succeeded++
				// An answer that took more than an hour is out of the histogram; a day lasts an hour at most.
				_ = times[a.RequestClass].RecordValue(max(1, (e.At-a.At)/1000))
				if e.At <= a.ObjectiveBy {
					products[a.RequestClass].WithinObjective++
				}
			case Rejected:
				s.Rejected++
			case Failed:
				s.Failed++
			}
		}
	}
	for k := range asked {
		switch {
		case told[k] > 0:
		case gone[k.session]:
			s.ClientCancelled++
		default:
			s.Lost++
		}
	}
	for name, p := range products {
		p.P50 = float64(times[name].ValueAtQuantile(50)) / 1000
		p.P99 = float64(times[name].ValueAtQuantile(99)) / 1000
		s.Classes = append(s.Classes, *p)
	}
	slices.SortFunc(s.Classes, func(a, b ClassSummary) int { return cmp.Compare(a.Name, b.Name) })
	return s
}
