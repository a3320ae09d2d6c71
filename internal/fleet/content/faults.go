package content

// InjectedFaults are defects that tests put in, to show that their checks find them. Nothing else sets them.
type InjectedFaults uint8

// The defects.
const (
	FaultNoDigestCheck  InjectedFaults = 1 << iota // the digest of what was received is not checked
	FaultWrongBase                                 // a delta is decoded with the content that came last, whatever its base
	FaultStaleCacheFile                            // the content from the disk passes for any content
)

// Has tells whether a defect is put in.
func (f InjectedFaults) Has(fault InjectedFaults) bool { return f&fault != 0 }
