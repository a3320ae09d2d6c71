package rig

import (
	"cmp"
	"fmt"
	"slices"

	"irispost/internal/fleet/configversion"
)

// AuditSweep audits records of many gateways as Agree does, in one walk over time in place of one over each pair: Worst is the longest time
// for which some two gateways contradicted without a break, whoever they were, so that no pair did for longer than that. Broken is 1 where
// it is over what is stated. Where nobody contradicted it is 0, as Agree's is.
func AuditSweep(records map[string][]Activation, versions []*configversion.Version, stated, end int64) (a Agreement, err error) {
	opened := map[uint64]*configversion.Config{}
	for _, v := range versions {
		if opened[v.Number], err = v.Config(); err != nil {
			return a, err
		}
	}
	a.Versions, a.BoundMillis, a.Pairs = len(versions), float64(stated)/1e6, len(records)*(len(records)-1)/2
	type change struct {
		at   int64
		who  string
		acts Activation
	}
	var list []change
	for who, acts := range records {
		for _, x := range acts {
			list = append(list, change{x.At, who, x})
		}
	}
	slices.SortFunc(list, func(a, b change) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.who, b.who)) })
	s := sweep{judge: &judge{opened: opened, known: map[string]string{}}, acts: map[string]string{}, count: map[string]int{}, as: map[string]Activation{}}
	since, why := int64(-1), ""
	for i, c := range list {
		s.turn(c.who, c.acts)
		if i+1 < len(list) && list[i+1].at == c.at {
			continue
		}
		a.Intervals++
		text := s.contradict()
		until := end
		if i+1 < len(list) {
			until = list[i+1].at
		}
		if text == "" {
			since = -1
			continue
		}
		if since < 0 {
			since, why = c.at, text
		}
		if long := float64(until-since) / 1e6; long > a.WorstMillis {
			a.WorstMillis = long
			if until-since > stated {
				a.Violations, a.FirstViolation = 1, fmt.Sprintf("for %d ms: %s", (until-since)/1e6, why)
			}
		}
	}
	return a, nil
}

// sweep is what all act on at one time.
type sweep struct {
	judge *judge
	acts  map[string]string // by gateway
	count map[string]int    // gateways that act so
	as    map[string]Activation
}

// turn has a gateway act on something from now on.
func (s *sweep) turn(who string, acts Activation) {
	if before, known := s.acts[who]; known {
		if s.count[before]--; s.count[before] == 0 {
			delete(s.count, before)
			delete(s.as, before)
		}
	}
	now := fmt.Sprint(acts.Versions, acts.Fallback)
	s.acts[who], s.as[now] = now, acts
	s.count[now]++
}

// contradict tells in what some two gateways contradict now; "": in nothing.
func (s *sweep) contradict() string {
	var names []string
	for name := range s.count {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, one := range names {
		for _, other := range names[i+1:] {
			if text := s.judge.contradict(s.as[one], s.as[other]); text != "" {
				return text
			}
		}
	}
	return ""
}
