package relive

import (
	"fmt"
	"slices"
	"time"

	"irispost/internal/capture"
	"irispost/scheduler"
)

// windowLength is the interval in which the behavior of a node is summarized.
const windowLength = 250 * scheduler.Millisecond

// minUnits is the smallest size of an attempt, in units, by which its duration is divided.
const minUnits = 0.01

// defaultUnitTime is the time per unit, in nanoseconds, of a node that has served nothing.
const defaultUnitTime = float64(time.Millisecond)

// nodeBehavior is the behavior of a captured node.
type nodeBehavior struct {
	windows map[int64]*window // by time since the start, divided by windowLength
}

// window summarizes the attempts that were sent to a node within an interval.
type window struct {
	unitTimes    []float64 // of served attempts, nanoseconds per unit
	failed       int
	unresponsive int
}

// add counts an attempt that ended at a time after the start.
func (b *nodeBehavior) add(record *capture.Record, at scheduler.Time, units float64) {
	index := (at - record.Took) / windowLength
	w := b.windows[index]
	if w == nil {
		w = &window{}
		b.windows[index] = w
	}
	switch record.Outcome {
	case scheduler.OutcomeServed:
		w.unitTimes = append(w.unitTimes, float64(record.Took)/max(units, minUnits))
	case scheduler.OutcomeError, scheduler.OutcomeReset, scheduler.OutcomeOverloaded:
		w.failed++
	case scheduler.OutcomeTimeout, scheduler.OutcomeConnectFailed:
		w.unresponsive++
	}
}

// medianUnitTime returns the median time per unit over all windows.
func (b *nodeBehavior) medianUnitTime() time.Duration {
	var unitTimes []float64
	for _, w := range b.windows {
		unitTimes = append(unitTimes, w.unitTimes...)
	}
	if len(unitTimes) == 0 {
		return time.Duration(defaultUnitTime)
	}
	return time.Duration(median(unitTimes))
}

// commands returns the commands that make a test node behave like the captured node in the window: the time per unit
// relative to the median, the share of attempts that fail, and whether the node answers at all.
func (w *window) commands(medianUnitTime time.Duration) []string {
	served := len(w.unitTimes)
	commands := []string{"well"}
	if served == 0 && w.unresponsive > 0 {
		commands = append(commands, "hang")
	}
	if served > 0 {
		commands = append(commands, fmt.Sprintf("slow %.3f", median(w.unitTimes)/float64(medianUnitTime)))
	}
	if w.failed > 0 {
		commands = append(commands, fmt.Sprintf("fail %.3f", float64(w.failed)/float64(w.failed+served)))
	}
	return commands
}

// median returns the upper median of values, of which there must be at least one.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
