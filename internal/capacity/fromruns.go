package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// FromRuns converts the output of `irispost fleet bench --json` and `irispost fleet scale --json` to records. The files
// are given by name; each holds one run or a list of runs.
//
// Runs of the same kind that differ only in one size are the points of one record: by followers and by nodes for the
// bench, by gateways for the scale tests, and by changes for the marks within a run. leftOut describes the figures that
// have fewer than three sizes; figures without a unit are ignored. A run with violations is an error that wraps
// ErrBadRun.
func FromRuns(files map[string][]byte, command, commit string) (records []*Record, leftOut []string, err error) {
	var runs []run
	for _, name := range slices.Sorted(maps.Keys(files)) {
		parsed, err := parseRuns(files[name])
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", name, err)
		}
		runs = append(runs, parsed...)
	}
	collector := &runCollector{runs: runs, byName: map[string]*Record{}, command: command, commit: commit}
	for _, r := range runs {
		if err := collector.addRun(r); err != nil {
			return nil, nil, err
		}
	}
	return collector.fitted()
}

// runCollector collects the points of records from runs.
type runCollector struct {
	runs    []run
	byName  map[string]*Record
	command string
	commit  string
}

// addRun adds a run's figures to the records of each axis on which the run is a point, and the figures of its marks.
func (c *runCollector) addRun(added run) error {
	for _, axis := range []axis{followersAxis, nodesAxis, gatewaysAxis} {
		size, ok := added.sizes[axis]
		if !ok || !c.isPoint(added, axis) {
			continue
		}
		if err := c.addFigures(added.kind, added.figures, axis, size); err != nil {
			return err
		}
	}
	if added.sizes[nodesAxis] != c.largest(added.kind, nodesAxis) {
		return nil
	}
	for _, mark := range added.marks {
		if err := c.addFigures(added.kind, mark.figures, changesAxis, mark.sizes[changesAxis]); err != nil {
			return err
		}
	}
	return nil
}

// isPoint reports whether a run is a point of the records along an axis: its size on the other axis has to be the
// largest among the runs of its kind.
func (c *runCollector) isPoint(r run, along axis) bool {
	var other axis
	switch along {
	case followersAxis:
		other = nodesAxis
	case nodesAxis:
		other = followersAxis
	default:
		return true
	}
	return r.sizes[other] == c.largest(r.kind, other)
}

// largest returns the largest size along an axis among the runs of one kind.
func (c *runCollector) largest(kind string, along axis) (largest float64) {
	for _, r := range c.runs {
		if r.kind == kind {
			largest = max(largest, r.sizes[along])
		}
	}
	return largest
}

func (c *runCollector) addFigures(kind string, figures map[string]float64, along axis, size float64) error {
	for name, value := range figures {
		if err := c.addPoint(kind+"_"+name, along, size, value); err != nil {
			return err
		}
	}
	return nil
}

// addPoint adds a figure at a size to its record. If several runs have the same size, the largest value is kept.
func (c *runCollector) addPoint(name string, along axis, size, value float64) error {
	unit := unitOf(name)
	if unit == "" {
		return nil
	}
	name += "_by_" + string(along)
	record := c.byName[name]
	if record == nil {
		record = &Record{
			Name:    name,
			Unit:    unit,
			Over:    string(along),
			Origin:  Measured,
			Command: c.command,
			Commit:  c.commit,
		}
		c.byName[name] = record
	}
	for i, point := range record.Points {
		if point.Size == size {
			record.Points[i].Measured = max(point.Measured, value)
			return nil
		}
	}
	if !(size > 0) {
		return fmt.Errorf("%s: size %v is not positive: %w", name, size, ErrBadRun)
	}
	record.Points = append(record.Points, Point{size, value})
	return nil
}

// fitted returns the fitted records that have enough sizes, sorted by name, and descriptions of the others.
func (c *runCollector) fitted() (records []*Record, leftOut []string, err error) {
	for _, name := range slices.Sorted(maps.Keys(c.byName)) {
		record := c.byName[name]
		if count := len(record.Points); count < minimumSizes {
			text := fmt.Sprintf("%s: %d sizes, a fit needs at least %d", name, count, minimumSizes)
			leftOut = append(leftOut, text)
			continue
		}
		if err := record.Fit(); err != nil {
			return nil, nil, err
		}
		records = append(records, record)
	}
	return records, leftOut, nil
}

// units maps parts of figure names to units; the first match applies.
var units = []struct{ part, unit string }{
	{"bytes_s", "bytes a second"},
	{"bytes", "bytes"},
	{"_core", "cores"},
	{"_mb", "MB"},
	{"_ms", "ms"},
}

// unitOf returns the unit of a figure, or "" if the figure only counts events of the run and is not a cost.
func unitOf(name string) string {
	for _, candidate := range units {
		if strings.Contains(name, candidate.part) {
			return candidate.unit
		}
	}
	return ""
}
