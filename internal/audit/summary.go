package audit

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary counts the recorded requests by how they ended, as seen by their clients.
type Summary struct {
	Sent            int            `json:"jobs"`
	Succeeded       int            `json:"completed"`
	Rejected        int            `json:"dismissed"`
	Failed          int            `json:"written_off"`
	ClientCancelled int            `json:"left"` // in flight when the client's connection ended
	Lost            int            `json:"lost"` // other requests without an answer
	AnsweredTwice   int            `json:"answered_twice"`
	Classes         []ClassSummary `json:"products"` // sorted by name
}

// ClassSummary is the summary of one request class.
type ClassSummary struct {
	Name            string  `json:"name"`
	Sent            int     `json:"jobs"`
	WithinObjective int     `json:"in_goal"` // succeeded within the latency objective
	P50             float64 `json:"p50_ms"`  // latency of requests that succeeded, in milliseconds
	P99             float64 `json:"p99_ms"`
}

// Latencies are recorded in microseconds, with the given number of significant figures. A scenario lasts at most an
// hour.
const (
	maxLatency                = int64(time.Hour / time.Microsecond)
	latencySignificantFigures = 3
	nanosPerMicrosecond       = 1000
	microsPerMillisecond      = 1000
)

// Summarize returns a summary of the requests in the recorded events.
func Summarize(events []Event) Summary {
	s := summarizer{
		requests:     map[clientRequestKey]Event{},
		answers:      map[clientRequestKey]int{},
		disconnected: map[string]bool{},
		classes:      map[string]*classTotals{},
	}
	for _, event := range events {
		switch event.Type {
		case RequestSent:
			s.addRequest(event)
		case ClientDisconnected:
			s.disconnected[event.Session] = true
		case ResponseReceived:
			s.addAnswer(event)
		}
	}
	return s.finish()
}

// classTotals holds the summary and the latencies of a request class.
type classTotals struct {
	ClassSummary
	latencies *hdrhistogram.Histogram // microseconds
}

// summarizer is the state of Summarize.
type summarizer struct {
	summary      Summary
	requests     map[clientRequestKey]Event
	answers      map[clientRequestKey]int
	disconnected map[string]bool // by session
	classes      map[string]*classTotals
}

func (s *summarizer) addRequest(request Event) {
	s.requests[clientRequestKey{request.Session, request.ClientRequest}] = request
	class := s.classes[request.RequestClass]
	if class == nil {
		class = &classTotals{
			ClassSummary: ClassSummary{Name: request.RequestClass},
			latencies:    hdrhistogram.New(1, maxLatency, latencySignificantFigures),
		}
		s.classes[request.RequestClass] = class
	}
	class.Sent++
	s.summary.Sent++
}

func (s *summarizer) addAnswer(answer Event) {
	key := clientRequestKey{answer.Session, answer.ClientRequest}
	s.answers[key]++
	if s.answers[key] > 1 {
		s.summary.AnsweredTwice++
		return
	}
	request, known := s.requests[key]
	if !known {
		return
	}
	switch answer.Outcome {
	case Succeeded:
		s.summary.Succeeded++
		class := s.classes[request.RequestClass]
		latency := max(1, (answer.At-request.At)/nanosPerMicrosecond)
		_ = class.latencies.RecordValue(latency) // fails only above maxLatency, which no scenario reaches
		if answer.At <= request.ObjectiveBy {
			class.WithinObjective++
		}
	case Rejected:
		s.summary.Rejected++
	case Failed:
		s.summary.Failed++
	}
}

// finish counts the requests without an answer and computes the latencies.
func (s *summarizer) finish() Summary {
	for key := range s.requests {
		switch {
		case s.answers[key] > 0:
		case s.disconnected[key.session]:
			s.summary.ClientCancelled++
		default:
			s.summary.Lost++
		}
	}
	for _, class := range s.classes {
		class.P50 = float64(class.latencies.ValueAtQuantile(50)) / microsPerMillisecond
		class.P99 = float64(class.latencies.ValueAtQuantile(99)) / microsPerMillisecond
		s.summary.Classes = append(s.summary.Classes, class.ClassSummary)
	}
	slices.SortFunc(s.summary.Classes, func(a, b ClassSummary) int { return cmp.Compare(a.Name, b.Name) })
	return s.summary
}
