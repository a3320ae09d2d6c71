package rig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"irispost/internal/fleet/configversion"
)

// AuditSweep audits the records of many gateways in a single pass over time, where AuditPairs makes one for each pair.
// WorstMillis is the longest uninterrupted time in which any two gateways conflicted, not necessarily the same two
// throughout, and so an upper bound for every pair. It is 0 if no two gateways conflicted, as in AuditPairs.
// Violations is 1 if WorstMillis exceeds the bound, and 0 otherwise.
func AuditSweep(
	records map[string][]Activation, versions []*configversion.Version, bound, end int64,
) (Agreement, error) {
	finder, err := newConflictFinder(versions)
	if err != nil {
		return Agreement{}, err
	}
	result := Agreement{
		Versions:    len(versions),
		BoundMillis: float64(bound) / nanosPerMilli,
		Pairs:       len(records) * (len(records) - 1) / 2,
	}
	changes := changesByTime(records)
	state := newSweepState(finder)
	since := int64(noConflict)
	first := "" // the conflict that began at since
	for i, change := range changes {
		state.set(change.gateway, change.activation)
		last := i+1 == len(changes)
		if !last && changes[i+1].activation.At == change.activation.At {
			continue
		}
		result.Intervals++
		conflict := state.conflict()
		if conflict == "" {
			since = noConflict
			continue
		}
		if since == noConflict {
			since = change.activation.At
			first = conflict
		}
		until := end
		if !last {
			until = changes[i+1].activation.At
		}
		result.addConflict(until-since, bound, first)
	}
	return result, nil
}

// addConflict records the time, in nanoseconds, for which a conflict has lasted so far.
func (a *Agreement) addConflict(lasted, bound int64, conflict string) {
	millis := float64(lasted) / nanosPerMilli
	if millis <= a.WorstMillis {
		return
	}
	a.WorstMillis = millis
	if lasted > bound {
		a.Violations = 1
		a.FirstViolation = fmt.Sprintf("for %d ms: %s", lasted/nanosPerMilli, conflict)
	}
}

// sweepChange is one gateway's activation.
type sweepChange struct {
	gateway    string
	activation Activation
}

// changesByTime returns the activations of all gateways, ordered by time and then by the name of the gateway.
func changesByTime(records map[string][]Activation) []sweepChange {
	var list []sweepChange
	for gateway, record := range records {
		for _, activation := range record {
			list = append(list, sweepChange{gateway, activation})
		}
	}
	slices.SortFunc(list, func(a, b sweepChange) int {
		return cmp.Or(cmp.Compare(a.activation.At, b.activation.At), cmp.Compare(a.gateway, b.gateway))
	})
	return list
}

// sweepState holds what all gateways act on at one point in time. The key of an activation consists of its versions
// and whether their fallbacks are in effect.
type sweepState struct {
	finder        *conflictFinder
	keyOf         map[string]string     // by gateway
	gatewayCounts map[string]int        // number of gateways, by key
	activations   map[string]Activation // by key
}

func newSweepState(finder *conflictFinder) *sweepState {
	return &sweepState{
		finder:        finder,
		keyOf:         map[string]string{},
		gatewayCounts: map[string]int{},
		activations:   map[string]Activation{},
	}
}

// set records that a gateway acts on a new activation from now on.
func (s *sweepState) set(gateway string, activation Activation) {
	if before, known := s.keyOf[gateway]; known {
		s.gatewayCounts[before]--
		if s.gatewayCounts[before] == 0 {
			delete(s.gatewayCounts, before)
			delete(s.activations, before)
		}
	}
	key := fmt.Sprint(activation.Versions, activation.Fallback)
	s.keyOf[gateway] = key
	s.activations[key] = activation
	s.gatewayCounts[key]++
}

// conflict describes in what two of the gateways conflict, or returns "" if none do.
func (s *sweepState) conflict() string {
	keys := slices.Sorted(maps.Keys(s.gatewayCounts))
	for i, key := range keys {
		for _, other := range keys[i+1:] {
			if conflict := s.finder.conflict(s.activations[key], s.activations[other]); conflict != "" {
				return conflict
			}
		}
	}
	return ""
}
