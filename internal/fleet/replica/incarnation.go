package replica

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Each start of a replica is an incarnation: a count that its folder keeps, and a random mark. It is announced to the
// other replicas before the replica takes part in Raft. A replica that was started from an older copy of its folder has
// forgotten votes and acknowledgements; the others know a later incarnation and reject it.

// ErrStaleIncarnation reports that a replica's folder is an older copy.
var ErrStaleIncarnation = errors.New("another replica has recorded a later start of this one: " +
	"its folder is an older copy, or two replicas run under one ID; it would vote twice and is not started")

// announcement is a start of a replica, as it is sent to POST /hello of the others.
type announcement struct {
	From        uint64 `json:"from"`
	Starts      uint64 `json:"starts"`
	Incarnation uint64 `json:"incarnation,omitempty"` // this start's mark; 0: sent by a replica that has none
	EntryFormat int    `json:"form,omitempty"`        // newest format of log entries that it reads; 0: the first
}

// announceStart announces this start to all peers and waits until a majority, with this replica, has recorded it. It
// tells whether the replica may take part.
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
	go func() { // peers that answer later may still know a later start
		defer r.goroutines.Done()
		select {
		case <-ctx.Done():
		case err := <-rejected:
			r.do(ctx, func() { r.err = err })
		}
	}()
	r.logger.Info("replica ready", "start_count", r.store.starts, "term", r.currentTerm(),
		"announced", r.machine.Announced, "versions", len(r.machine.Versions))
	return true
}

// announceTo announces this start to one peer until it answers.
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

// awaitMajority waits until a majority has recorded this start; false where the replica has to stop.
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
		case call := <-r.calls: // the announcements of the others have to be answered meanwhile
			call()
		}
	}
	return true
}

// handleAnnouncement answers POST /hello: 204 where the start is recorded, 409 where a later one is known.
func (r *Replica) handleAnnouncement(w http.ResponseWriter, req *http.Request) {
	var message announcement
	if !decodeBody(w, req, &message) {
		return
	}
	status := make(chan int, 1)
	if !r.do(req.Context(), func() { status <- r.recordAnnouncement(message) }) {
		return
	}
	select {
	case code := <-status:
		w.WriteHeader(code)
	case <-r.stopped:
	}
}

// recordAnnouncement records the start of a peer and returns the HTTP status of the answer.
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
		r.noteEntryFormat(message.From, message.EntryFormat)
		return http.StatusNoContent
	}
}
