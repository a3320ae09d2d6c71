package scheduler

import "strings"

// RepeatGuard keeps requests of classes that are not idempotent from running a second time when a client sends one
// again under the same ID, after it has left or lost the answer. It remembers the IDs of a limited number of requests
// that may have run, the latest ones. A RepeatGuard is not safe for concurrent use.
type RepeatGuard struct {
	idempotency   map[string]Idempotency // by class name
	recent, older map[string]struct{}    // IDs; recent replaces older when it is full
}

// NewRepeatGuard returns a guard for the request classes that the settings define.
func NewRepeatGuard(settings Settings) *RepeatGuard {
	guard := &RepeatGuard{idempotency: map[string]Idempotency{}, recent: map[string]struct{}{}}
	for i := range settings.count(listRequestClasses) {
		class := settings.requestClass(i)
		guard.idempotency[class.Name] = class.Idempotency
	}
	return guard
}

// MayRun reports whether a request with this ID may run: none with the same ID is known to have been started.
func (g *RepeatGuard) MayRun(id string) bool {
	_, isRecent := g.recent[id]
	_, isOlder := g.older[id]
	return !isRecent && !isOlder
}

// RecordRun records that a request of a class may have run.
func (g *RepeatGuard) RecordRun(id, class string) {
	if g.idempotency[class] == Idempotent {
		return
	}
	if len(g.recent) >= repeatGuardIDs {
		g.recent, g.older = map[string]struct{}{}, g.recent
	}
	g.recent[strings.Clone(id)] = struct{}{} // the ID may be part of a longer text
}
