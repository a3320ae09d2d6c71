package lease

import (
	"slices"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/slowstart/epoch"
)

// ByDigest is the format of requests from gateways that get versions without contents and fetch these by
// digest. Gateways of earlier builds ask in format 0 and get versions with contents.
const ByDigest = 1

// RenewRequest is a gateway's request for a lease on what it acts on.
type RenewRequest struct {
	Holder          string   `json:"who"` // the gateway's name and start; a gateway that is restarted is another holder
	Seq             uint64   `json:"seq"` // counts the holder's requests, from 1
	Term            uint64   `json:"term,omitempty"`
	AcceptedSeq     uint64   `json:"taken,omitempty"` // the request whose response, of Term, was accepted last
	HeldVersions    []uint64 `json:"holds,omitempty"` // the versions acted on; of two, their intersection
	Fault           string   `json:"trouble,omitempty"`
	State           string   `json:"state"`          // for people
	MembershipEpoch uint64   `json:"set,omitempty"`  // of the members that the gateway knows
	PeerAddr        string   `json:"peer,omitempty"` // where other gateways reach it; empty: they do not
	Format          int      `json:"form,omitempty"` // ByDigest or 0
}

// RenewResponse is the leading replica's answer to a RenewRequest.
type RenewResponse struct {
	Seq           uint64                   `json:"seq"`
	Term          uint64                   `json:"term"`
	InForce       uint64                   `json:"in_force"`
	Announced     uint64                   `json:"announced"`
	LeaseDuration Time                     `json:"lease"`              // from when the request was sent; 0: no lease yet
	Versions      []*configversion.Version `json:"versions,omitempty"` // those of the two that the gateway lacks
	Membership    *epoch.Membership        `json:"set,omitempty"`      // names no members if the epoch is known
	PeerAddrs     map[string]string        `json:"peers,omitempty"`    // of the members, as far as they are known
}

// Renew answers a gateway's request. The caller has confirmed, after the request came in, that this replica
// still led, and its state machine is as new as the log was then.
func (m *Manager) Renew(now Time, request *RenewRequest) *RenewResponse {
	response := &RenewResponse{
		Seq:       request.Seq,
		Term:      m.term,
		InForce:   m.state.InForce,
		Announced: m.state.Announced,
	}
	if !m.hasJoined(request.Holder) && !m.faults.Has(FaultLeaseWithoutJoin) {
		m.pendingJoins[request.Holder] = true // the next leader would not know of a lease that the log does not know of
		return response
	}
	if m.activationDecidedWithout(request) {
		return response
	}
	h := m.holders[request.Holder]
	if h == nil {
		h = &holder{name: request.Holder}
		m.holders[request.Holder] = h
	}
	if request.PeerAddr != "" && !m.state.Members[request.Holder] {
		// It is back, which the other gateways have to learn before it counts as a member.
		m.pendingJoins[request.Holder] = true
	}
	// Only a request that was sent in this term, after all that was received before, says what the gateway
	// holds now.
	if request.Term == m.term && request.Seq > h.lastSeq || m.faults.Has(FaultTrustEarlierTerms) {
		h.acknowledge(request)
	}
	if m.ignoresOffer(now, h, request) {
		return response
	}
	m.grantLease(now, h, request, response)
	m.addMembership(now, request, response)
	m.addVersions(request, response)
	return response
}

// hasJoined reports whether the log knows a holder and is not about to remove it.
func (m *Manager) hasJoined(name string) bool {
	_, removing := m.pendingRemovals[name]
	return m.state.Holders[name] && !removing
}

// activationDecidedWithout reports whether the announced version is about to come into force and the gateway
// does not hold it. That was decided by what was known then, so no gateway may begin to act on the version
// before.
func (m *Manager) activationDecidedWithout(request *RenewRequest) bool {
	announced := m.state.Announced
	return announced != m.state.InForce && m.activating == announced && !slices.Contains(request.HeldVersions, announced)
}

