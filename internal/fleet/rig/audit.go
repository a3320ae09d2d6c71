package rig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"irispost/internal/fleet/configversion"
)

const nanosPerMilli = 1e6

// noConflict is the start time of a conflict while there is none.
const noConflict = -1

// Agreement is the result of an audit.
type Agreement struct {
	BoundMillis    float64 `json:"stated_ms"`       // longest time for which two gateways may conflict
	WorstMillis    float64 `json:"worst_ms"`        // longest time for which two gateways conflicted
	Pairs          int     `json:"pairs_checked"`   // pairs of gateways
	Intervals      int     `json:"spans_checked"`   // intervals that were compared, each without a change
	Versions       int     `json:"versions"`        // number of versions in the log
	Violations     int     `json:"broken"`          // pairs with a conflict longer than the bound; AuditSweep: at most 1
	FirstViolation string  `json:"first,omitempty"` // which gateways (AuditPairs only), for how long, and in what
}

// AuditPairs audits each pair of gateways. records holds each gateway's activations in order of time; the last one is
// in effect until end. bound and end are in nanoseconds.
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

// addPair adds the result of one pair of gateways.
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
	worst     int64  // longest time for which they conflicted, in nanoseconds
	conflict  string // what they conflicted in at the end of that time
	intervals int
}

// auditPair compares two gateways in each interval in which neither changes what it acts on.
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

// activationAt returns the activation that is in effect at a time, or the zero Activation if there is none yet.
func activationAt(record []Activation, at int64) Activation {
	var current Activation
	for _, activation := range record {
		if activation.At <= at {
			current = activation
		}
	}
	return current
}
