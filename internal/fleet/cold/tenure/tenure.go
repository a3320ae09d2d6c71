package tenure

import "slices"

// Time is nanoseconds on one process's clock.
type Time = int64

// Set is the members as the leading keeper has them, and for how long, by its clock, it has known of no others: since the log's last
// change of them, or since it leads, if that is later.
type Set struct {
	Number  uint64   `json:"number"` // of changes so far
	Parts   uint64   `json:"parts"`  // how often one has parted so far
	Age     Time     `json:"age"`
	Members []string `json:"members,omitempty"`
	Lease   Time     `json:"lease"` // the keepers' terms
	Drift   float64  `json:"drift"`
}

// longer is a span as another clock may count it.
func (s *Set) longer(span Time) Time { return Time(float64(span)*(1+s.Drift)/(1-s.Drift)) + 1 }

// Tenure is what one gateway knows of its budgets. It is told of each grant of a lease.
type Tenure struct {
	self  string
	flaws Flaws
	set   Set
	until Time            // the lease that the set came with
	sure  map[string]Time // from when on a node is its own; by the nodes that it has been asked for
	from  Time            // and for all others
}

// Flaws are defects that tests put in.
type Flaws uint

// The defects.
const (
	NoWait  Flaws = 1 << iota // who comes to have a budget deals at once
	NoLease                   // who is cut off goes on dealing
	NoParts                   // who has had it before and after is believed to have had it throughout
)

// New knows of no set.
func New(self string, f Flaws) *Tenure {
	return &Tenure{self: self, flaws: f, sure: map[string]Time{}}
}

// Granted takes in what a lease came with: asked is when it was asked for, now when it came.
func (t *Tenure) Granted(asked, now Time, s Set) {
	if s.Number < t.set.Number {
		return
	}
	t.until = max(t.until, asked+s.Lease)
	if s.Number == t.set.Number {
		return
	}
	wait := max(s.longer(s.longer(s.Lease)-s.Age), 0) // until all leases given under the sets before have run out
	if t.flaws&NoWait != 0 {
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
	if before.Number > 0 && s.Parts-before.Parts == parted || t.flaws&NoParts != 0 {
		for node, at := range t.sure {
			if Owner(node, before.Members) == t.self && Owner(node, s.Members) == t.self {
				kept[node] = at
			}
		}
	}
	t.set, t.sure, t.from = s, kept, now+wait
}

// Mine tells whether a node's budget is this gateway's to deal out now.
func (t *Tenure) Mine(now Time, node string) bool {
	if now >= t.until && t.flaws&NoLease == 0 || Owner(node, t.set.Members) != t.self {
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
func (t *Tenure) Owner(node string) string { return Owner(node, t.set.Members) }

// Number is that of the set.
func (t *Tenure) Number() uint64 { return t.set.Number }

// Members are those of the set.
func (t *Tenure) Members() []string { return slices.Clone(t.set.Members) }
