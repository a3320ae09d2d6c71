package lease

import "slices"

// holder is the leading replica's record of a gateway that may have a version or its fallback in effect. Times are
// readings of the replica's clock.
type holder struct {
	name           string
	lastSeq        uint64   // the latest request of this term that acknowledge processed
	heldVersions   []uint64 // as reported by that request
	grants         []grant
	leaseUntil     Time   // no version is in effect at the gateway after this
	fallbackUntil  Time   // no fallback is in effect at the gateway after this
	unknownUntil   Time   // until then any version's fallback may be in effect; 0 once heard from in this term
	offeredVersion uint64 // the announced version that was offered most recently
	offeredAt      Time   // when offeredVersion was first offered
	lastHeardAt    Time
	reportedState  string
	fault          string
	peerAddr       string
}

// grant is a response with a lease that the gateway may have accepted since it sent its last acknowledgement. Until
// the grant expires, its versions or their fallback may be in effect at the gateway.
type grant struct {
	seq, inForce, announced uint64
	expiresAt               Time
}

// acknowledge records the versions that the gateway reports to hold. It drops all grants up to the response that the
// gateway accepted last, because the gateway ignores these from now on.
func (h *holder) acknowledge(request *RenewRequest) {
	h.lastSeq = request.Seq
	h.heldVersions = slices.Clone(request.HeldVersions)
	h.unknownUntil = 0
	h.grants = slices.DeleteFunc(h.grants, func(g grant) bool { return g.seq <= request.AcceptedSeq })
}

// addGrant adds a grant, which replaces earlier ones of the same versions, and drops expired grants. Requests may
// arrive out of order and any of the responses may be accepted, so the highest sequence number is kept.
func (h *holder) addGrant(now Time, added grant) {
	h.grants = slices.DeleteFunc(h.grants, func(g grant) bool {
		if g.inForce != added.inForce || g.announced != added.announced {
			return now > g.expiresAt
		}
		added.seq = max(added.seq, g.seq)
		return true
	})
	h.grants = append(h.grants, added)
}
