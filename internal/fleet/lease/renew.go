package lease

import (
	"slices"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/slowstart/epoch"
)

// ByDigest is the request format of gateways that receive versions without contents and fetch the contents by
// digest. Gateways of earlier builds use format 0 and receive versions with contents.
const ByDigest = 1

// RenewRequest is a gateway's request to renew its lease. It also acknowledges the versions that the gateway holds.
type RenewRequest struct {
	Holder          string   `json:"who"` // the gateway's name and run; a restarted gateway is another holder
	Seq             uint64   `json:"seq"` // number of the holder's request, from 1
	Term            uint64   `json:"term,omitempty"`
	AcceptedSeq     uint64   `json:"taken,omitempty"` // request of the last accepted response, which was of Term
	HeldVersions    []uint64 `json:"holds,omitempty"` // the versions in effect; of two, their intersection
	Fault           string   `json:"trouble,omitempty"`
	State           string   `json:"state"`          // informational only
	MembershipEpoch uint64   `json:"set,omitempty"`  // latest membership epoch that the gateway knows
	PeerAddr        string   `json:"peer,omitempty"` // address for other gateways; empty: they do not connect to it
	Format          int      `json:"form,omitempty"` // ByDigest or 0
}

// RenewResponse is the leading replica's answer to a RenewRequest.
type RenewResponse struct {
	Seq           uint64                   `json:"seq"`
	Term          uint64                   `json:"term"`
	InForce       uint64                   `json:"in_force"`
	Announced     uint64                   `json:"announced"`
	LeaseDuration Time                     `json:"lease"`              // from when the request was sent; 0: no lease yet
	Versions      []*configversion.Version `json:"versions,omitempty"` // InForce and Announced, unless held already
	Membership    *epoch.Membership        `json:"set,omitempty"`      // without members if the gateway knows the epoch
	PeerAddrs     map[string]string        `json:"peers,omitempty"`    // by member; unknown addresses are left out
}

// Renew answers a gateway's request. The caller must have confirmed, after the request arrived, that this replica
// was still the leader, and must have applied the log up to that point.
func (m *Manager) Renew(now Time, request *RenewRequest) *RenewResponse {
	response := &RenewResponse{
		Seq:       request.Seq,
		Term:      m.term,
		InForce:   m.state.InForce,
		Announced: m.state.Announced,
	}
	if !m.hasJoined(request.Holder) && !m.faults.Has(FaultLeaseWithoutJoin) {
		m.pendingJoins[request.Holder] = true // the next leader learns only from the log who may hold a lease
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
		// The gateway has returned. It only counts as a member again once the join is committed in a new epoch,
		// which the other gateways learn of.
		m.pendingJoins[request.Holder] = true
	}
	// Only a request sent in this term, and after all requests received so far, reports what the gateway holds
	// now.
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

// hasJoined reports whether a holder's join is committed and its removal is not pending.
func (m *Manager) hasJoined(name string) bool {
	_, removing := m.pendingRemovals[name]
	return m.state.Holders[name] && !removing
}

// activationDecidedWithout reports whether the announced version is about to come into force and the gateway does
// not hold it. The decision relied on what gateways held at that time, so since then no gateway may start to apply
// the previous version.
func (m *Manager) activationDecidedWithout(request *RenewRequest) bool {
	announced := m.state.Announced
	return announced != m.state.InForce && m.activating == announced && !slices.Contains(request.HeldVersions, announced)
}

// ignoresOffer reports whether a gateway keeps sending requests but has not acknowledged the announced version
// within a lease of the first offer. It apparently receives no responses, so its lease has to expire. A gateway that
// reports why it cannot acknowledge the version is waited for.
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

// grantLease adds a lease to the response and records that the gateway may accept it.
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

// longestFallback returns the longest fallback duration of the given versions.
func (m *Manager) longestFallback(numbers []uint64) Time {
	var longest Time
	for _, number := range numbers {
		longest = max(longest, m.state.fallbackDuration(number))
	}
	return longest
}

// addVersions adds the versions that the gateway does not hold to the response.
func (m *Manager) addVersions(request *RenewRequest, response *RenewResponse) {
	for _, number := range response.versionNumbers() {
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

// versionNumbers lists the versions that a response names, the one in force first. Either may be missing.
func (r *RenewResponse) versionNumbers() []uint64 {
	var numbers []uint64
	if r.InForce > 0 {
		numbers = append(numbers, r.InForce)
	}
	if r.Announced > 0 && r.Announced != r.InForce {
		numbers = append(numbers, r.Announced)
	}
	return numbers
}

// addMembership adds the membership to the response if other gateways connect to this one.
func (m *Manager) addMembership(now Time, request *RenewRequest, response *RenewResponse) {
	if request.PeerAddr == "" {
		return
	}
	m.tracksMembers = true
	if m.membershipEpoch != m.state.MembershipEpoch {
		m.membershipEpoch = m.state.MembershipEpoch
		m.membershipSince = now // later than it was applied, which understates the age and so is safe
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
