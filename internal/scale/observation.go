package scale

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ListUpdate is an endpoint list, or a change to one, that a gateway's scheduler received.
type ListUpdate struct {
	At          int64          // nanoseconds of the machine's monotonic clock
	ActingOn    string         // in the client's form: a version, two with & between, a fallback, or none
	MovedShards map[int]string // shards that moved, with the address of their new node; "": none
}

// nothingActive is what a gateway acts on that may not serve.
const nothingActive = "none"

// soleVersion returns the number of the version that a gateway acts on alone; 0: it acts on none, on the intersection
// of two, or on a fallback.
func soleVersion(actingOn string) uint64 {
	text, _, hasDigest := strings.Cut(actingOn, ".")
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || !hasDigest || strings.Contains(actingOn, "&") {
		return 0
	}
	return number
}

// actingSince returns when a gateway first acted on a version alone, if it did.
func actingSince(updates []ListUpdate, version uint64) (at int64, ok bool) {
	for _, update := range updates {
		if soleVersion(update.ActingOn) == version {
			return update.At, true
		}
	}
	return 0, false
}

// laggards names the gateways that should act on a version alone and do not, with what they act on.
func laggards(actingOn map[string]string, version uint64) (list []string) {
	for name, active := range actingOn {
		if soleVersion(active) != version {
			list = append(list, fmt.Sprintf("%s acts on %s, and not on version %d alone", name, active, version))
		}
	}
	slices.Sort(list)
	return list
}

// switchedAt returns when a gateway first sent a shard's requests to the successor of a node that was lost, by the
// updates that its scheduler received. The violation tells what is wrong: it never did, or it went back to the old
// node, or does not send to the successor at the end.
func switchedAt(updates []ListUpdate, shard int, old, successor string) (at int64, violation string) {
	last := ""
	for _, update := range updates {
		addr, moved := update.MovedShards[shard]
		if !moved {
			continue
		}
		switch {
		case addr == successor && at == 0:
			at = update.At
		case addr == old && at != 0:
			return at, fmt.Sprintf("it turned back to %s, %d ms after it had turned to %s",
				old, (update.At-at)/1e6, successor)
		}
		last = addr
	}
	switch {
	case at == 0:
		return 0, fmt.Sprintf("it never turned from %s to %s", old, successor)
	case last != successor:
		return at, fmt.Sprintf("it sends to %q at the end, and not to %s", last, successor)
	}
	return at, ""
}

// minorityStates names those whose state is not that of the most, with both states.
func minorityStates(states map[string]string) (list []string) {
	count := map[string]int{}
	mostFrequent := ""
	for _, state := range states {
		count[state]++
	}
	for state, n := range count {
		if n > count[mostFrequent] || n == count[mostFrequent] && state < mostFrequent {
			mostFrequent = state
		}
	}
	for name, state := range states {
		if state != mostFrequent {
			list = append(list, fmt.Sprintf("%s: %s, and %d others %s", name, state, count[mostFrequent], mostFrequent))
		}
	}
	slices.Sort(list)
	return list
}
