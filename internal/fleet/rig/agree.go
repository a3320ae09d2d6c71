package rig

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"irispost/internal/fleet/configversion"
)

// Activation is what a gateway acted on from a time on: versions, or their floors. No versions: nothing.
type Activation struct {
	At       int64 // nanoseconds, on one clock for all
	Versions []uint64
	Fallback bool
}

// ReadActivations reads a gateway's record.
func ReadActivations(r io.Reader) (list []Activation, err error) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		f := strings.Fields(strings.NewReplacer("[", "", "]", "").Replace(s.Text()))
		if len(f) < 2 {
			return nil, fmt.Errorf("%q is no line of a record", s.Text())
		}
		a := Activation{Fallback: f[1] == "true"}
		if a.At, err = strconv.ParseInt(f[0], 10, 64); err != nil {
			return nil, err
		}
		for _, word := range f[2:] {
			n, err := strconv.ParseUint(word, 10, 64)
			if err != nil {
				return nil, err
			}
			a.Versions = append(a.Versions, n)
		}
		list = append(list, a)
	}
	return list, s.Err()
}

// Agreement is what an audit of all gateways' records came to.
type Agreement struct {
	BoundMillis    float64 `json:"stated_ms"`     // the longest time that a pair may contradict
	WorstMillis    float64 `json:"worst_ms"`      // the longest that one did
	Pairs          int     `json:"pairs_checked"` // pairs of gateways
	Intervals      int     `json:"spans_checked"` // spans of time in which neither of a pair changed
	Versions       int     `json:"versions"`
	Violations     int     `json:"broken"` // pairs that contradicted for longer than stated
	FirstViolation string  `json:"first,omitempty"`
}

// AuditPairs audits records: each gateway's, in order of time, ending with what it acts on at the end. Whether two contradict is
// worked out from the versions' content alone.
func AuditPairs(records map[string][]Activation, versions []*configversion.Version, stated, end int64) (a Agreement, err error) {
	opened := map[uint64]*configversion.Config{}
	for _, v := range versions {
		if opened[v.Number], err = v.Config(); err != nil {
			return a, err
		}
	}
	a.Versions, a.BoundMillis = len(versions), float64(stated)/1e6
	judge := &judge{opened: opened, known: map[string]string{}}
	var names []string
	for name := range records {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, one := range names {
		for _, other := range names[i+1:] {
			a.Pairs++
			worst, why, spans := judge.pair(records[one], records[other], end)
			a.Intervals += spans
			a.WorstMillis = max(a.WorstMillis, float64(worst)/1e6)
			if worst > stated {
				a.Violations++
				if a.FirstViolation == "" {
					a.FirstViolation = fmt.Sprintf("%s and %s for %d ms: %s", one, other, worst/1e6, why)
				}
			}
		}
	}
	return a, nil
}

type judge struct {
	opened map[uint64]*configversion.Config
	known  map[string]string
}

// pair finds the longest time for which two gateways contradicted, and in what.
func (j *judge) pair(a, b []Activation, end int64) (worst int64, why string, spans int) {
	var times []int64
	for _, x := range slices.Concat(a, b) {
		times = append(times, x.At)
	}
	slices.SortFunc(times, cmp.Compare)
	times = append(slices.Compact(times), end)
	since := int64(-1)
	for i, at := range times[:len(times)-1] {
		text := j.contradict(during(a, at), during(b, at))
		spans++
		if text == "" {
			since = -1
			continue
		}
		if since < 0 {
			since = at
		}
		if long := times[i+1] - since; long > worst {
			worst, why = long, text
		}
	}
	return worst, why, spans
}

func during(list []Activation, at int64) (found Activation) {
	for _, x := range list {
		if x.At <= at {
			found = x
		}
	}
	return found
}

// contradict tells in what two gateways contradict; "": in nothing. Who honours a version that the other honours too does not,
// nor does who is on a floor that is within a version of the other.
func (j *judge) contradict(a, b Activation) string {
	if len(a.Versions) == 0 || len(b.Versions) == 0 {
		return ""
	}
	key := fmt.Sprint(a.Versions, a.Fallback, b.Versions, b.Fallback)
	if text, known := j.known[key]; known {
		return text
	}
	text := strings.Join(j.judged(a, b), "; ")
	j.known[key] = text
	return text
}

func (j *judge) judged(a, b Activation) []string {
	x, y := j.effect(a), j.effect(b)
	for _, n := range slices.Concat(a.Versions, b.Versions) {
		if v := j.opened[n]; v != nil && len(configversion.Exceeds(x, v)) == 0 && len(configversion.Exceeds(y, v)) == 0 {
			return nil // both are within that version
		}
	}
	return configversion.Conflicts(x, y)
}

func (j *judge) effect(a Activation) (r *configversion.Config) {
	for _, n := range a.Versions {
		next := j.opened[n]
		if next == nil {
			continue
		}
		if a.Fallback {
			next = next.Fallback()
		}
		if r == nil {
			r = next
		} else {
			r = configversion.Intersect(r, next)
		}
	}
	if r == nil {
		return (&configversion.Config{}).DenyAll()
	}
	return r
}
