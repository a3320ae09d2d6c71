package content

// InjectedFaults is a set of defects that tests inject to prove that their checks detect them. Only tests set it.
type InjectedFaults uint8

// The defects that can be injected.
const (
	FaultNoDigestCheck  InjectedFaults = 1 << iota // the digest of a received content is not checked
	FaultWrongBase                                 // deltas are decoded with the most recently fetched content as base
	FaultStaleCacheFile                            // a missing content is replaced by the extra base (the one from disk)
)

// Has reports whether a defect is injected.
func (f InjectedFaults) Has(fault InjectedFaults) bool { return f&fault != 0 }
