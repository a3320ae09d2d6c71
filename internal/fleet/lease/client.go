package lease

import (
	"fmt"
	"math"
	"slices"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/slowstart/epoch"
)

// maxOutstanding is the number of recent requests that a client tracks. A response to an older request is ignored.
const maxOutstanding = 16

// noEffectiveName is the effective name while no configuration is in effect.
const noEffectiveName = "none"

// Client is the gateway side of the lease protocol. All its times are readings of the gateway's clock.
type Client struct {
	holder string
	format int // request format: ByDigest or 0
	faults InjectedFaults

	// The configuration in effect at the gateway.
	state         State
	heldVersions  []*configversion.Version // one version, or two whose intersection is in effect
	configs       []*configversion.Config  // parsed heldVersions, in the same order
	effective     *configversion.Config    // nil: none
	effectiveName string
	leaseUntil    Time
	fallbackUntil Time

	// The last accepted response.
	acceptedSeq   uint64
	term          uint64
	inForce       uint64
	announced     uint64
	leaseDuration Time

	// When to send the next request, and what to report in it.
	seq             uint64 // sequence number of the latest request
	outstanding     []outstandingRequest
	requestInterval Time
	nextRequestAt   Time
	requestNow      bool
	watching        bool
	contentMissing  bool // the latest response names a version whose content was not received
	fault           string

	peerAddr         string
	membershipEpoch  uint64 // epoch of the membership that the gateway knows
	membershipUpdate *MembershipUpdate

	logLines []string
}

// outstandingRequest is a request whose response may still arrive.
type outstandingRequest struct {
	seq    uint64
	sentAt Time
}

// MembershipUpdate is the membership part of a response.
type MembershipUpdate struct {
	RequestedAt Time // when the request was sent
	Membership  epoch.Membership
	PeerAddrs   map[string]string // by member; members with an unknown address are left out
}

// NewClient returns the client of a gateway that holds no version yet. holder identifies the gateway and its
// current run: a restarted gateway is another holder. Unless news arrives, the client sends one request per
// interval.
func NewClient(holder string, interval Time, faults InjectedFaults) *Client {
	return &Client{holder: holder, requestInterval: interval, faults: faults,
		effectiveName: noEffectiveName, format: ByDigest}
}

// SetPeerAddr sets the address at which other gateways reach this one. A gateway that has an address is sent
// those of the others.
func (c *Client) SetPeerAddr(addr string) { c.peerAddr = addr }

// RequestFullVersions makes the client use the request format of earlier builds, so that responses carry
// versions with their contents.
func (c *Client) RequestFullVersions() { c.format = 0 }

// SetWatching records whether a watch is open that reports news at once. While it is open, requests only renew
// the lease and are sent less often.
func (c *Client) SetWatching(watching bool) { c.watching = watching }

// RequestNow makes the next request due immediately, because there is news.
func (c *Client) RequestNow() { c.requestNow = true }

// NextRequestAt returns when the next request is due. While a watch is open and no content is missing, that is
// half a lease after the latest request.
func (c *Client) NextRequestAt(now Time) Time {
	if c.requestNow {
		return now
	}
	if c.watching && !c.contentMissing && c.state.leased() {
		return c.nextRequestAt + max(c.leaseDuration/2-c.requestInterval, 0)
	}
	return c.nextRequestAt
}

// NextRequest returns the request to send now. A lease granted in response to it runs from now.
func (c *Client) NextRequest(now Time) *RenewRequest {
	c.Effective(now)
	c.seq++
	c.requestNow = false
	c.nextRequestAt = now + c.requestInterval
	c.outstanding = append(c.outstanding, outstandingRequest{c.seq, now})
	if len(c.outstanding) > maxOutstanding {
		c.outstanding = c.outstanding[1:]
	}
	request := &RenewRequest{
		Holder:          c.holder,
		Seq:             c.seq,
		Term:            c.term,
		AcceptedSeq:     c.acceptedSeq,
		Fault:           c.fault,
		State:           c.state.String(),
		MembershipEpoch: c.membershipEpoch,
		PeerAddr:        c.peerAddr,
		Format:          c.format,
	}
	for _, v := range c.heldVersions {
		request.HeldVersions = append(request.HeldVersions, v.Number)
	}
	return request
}

