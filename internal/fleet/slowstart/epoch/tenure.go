package epoch

import "slices"

// Time is nanoseconds on one process's clock.
type Time = int64

// Membership is the members as the leading keeper has them, and for how long, by its clock, it has known of no others: since the log's last
// change of them, or since it leads, if that is later.
type Membership struct {
	Epoch         uint64   `json:"number"` // of changes so far
	Departures    uint64   `json:"parts"`  // how often one has parted so far
	Age           Time     `json:"age"`
	Members       []string `json:"members,omitempty"`
	LeaseDuration Time     `json:"lease"` // the keepers' terms
	MaxClockDrift float64  `json:"drift"`
}

// longer is a span as another clock may count it.
func (s *Membership) longer(span Time) Time {
	return Time(float64(span)*(1+s.MaxClockDrift)/(1-s.MaxClockDrift)) + 1
}

// Ownership is what one gateway knows of its budgets. It is told of each grant of a lease.
type Ownership struct {
	self  string
	flaws InjectedFaults
	set   Membership
	until Time            // the lease that the set came with
	sure  map[string]Time // from when on a node is its own; by the nodes that it has been asked for
	from  Time            // and for all others
}

// InjectedFaults are defects that tests put in.
type InjectedFaults uint

// The defects.
const (
	FaultNoWait           InjectedFaults = 1 << iota // who comes to have a budget deals at once
	FaultIgnoreLease                                 // who is cut off goes on dealing
	FaultIgnoreDepartures                            // who has had it before and after is believed to have had it throughout
)

// NewOwnership knows of no set.
func NewOwnership(self string, f InjectedFaults) *Ownership {
	return &Ownership{self: self, flaws: f, sure: map[string]Time{}}
}

// HandleMembership takes in what a lease came with: asked is when it was asked for, now when it came.
func (t *Ownership) HandleMembership(asked, now Time, s Membership) {
	if s.Epoch < t.set.Epoch {
		return
	}
	t.until = max(t.until, asked+s.LeaseDuration)
	if s.Epoch == t.set.Epoch {
		return
	}
	wait := max(s.longer(s.longer(s.LeaseDuration)-s.Age), 0) // until all leases given under the sets before have run out
	if t.flaws&FaultNoWait != 0 {
		wait = 0
	}
	before, kept := t.set, map[string]Time{}
	parted := uint64(0)
	for _, m := range before.Members {
		if !slices.Contains(s.Members, m) {
			parted++
		}
	}
	// Where nobody has come and gone between the two sets, who has a node in both has had it throughout.
	if before.Epoch > 0 && s.Departures-before.Departures == parted || t.flaws&FaultIgnoreDepartures != 0 {
		for node, at := range t.sure {
			if Owner(node, before.Members) == t.self && Owner(node, s.Members) == t.self {
				kept[node] = at
			}
		}
	}
	t.set, t.sure, t.from = s, kept, now+wait
}

// Owns tells whether a node's budget is this gateway's to deal out now.
func (t *Ownership) Owns(now Time, node string) bool {
	if now >= t.until && t.flaws&FaultIgnoreLease == 0 || Owner(node, t.set.Members) != t.self {
		return false
	}
	at, known := t.sure[node]
	if !known {
		at = t.from
		t.sure[node] = at
	}
	return now >= at
}

// Owner is who has a node's budget, as far as is known here.
func (t *Ownership) Owner(node string) string { return Owner(node, t.set.Members) }

// Epoch is that of the set.
func (t *Ownership) Epoch() uint64 { return t.set.Epoch }

// Members are those of the set.
func (t *Ownership) Members() []string { return slices.Clone(t.set.Members) }
