package scale

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Turn is what a gateway's decision module was told to act on, and from when, by the machine's monotonic clock.
type Turn struct {
	At    int64
	Acts  string         // as the follower names it: a version, two with & between, a floor, or none
	Moved map[int]string // of each shard that is served by another node than before: which; "": by none
}

// alone is the number of the version that a gateway acts on by itself; 0: on none, on the meet of two, or on a floor.
func alone(acts string) uint64 {
	text, _, whole := strings.Cut(acts, ".")
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || !whole || strings.Contains(acts, "&") {
		return 0
	}
	return n
}

// since tells when a gateway first acted on a version alone.
func since(turns []Turn, version uint64) (at int64, ok bool) {
	for _, t := range turns {
		if alone(t.Acts) == version {
			return t.At, true
		}
	}
	return 0, false
}

// laggards names the gateways that are to act on a version alone and do not, with what they act on. A gateway that should be there and is
// not acts on "not there".
func laggards(acts map[string]string, version uint64) (list []string) {
	for name, a := range acts {
		if alone(a) != version {
			list = append(list, fmt.Sprintf("%s acts on %s, and not on version %d alone", name, a, version))
		}
	}
	slices.Sort(list)
	return list
}

// turned tells when a gateway first sent a shard's work to the successor of a node that was lost, by what its module was told; broken says
// what is wrong: it never did, or it sent to the old node after that, or does at the end.
func turned(turns []Turn, shard int, old, successor string) (at int64, broken string) {
	last := ""
	for _, t := range turns {
		to, moved := t.Moved[shard]
		if !moved {
			continue
		}
		switch {
		case to == successor && at == 0:
			at = t.At
		case to == old && at != 0:
			return at, fmt.Sprintf("it turned back to %s, %d ms after it had turned to %s", old, (t.At-at)/1e6, successor)
		}
		last = to
	}
	switch {
	case at == 0:
		return 0, fmt.Sprintf("it never turned from %s to %s", old, successor)
	case last != successor:
		return at, fmt.Sprintf("it sends to %q at the end, and not to %s", last, successor)
	}
	return at, ""
}

// growth is what may grow over a run in which nothing that has to be held does: a part more than early in the run, and a little.
const (
	growthPart = 1.3
	growthRest = 8.0 // MB: a garbage collector's doing
)

// grown tells whether something grows with the changes made, by what it was after each part of a run, in MB.
func grown(what string, parts []float64) string {
	if len(parts) < 3 {
		return fmt.Sprintf("%s: weighed %d times, too few to tell", what, len(parts))
	}
	early, late := parts[0], parts[len(parts)-1]
	if late <= early*growthPart+growthRest {
		return ""
	}
	return fmt.Sprintf("%s grows with the changes made: %.1f MB after the first of %d parts of the run, %.1f MB at its end", what, early, len(parts), late)
}

// differing names those whose end state is not that of most, with both.
func differing(ends map[string]string) (list []string) {
	count := map[string]int{}
	most := ""
	for _, end := range ends {
		count[end]++
	}
	for end, n := range count {
		if n > count[most] || n == count[most] && end < most {
			most = end
		}
	}
	for name, end := range ends {
		if end != most {
			list = append(list, fmt.Sprintf("%s: %s, and %d others %s", name, end, count[most], most))
		}
	}
	slices.Sort(list)
	return list
}
