package scale

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ListUpdate is a complete or partial endpoint list that a gateway's scheduler received.
type ListUpdate struct {
	At          int64          // nanoseconds of the machine's monotonic clock
	ActingOn    string         // as the client formats it: a version, two joined by &, a fallback, or none
	MovedShards map[int]string // the new address of each shard whose node changed; "": no node
}

// nothingActive is the ListUpdate.ActingOn of a gateway that must not serve.
const nothingActive = "none"

// soleVersion returns the number of the version that a gateway acts on alone. It returns 0 if the gateway acts on no
// version, on the intersection of two, or on a fallback.
func soleVersion(actingOn string) uint64 {
	text, _, hasDigest := strings.Cut(actingOn, ".")
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || !hasDigest || strings.Contains(actingOn, "&") {
		return 0
	}
	return number
}

// actingSince returns when a gateway first acted on a version alone; ok is false if it never did.
func actingSince(updates []ListUpdate, version uint64) (at int64, ok bool) {
	for _, update := range updates {
		if soleVersion(update.ActingOn) == version {
			return update.At, true
		}
	}
	return 0, false
}

// laggards describes the gateways that do not act on a version alone, given what each gateway acts on.
func laggards(actingOn map[string]string, version uint64) (list []string) {
	for name, active := range actingOn {
		if soleVersion(active) != version {
			list = append(list, fmt.Sprintf("%s acts on %s, want version %d alone", name, active, version))
		}
	}
	slices.Sort(list)
	return list
}

// switchedAt returns when a gateway first sent a shard's requests to the successor of a lost node, according to the
// updates that its scheduler received. There is a violation if the gateway never switched, if it switched back to the
// old node, or if it does not send to the successor at the end.
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
			return at, fmt.Sprintf("switched back to %s, %d ms after it had switched to %s",
				old, (update.At-at)/1e6, successor)
		}
		last = addr
	}
	switch {
	case at == 0:
		return 0, fmt.Sprintf("never switched from %s to %s", old, successor)
	case last != successor:
		return at, fmt.Sprintf("sends to %q at the end, want %s", last, successor)
	}
	return at, ""
}

// minorityStates describes the entries whose state differs from the most frequent one.
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
			list = append(list, fmt.Sprintf("%s: %s; %d others: %s", name, state, count[mostFrequent], mostFrequent))
		}
	}
	slices.Sort(list)
	return list
}
