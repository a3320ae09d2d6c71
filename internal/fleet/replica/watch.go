package replica

import (
	"net/http"
	"time"
)

// maxWatchTime is how long a watch request is held at most: proxies may close connections that are idle for longer.
const maxWatchTime = 20 * time.Second

// watchedState is the state whose changes watch requests wait for. It is immutable: its successor is published in
// Replica.watchers, and then its channel changed is closed.
type watchedState struct {
	term      uint64
	inForce   uint64
	announced uint64
	leading   bool
	changed   chan struct{}
}

// notifyWatchers publishes the watched state if it has changed. The owner goroutine calls it.
func (r *Replica) notifyWatchers() {
	before := r.watchers.Load()
	now := watchedState{
		term:      r.leadership.term,
		inForce:   r.machine.InForce,
		announced: r.machine.Announced,
		leading:   r.leading(),
		changed:   before.changed,
	}
	if now == *before {
		return
	}
	now.changed = make(chan struct{})
	r.watchers.Store(&now)
	close(before.changed)
}

// handleWatch handles GET /news: "true" once the state differs from the one in the request, "false" after hold_ms
// milliseconds. The response grants and confirms nothing: a gateway that learns of a change renews its lease. A
// replica that wrongly believes that it leads may respond wrongly.
func (r *Replica) handleWatch(w http.ResponseWriter, req *http.Request) {
	omitDefaultHeaders(w)
	known := watchedState{
		term:      queryNumber(req, "term"),
		inForce:   queryNumber(req, "in_force"),
		announced: queryNumber(req, "announced"),
		leading:   true,
	}
	hold := time.Duration(queryNumber(req, "hold_ms")) * time.Millisecond
	timer := time.NewTimer(min(hold, maxWatchTime))
	defer timer.Stop()
	for {
		state := r.watchers.Load()
		known.changed = state.changed
		if !state.leading {
			writeNotLeader(w)
			return
		}
		if *state != known {
			_, _ = w.Write([]byte("true")) // a client that misses it asks again
			return
		}
		select {
		case <-state.changed:
		case <-timer.C:
			_, _ = w.Write([]byte("false"))
			return
		case <-req.Context().Done():
			return
		case <-r.stopped:
			return
		}
	}
}
