package audit

import (
	"slices"
	"sync"
)

// Recorder collects events from any goroutine. A nil Recorder drops them.
type Recorder struct {
	Clock func() int64 // nanoseconds; it stamps events that have no time yet

	lock   sync.Mutex // guards events
	events []Event
}

// Add records an event. One without a time gets the present one.
func (r *Recorder) Add(event Event) {
	if r == nil {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if event.At == 0 {
		event.At = r.Clock()
	}
	r.events = append(r.events, event)
}

// Events returns a copy of what was recorded, in the order of recording.
func (r *Recorder) Events() []Event {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.events)
}
