package budget

// Flaws are defects that tests put in, to show that their checks find them. Nothing else does.
type Flaws uint

// The defects.
const (
	FullStart    Flaws = 1 << iota // a dealer begins with all ready, though another may have lent it
	IgnoresOut                     // what is out takes no room
	TakesOld                       // an ask that comes twice counts twice
	BelievesBack                   // more is taken back than was lent
	NoDrift                        // a loan is over for its dealer before it is for its holder
	KeepsUnits                     // a holder gives back what it goes on using
)

// Has tells whether a defect is in.
func (f Flaws) Has(one Flaws) bool { return f&one != 0 }
