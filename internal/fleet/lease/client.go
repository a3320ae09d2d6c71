package lease

import (
	"fmt"
	"math"
	"slices"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/slowstart/epoch"
)

// maxOutstanding is how many requests a client remembers. A response to an older one is ignored.
const maxOutstanding = 16

// nothing is the name of what is in effect when a gateway acts on nothing.
const nothing = "none"

// Client is a gateway's side of leases. All its times are the gateway's clock.
type Client struct {
	holder string
	format int // of its requests
	faults InjectedFaults

	// What the gateway acts on.
	state         State
	heldVersions  []*configversion.Version // one version, or two of which the intersection counts
	configs       []*configversion.Config  // of the versions held
	effective     *configversion.Config    // nil: nothing
	effectiveName string
	leaseUntil    Time
	fallbackUntil Time

	// The response that was accepted last.
	acceptedSeq   uint64
	term          uint64
	inForce       uint64
	announced     uint64
	leaseDuration Time

	// When to send the next request, and what to say in it.
	seq             uint64 // of the latest request
	outstanding     []outstandingRequest
	requestInterval Time
	nextRequestAt   Time
	requestNow      bool
	watching        bool
	contentMissing  bool // a version that the latest response names has come without its content
	fault           string

	peerAddr         string
	membershipEpoch  uint64 // of the members that the gateway knows
	membershipUpdate *MembershipUpdate

	logLines []string
}

// outstandingRequest is a request whose response may still come.
type outstandingRequest struct {
	seq    uint64
	sentAt Time
}

// MembershipUpdate is what a response says of the members.
type MembershipUpdate struct {
	RequestedAt Time // when the request was sent
	Membership  epoch.Membership
	PeerAddrs   map[string]string // by member, as far as they are known
}

// NewClient returns the client of a gateway that holds nothing. holder names the gateway and its start.
// Without news the client sends a request each interval.
func NewClient(holder string, interval Time, faults InjectedFaults) *Client {
	return &Client{holder: holder, requestInterval: interval, faults: faults, effectiveName: nothing, format: ByDigest}
}

// SetPeerAddr sets where other gateways reach this one. A gateway that has an address learns those of the others.
func (c *Client) SetPeerAddr(addr string) { c.peerAddr = addr }

// RequestFullVersions makes the client send requests as earlier builds do, and so get versions with their contents.
func (c *Client) RequestFullVersions() { c.format = 0 }

// SetWatching says whether a watch is open that reports news at once. While one is, requests only renew the
// lease and are sent less often.
func (c *Client) SetWatching(watching bool) { c.watching = watching }

// RequestNow makes the next request due at once, as there is news.
func (c *Client) RequestNow() { c.requestNow = true }

// NextRequestAt returns when the next request is due. While a watch is open and no content is missing, it is
// after half of a lease.
func (c *Client) NextRequestAt(now Time) Time {
	if c.requestNow {
		return now
	}
	if c.watching && !c.contentMissing && c.state.leased() {
		return c.nextRequestAt + max(c.leaseDuration/2-c.requestInterval, 0)
	}
	return c.nextRequestAt
}

// NextRequest returns the request to send now. A lease that comes of it counts from now.
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

// HandleResponse takes in a response, with the contents that could be fetched of its versions. A response
// that is older than what was accepted before is ignored.
func (c *Client) HandleResponse(now Time, response *RenewResponse) {
	c.Effective(now)
	sentAt, known := c.sentAt(response.Seq)
	if !known || c.outdated(response) && !c.faults.Has(FaultAcceptReordered) {
		return
	}
	if c.term != response.Term {
		c.requestNow = true // the new leader has to hear what is held here
	}
	found := c.resolveVersions(response)
	c.contentMissing = found.contentMissing
	c.setFault(found.fault)

	leaseUntil := c.leaseEnd(now, sentAt, response.LeaseDuration)
	if response.LeaseDuration == 0 || now >= leaseUntil || len(found.versions) == 0 {
		c.term = response.Term
		if c.state == StateExpired || c.state == StateEnded {
			c.transition(StateReturning, "a replica has answered again")
		}
		return
	}
	c.accept(response, sentAt)
	c.leaseUntil = max(c.leaseUntil, leaseUntil)
	if !slices.Equal(found.versions, c.heldVersions) || !c.state.leased() {
		c.hold(found)
	}
	c.fallbackUntil = sentAt + c.fallbackDuration()
	switch {
	case !found.hasInForce: // a version that was only announced is acknowledged but not acted on
		c.effective = nil
		c.effectiveName = nothing
		c.transition(StateFollowing, "the version in force is missing")
	case len(found.versions) == 2:
		c.transition(StatePrepared, "a version is announced")
	default:
		c.transition(StateActing, "under a lease")
	}
}

// leaseEnd returns when a lease expires that was requested at a time and is received now.
func (c *Client) leaseEnd(now, sentAt, duration Time) Time {
	if c.faults.Has(FaultNoLeaseExpiry) && duration > 0 {
		return math.MaxInt64 / 2
	}
	if c.faults.Has(FaultLeaseFromReceipt) {
		return now + duration
	}
	return sentAt + duration
}

// sentAt returns when a request was sent whose response may still come.
func (c *Client) sentAt(seq uint64) (at Time, known bool) {
	for _, request := range c.outstanding {
		if request.seq == seq {
			return request.sentAt, true
		}
	}
	return 0, false
}

// outdated reports whether a response is older than what was accepted before.
func (c *Client) outdated(response *RenewResponse) bool {
	return response.Seq <= c.acceptedSeq ||
		response.Term < c.term ||
		response.InForce < c.inForce ||
		response.Announced < c.announced
}

// accept takes over what a response with a lease says.
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

// setFault sets why an announced version cannot be acted on; empty: it can. The replicas are told of a change
// at once.
func (c *Client) setFault(fault string) {
	if fault == c.fault {
		return
	}
	c.fault = fault
	c.requestNow = true
	if fault != "" {
		c.logLines = append(c.logLines, "rules: "+fault)
	}
}

// transition is the one place where the state changes.
func (c *Client) transition(to State, reason string) {
	if c.state == to {
		return
	}
	c.logLines = append(c.logLines, fmt.Sprintf("rules: %s -> %s, %s: %s", c.state, to, c.effectiveName, reason))
	c.state = to
}

// KnownState returns what is known here of the log's state, for a watch that reports when it has changed.
func (c *Client) KnownState() (term, inForce, announced uint64) {
	return c.term, c.inForce, c.announced
}

// State returns how the gateway stands.
func (c *Client) State() State { return c.state }

// TakeMembership returns what the latest lease says of the members, once. It is nil if nothing has come since.
func (c *Client) TakeMembership() *MembershipUpdate {
	update := c.membershipUpdate
	c.membershipUpdate = nil
	return update
}

// TakeLogLines returns the lines to be logged, once.
func (c *Client) TakeLogLines() []string {
	lines := c.logLines
	c.logLines = nil
	return lines
}
