package audit

import (
	"slices"
	"sync"
)

// Recorder collects events from any goroutine. A nil Recorder drops them.
type Recorder struct {
	Clock func() int64 // in nanoseconds; used for events without a time

	lock   sync.Mutex // guards events
	events []Event
}

// Add records an event. If it has no time, it gets the current one.
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

// Events returns a copy of the recorded events, in the order of recording.
func (r *Recorder) Events() []Event {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.events)
}
