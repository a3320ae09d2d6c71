package lease

import "slices"

// holder is a gateway that may act on some version, as the leading replica knows it. Times are the replica's.
type holder struct {
	name           string
	lastSeq        uint64   // the latest request of this term that counted
	heldVersions   []uint64 // as that request said
	grants         []grant
	leaseUntil     Time   // it acts on no version after this
	fallbackUntil  Time   // it acts on no fallback after this
	unknownUntil   Time   // until then it may act on any version's fallback, as it was not heard in this term; 0: it was
	offeredVersion uint64 // the announced version that was offered last
	offeredAt      Time   // when it was offered first
	lastHeardAt    Time
	reportedState  string
	fault          string
	peerAddr       string
}

// grant is a response that the gateway may have accepted after its last request that counted. Until it
// expires the gateway may act on its versions, or on their fallback.
type grant struct {
	seq, inForce, announced uint64
	expiresAt               Time
}

// acknowledge takes over what the gateway says it holds. Grants up to the response that it accepted last
// can't be accepted any more.
func (h *holder) acknowledge(request *RenewRequest) {
	h.lastSeq = request.Seq
	h.heldVersions = slices.Clone(request.HeldVersions)
	h.unknownUntil = 0
	h.grants = slices.DeleteFunc(h.grants, func(g grant) bool { return g.seq <= request.AcceptedSeq })
}

// addGrant adds a grant in place of earlier ones of the same versions, and drops those that have expired.
// Requests may come out of order and any of the responses may be accepted, so the highest sequence number is
// kept.
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
