package replica

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Each start of a replica is an incarnation. It is identified by a start count, which the replica's folder keeps, and
// a random number. A replica announces it to its peers before it takes part in Raft: a replica that was started from
// an older copy of its folder has lost votes and acknowledgements that it gave, and its peers, which know a later
// incarnation, reject it.

// ErrStaleIncarnation reports that a replica's folder is an older copy, or that its ID is in use twice.
var ErrStaleIncarnation = errors.New("a peer has recorded a later start of this replica: " +
	"its folder is an older copy, or two replicas run under one ID; it stops, as it could vote twice")

// announcement describes a start of a replica; it is the body of POST /hello, which the replica sends to its peers.
type announcement struct {
	From        uint64 `json:"from"`
	Starts      uint64 `json:"starts"`
	Incarnation uint64 `json:"incarnation,omitempty"` // random number of this start; 0: the sender's program has none
	EntryFormat int    `json:"form,omitempty"`        // newest entry format that the sender reads; 0: the first
}

// announceStart announces this start to all peers and waits until a majority, which includes this replica, has
// recorded it. It reports whether the replica may take part in Raft.
func (r *Replica) announceStart(ctx context.Context) bool {
	recorded := make(chan uint64, len(r.membership.peers))
	rejected := make(chan error, len(r.membership.peers))
	for _, p := range r.membership.peers {
		r.goroutines.Add(1)
		go func() {
			defer r.goroutines.Done()
			r.announceTo(ctx, p, recorded, rejected)
		}()
	}
	if !r.awaitMajority(ctx, recorded, rejected) {
		return false
	}
	r.ready = true
	r.goroutines.Add(1)
	go func() { // a peer that answers later may have recorded a later start
		defer r.goroutines.Done()
		select {
		case <-ctx.Done():
		case err := <-rejected:
			r.enqueue(ctx, func() { r.err = err })
		}
	}()
	r.logger.Info("replica ready", "start_count", r.store.starts, "term", r.currentTerm(),
		"announced", r.machine.Announced, "versions", len(r.machine.Versions))
	return true
}

// announceTo announces this start to one peer, again and again until it accepts or rejects it.
func (r *Replica) announceTo(ctx context.Context, p *peer, recorded chan<- uint64, rejected chan<- error) {
	message := announcement{
		From:        r.options.ID,
		Starts:      r.store.starts,
		Incarnation: r.store.incarnation,
		EntryFormat: r.options.entryFormat,
	}
	for ctx.Err() == nil {
		err := p.announce(ctx, message)
		if err == nil {
			recorded <- p.id
			return
		}
		if errors.Is(err, ErrStaleIncarnation) {
			rejected <- err
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(2 * r.options.TickInterval):
		}
	}
}

// awaitMajority waits until a majority has recorded this start; false if the replica has to stop.
func (r *Replica) awaitMajority(ctx context.Context, recorded <-chan uint64, rejected <-chan error) bool {
	recordedBy := map[uint64]bool{r.options.ID: true}
	for len(recordedBy) <= len(r.options.Peers)/2 {
		select {
		case <-ctx.Done():
			return false
		case r.err = <-rejected:
			return false
		case id := <-recorded:
			recordedBy[id] = true
		case call := <-r.calls: // peers' announcements have to be answered meanwhile
			call()
		}
	}
	return true
}

// handleAnnouncement handles POST /hello: 204 if the start is recorded, 409 if a later one is known.
func (r *Replica) handleAnnouncement(w http.ResponseWriter, req *http.Request) {
	var message announcement
	if !decodeBody(w, req, &message) {
		return
	}
	status := make(chan int, 1)
	if !r.enqueue(req.Context(), func() { status <- r.recordAnnouncement(message) }) {
		return
	}
	select {
	case code := <-status:
		w.WriteHeader(code)
	case <-r.stopped:
	}
}

// recordAnnouncement records the start of a peer and returns the HTTP status of the response.
func (r *Replica) recordAnnouncement(message announcement) int {
	accepted, err := r.store.recordStart(message.From, message.Starts, message.Incarnation)
	switch {
	case err != nil:
		r.err = err
		return http.StatusInternalServerError
	case !accepted:
		r.logger.Warn("rejected a stale incarnation of a peer", "peer", message.From, "start_count", message.Starts,
			"known_start_count", r.store.peerStarts[message.From].count)
		return http.StatusConflict
	default:
		r.recordEntryFormat(message.From, message.EntryFormat)
		return http.StatusNoContent
	}
}
