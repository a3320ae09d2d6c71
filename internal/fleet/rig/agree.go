package rig

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"irispost/internal/fleet/rules"
)

// Acts is what a gateway acted on from a time on: versions, or their floors. No versions: nothing.
type Acts struct {
	At    int64 // nanoseconds, on one clock for all
	Holds []uint64
	Floor bool
}

// ReadActs reads a gateway's record.
func ReadActs(r io.Reader) (list []Acts, err error) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		f := strings.Fields(strings.NewReplacer("[", "", "]", "").Replace(s.Text()))
		if len(f) < 2 {
			return nil, fmt.Errorf("%q is no line of a record", s.Text())
		}
		a := Acts{Floor: f[1] == "true"}
		if a.At, err = strconv.ParseInt(f[0], 10, 64); err != nil {
			return nil, err
		}
		for _, word := range f[2:] {
			n, err := strconv.ParseUint(word, 10, 64)
			if err != nil {
				return nil, err
			}
			a.Holds = append(a.Holds, n)
		}
		list = append(list, a)
	}
	return list, s.Err()
}

// Agreement is what an audit of all gateways' records came to.
type Agreement struct {
	Stated   float64 `json:"stated_ms"`     // the longest time that a pair may contradict
	Worst    float64 `json:"worst_ms"`      // the longest that one did
	Pairs    int     `json:"pairs_checked"` // pairs of gateways
	Spans    int     `json:"spans_checked"` // spans of time in which neither of a pair changed
	Versions int     `json:"versions"`
	Broken   int     `json:"broken"` // pairs that contradicted for longer than stated
	First    string  `json:"first,omitempty"`
}

// Agree audits records: each gateway's, in order of time, ending with what it acts on at the end. Whether two contradict is
// worked out from the versions' content alone.
func Agree(records map[string][]Acts, versions []*rules.Version, stated, end int64) (a Agreement, err error) {
	opened := map[uint64]*rules.Rules{}
	for _, v := range versions {
		if opened[v.Number], err = v.Open(); err != nil {
			return a, err
		}
	}
	a.Versions, a.Stated = len(versions), float64(stated)/1e6
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
			a.Spans += spans
			a.Worst = max(a.Worst, float64(worst)/1e6)
			if worst > stated {
				a.Broken++
				if a.First == "" {
					a.First = fmt.Sprintf("%s and %s for %d ms: %s", one, other, worst/1e6, why)
				}
			}
		}
	}
	return a, nil
}

type judge struct {
	opened map[uint64]*rules.Rules
	known  map[string]string
}

// pair finds the longest time for which two gateways contradicted, and in what.
func (j *judge) pair(a, b []Acts, end int64) (worst int64, why string, spans int) {
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

func during(list []Acts, at int64) (found Acts) {
	for _, x := range list {
		if x.At <= at {
			found = x
		}
	}
	return found
}

// contradict tells in what two gateways contradict; "": in nothing. Who honours a version that the other honours too does not,
// nor does who is on a floor that is within a version of the other.
func (j *judge) contradict(a, b Acts) string {
	if len(a.Holds) == 0 || len(b.Holds) == 0 {
		return ""
	}
	key := fmt.Sprint(a.Holds, a.Floor, b.Holds, b.Floor)
	if text, known := j.known[key]; known {
		return text
	}
	text := strings.Join(j.judged(a, b), "; ")
	j.known[key] = text
	return text
}

func (j *judge) judged(a, b Acts) []string {
	x, y := j.effect(a), j.effect(b)
	for _, n := range slices.Concat(a.Holds, b.Holds) {
		if v := j.opened[n]; v != nil && len(rules.Beyond(x, v)) == 0 && len(rules.Beyond(y, v)) == 0 {
			return nil // both are within that version
		}
	}
	return rules.Contradict(x, y)
}

func (j *judge) effect(a Acts) (r *rules.Rules) {
	for _, n := range a.Holds {
		next := j.opened[n]
		if next == nil {
			continue
		}
		if a.Floor {
			next = next.Lapsed()
		}
		if r == nil {
			r = next
		} else {
			r = rules.Meet(r, next)
		}
	}
	if r == nil {
		return (&rules.Rules{}).Nothing()
	}
	return r
}
