package rig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"irispost/internal/fleet/configversion"
)

const nanosPerMilli = 1e6

// noConflict is the start of a conflict while there is none.
const noConflict = -1

// Agreement is the result of an audit.
type Agreement struct {
	BoundMillis    float64 `json:"stated_ms"`       // the longest time that two gateways may conflict
	WorstMillis    float64 `json:"worst_ms"`        // the longest time that two did
	Pairs          int     `json:"pairs_checked"`   // pairs of gateways
	Intervals      int     `json:"spans_checked"`   // of time in which neither of a pair changed
	Versions       int     `json:"versions"`        // in the log
	Violations     int     `json:"broken"`          // pairs that conflicted for longer than the bound
	FirstViolation string  `json:"first,omitempty"` // who, for how long, and in what
}

// AuditPairs audits each pair of gateways. Each record is in order of time, and its last activation holds until end.
// Bound and end are in nanoseconds.
func AuditPairs(
	records map[string][]Activation, versions []*configversion.Version, bound, end int64,
) (Agreement, error) {
	finder, err := newConflictFinder(versions)
	if err != nil {
		return Agreement{}, err
	}
	result := Agreement{Versions: len(versions), BoundMillis: float64(bound) / nanosPerMilli}
	names := slices.Sorted(maps.Keys(records))
	for i, name := range names {
		for _, other := range names[i+1:] {
			pair := finder.auditPair(records[name], records[other], end)
			result.addPair(name, other, pair, bound)
		}
	}
	return result, nil
}

// addPair counts a pair of gateways.
func (a *Agreement) addPair(name, other string, pair pairResult, bound int64) {
	a.Pairs++
	a.Intervals += pair.intervals
	a.WorstMillis = max(a.WorstMillis, float64(pair.worst)/nanosPerMilli)
	if pair.worst <= bound {
		return
	}
	a.Violations++
	if a.FirstViolation == "" {
		a.FirstViolation = fmt.Sprintf("%s and %s for %d ms: %s", name, other, pair.worst/nanosPerMilli, pair.conflict)
	}
}

// pairResult is the result for one pair of gateways.
type pairResult struct {
	worst     int64  // nanoseconds; the longest time for which they conflicted
	conflict  string // in what, at the end of that time
	intervals int
}

func (f *conflictFinder) auditPair(a, b []Activation, end int64) pairResult {
	var times []int64
	for _, activation := range slices.Concat(a, b) {
		times = append(times, activation.At)
	}
	slices.SortFunc(times, cmp.Compare)
	times = append(slices.Compact(times), end)
	var result pairResult
	since := int64(noConflict)
	for i, at := range times[:len(times)-1] {
		result.intervals++
		conflict := f.conflict(activationAt(a, at), activationAt(b, at))
		if conflict == "" {
			since = noConflict
			continue
		}
		if since == noConflict {
			since = at
		}
		if lasted := times[i+1] - since; lasted > result.worst {
			result.worst = lasted
			result.conflict = conflict
		}
	}
	return result
}

// activationAt is what a gateway acts on at a time.
func activationAt(record []Activation, at int64) Activation {
	var current Activation
	for _, activation := range record {
		if activation.At <= at {
			current = activation
		}
	}
	return current
}