// ignoresOffer reports whether a gateway goes on asking without acknowledging the announced version, a lease
// after it was first offered. It seems to receive no responses, so what it holds has to expire. A gateway
// that says why it cannot acknowledge is waited for.
func (m *Manager) ignoresOffer(now Time, h *holder, request *RenewRequest) bool {
	announced := m.state.Announced
	if h.offeredVersion != announced {
		h.offeredVersion = announced
		h.offeredAt = now
		return false
	}
	if announced == m.state.InForce || slices.Contains(request.HeldVersions, announced) || request.Fault != "" {
		return false
	}
	return now > h.offeredAt+m.state.Settings.withDrift(m.state.Settings.LeaseDuration)
}

// grantLease records that the gateway may act on the response, and puts the lease into it.
func (m *Manager) grantLease(now Time, h *holder, request *RenewRequest, response *RenewResponse) {
	settings := m.state.Settings
	lease := settings.withDrift(settings.LeaseDuration)
	fallback := settings.withDrift(m.longestFallback([]uint64{response.InForce, response.Announced}))
	heldFallback := settings.withDrift(m.longestFallback(h.heldVersions))

	h.addGrant(now, grant{request.Seq, response.InForce, response.Announced, now + max(lease, fallback)})
	h.lastHeardAt = now
	h.reportedState = request.State
	h.fault = request.Fault
	h.peerAddr = request.PeerAddr
	h.leaseUntil = max(h.leaseUntil, now+lease)
	if m.faults.Has(FaultIgnoreClockDrift) {
		h.leaseUntil = now + settings.LeaseDuration
	}
	h.fallbackUntil = max(h.fallbackUntil, now+heldFallback, now+fallback)
	response.LeaseDuration = settings.LeaseDuration
}

// longestFallback returns the longest duration of the fallbacks of versions.
func (m *Manager) longestFallback(numbers []uint64) Time {
	var longest Time
	for _, number := range numbers {
		longest = max(longest, m.state.fallbackDuration(number))
	}
	return longest
}

// addVersions adds the versions that the gateway does not hold.
func (m *Manager) addVersions(request *RenewRequest, response *RenewResponse) {
	for _, number := range response.named() {
		version := m.state.Version(number)
		if version == nil || slices.Contains(request.HeldVersions, number) {
			continue
		}
		if request.Format >= ByDigest {
			version = version.Header()
		}
		response.Versions = append(response.Versions, version)
	}
}

// named lists the versions that a response names, the one in force first. There may be none in force yet.
func (r *RenewResponse) named() []uint64 {
	var numbers []uint64
	if r.InForce > 0 {
		numbers = append(numbers, r.InForce)
	}
	if r.Announced > 0 && r.Announced != r.InForce {
		numbers = append(numbers, r.Announced)
	}
	return numbers
}

// addMembership adds the members to the response to a gateway that other gateways reach.
func (m *Manager) addMembership(now Time, request *RenewRequest, response *RenewResponse) {
	if request.PeerAddr == "" {
		return
	}
	m.tracksMembers = true
	if m.membershipEpoch != m.state.MembershipEpoch {
		m.membershipEpoch = m.state.MembershipEpoch
		m.membershipSince = now // which is later than it was applied, and so on the safe side
	}
	response.Membership = &epoch.Membership{
		Epoch:         m.membershipEpoch,
		Departures:    m.state.Departures,
		Age:           now - m.membershipSince,
		LeaseDuration: m.state.Settings.LeaseDuration,
		MaxClockDrift: m.state.Settings.MaxClockDrift,
	}
	if request.MembershipEpoch == m.membershipEpoch {
		return
	}
	response.Membership.Members = sortedNames(m.state.Members)
	response.PeerAddrs = map[string]string{}
	for _, name := range response.Membership.Members {
		if h := m.holders[name]; h != nil && h.peerAddr != "" {
			response.PeerAddrs[name] = h.peerAddr
		}
	}
}
