package relive

import (
	"fmt"
	"slices"
	"time"

	"irispost/internal/capture"
	"irispost/scheduler"
)

// windowLength is the time in which a node's behavior counts as one.
const windowLength = 250 * scheduler.Millisecond

// minUnits is the size, in units, that smaller attempts count as when their pace is computed.
const minUnits = 0.01

// defaultPace is the pace of a node that has served nothing, in nanoseconds a unit.
const defaultPace = float64(time.Millisecond)

// nodeBehavior is how a captured node did, by windows of time since the start.
type nodeBehavior struct {
	windows map[int64]*window
}

// window is how a node did in a window: the attempts that were sent to it then.
type window struct {
	paces        []float64 // of what was served, nanoseconds a unit
	failed       int
	unresponsive int
}

// add takes in the end of an attempt at a time after the start.
func (b *nodeBehavior) add(record *capture.Record, at scheduler.Time, units float64) {
	index := (at - record.Took) / windowLength
	w := b.windows[index]
	if w == nil {
		w = &window{}
		b.windows[index] = w
	}
	switch record.Outcome {
	case scheduler.OutcomeServed:
		w.paces = append(w.paces, float64(record.Took)/max(units, minUnits))
	case scheduler.OutcomeError, scheduler.OutcomeReset, scheduler.OutcomeOverloaded:
		w.failed++
	case scheduler.OutcomeTimeout, scheduler.OutcomeConnectFailed:
		w.unresponsive++
	}
}

// usualPace is the median time of a unit.
func (b *nodeBehavior) usualPace() time.Duration {
	var paces []float64
	for _, w := range b.windows {
		paces = append(paces, w.paces...)
	}
	if len(paces) == 0 {
		return time.Duration(defaultPace)
	}
	return time.Duration(median(paces))
}

// commands are the commands to a test node that make it behave so in a window: how long a unit takes against the usual
// pace, what share fails, and whether it answers at all.
func (w *window) commands(usualPace time.Duration) []string {
	served := len(w.paces)
	commands := []string{"well"}
	if served == 0 && w.unresponsive > 0 {
		commands = append(commands, "hang")
	}
	if served > 0 {
		commands = append(commands, fmt.Sprintf("slow %.3f", median(w.paces)/float64(usualPace)))
	}
	if w.failed > 0 {
		commands = append(commands, fmt.Sprintf("fail %.3f", float64(w.failed)/float64(w.failed+served)))
	}
	return commands
}

// median returns the upper median of values; there is at least one.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