// HandleResponse processes a response. Its versions have their contents, except those that could not be fetched. A
// response that is older than an accepted one is ignored.
func (c *Client) HandleResponse(now Time, response *RenewResponse) {
	c.Effective(now)
	sentAt, known := c.sentAt(response.Seq)
	if !known || c.outdated(response) && !c.faults.Has(FaultAcceptReordered) {
		return
	}
	if c.term != response.Term {
		c.requestNow = true // report the held versions to the new leader
	}
	found := c.resolveVersions(response)
	c.contentMissing = found.contentMissing
	c.setFault(found.fault)

	leaseUntil := c.leaseEnd(now, sentAt, response.LeaseDuration)
	if response.LeaseDuration == 0 || now >= leaseUntil || len(found.versions) == 0 {
		c.term = response.Term
		if c.state == StateExpired || c.state == StateEnded {
			c.transition(StateReturning, "a replica responded again, no lease is in effect yet")
		}
		return
	}
	c.accept(response, sentAt)
	c.leaseUntil = max(c.leaseUntil, leaseUntil)
	if !slices.Equal(found.versions, c.heldVersions) || !c.state.leased() {
		c.setHeld(found)
	}
	c.fallbackUntil = sentAt + c.fallbackDuration()
	switch {
	case !found.hasInForce: // a version that is only announced is acknowledged but not put into effect
		c.effective = nil
		c.effectiveName = noEffectiveName
		c.transition(StateFollowing, "the version in force is not available")
	case len(found.versions) == 2:
		c.transition(StatePrepared, "lease granted, another version is announced")
	default:
		c.transition(StateActing, "lease granted")
	}
}

// leaseEnd returns when a lease expires that was requested at sentAt and is received now.
func (c *Client) leaseEnd(now, sentAt, duration Time) Time {
	if c.faults.Has(FaultNoLeaseExpiry) && duration > 0 {
		return math.MaxInt64 / 2
	}
	if c.faults.Has(FaultLeaseFromReceipt) {
		return now + duration
	}
	return sentAt + duration
}

// sentAt returns when an outstanding request was sent.
func (c *Client) sentAt(seq uint64) (at Time, known bool) {
	for _, request := range c.outstanding {
		if request.seq == seq {
			return request.sentAt, true
		}
	}
	return 0, false
}

// outdated reports whether a response is older than one that was accepted before.
func (c *Client) outdated(response *RenewResponse) bool {
	return response.Seq <= c.acceptedSeq ||
		response.Term < c.term ||
		response.InForce < c.inForce ||
		response.Announced < c.announced
}

// accept records the contents of a response that grants a lease.
func (c *Client) accept(response *RenewResponse, sentAt Time) {
	c.acceptedSeq = response.Seq
	c.term = response.Term
	c.inForce = response.InForce
	c.announced = response.Announced
	c.leaseDuration = response.LeaseDuration
	if response.Membership != nil {
		c.membershipEpoch = response.Membership.Epoch
		c.membershipUpdate = &MembershipUpdate{
			RequestedAt: sentAt,
			Membership:  *response.Membership,
			PeerAddrs:   response.PeerAddrs,
		}
	}
}

// setFault records why an announced version cannot be put into effect; empty if it can. A change is reported to
// the replicas immediately.
func (c *Client) setFault(fault string) {
	if fault == c.fault {
		return
	}
	c.fault = fault
	c.requestNow = true
	if fault != "" {
		c.logLines = append(c.logLines, "configuration: "+fault)
	}
}

// transition changes the state and logs the change. Nothing else assigns the state.
func (c *Client) transition(to State, reason string) {
	if c.state == to {
		return
	}
	c.logLines = append(c.logLines,
		fmt.Sprintf("configuration: %s -> %s, in effect: %s (%s)", c.state, to, c.effectiveName, reason))
	c.state = to
}

// KnownState returns the latest term and version numbers that the client knows. A watch reports when the replicas have
// others.
func (c *Client) KnownState() (term, inForce, announced uint64) {
	return c.term, c.inForce, c.announced
}

// State returns the gateway's state.
func (c *Client) State() State { return c.state }

// TakeMembership returns the latest membership received and clears it. It returns nil if none has arrived since
// the last call.
func (c *Client) TakeMembership() *MembershipUpdate {
	update := c.membershipUpdate
	c.membershipUpdate = nil
	return update
}

// TakeLogLines returns the pending log lines and clears them.
func (c *Client) TakeLogLines() []string {
	lines := c.logLines
	c.logLines = nil
	return lines
}
