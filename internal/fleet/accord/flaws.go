package accord

// Flaws are defects that tests put in on purpose, to prove that what looks for defects finds them. Nothing else sets them.
type Flaws uint32

const (
	FromReceipt Flaws = 1 << iota // a lease counts from when its grant came, not from when it was asked for
	NoWait                        // a version comes into force without waiting for anybody
	NoMeet                        // a gateway that has prepared acts on the older version alone
	FreshLeader                   // a new leader takes nobody to hold anything
	NoFloor                       // a version does not wait for floors that contradict it
	NoDrift                       // keepers take all clocks to run alike
	TakesOld                      // a gateway takes grants in any order
	NoEcho                        // an ask from before a term counts as said in it
	NoJoin                        // a gateway that the log does not know gets a lease
	NoLease                       // leases never run out at gateways
	DropsHeld                     // versions are forgotten that a gateway may act on
	KeepsAll                      // none is ever forgotten
)

// Has tells whether one is among them.
func (f Flaws) Has(one Flaws) bool { return f&one != 0 }
