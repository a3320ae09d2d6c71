package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Figure is one figure of the page, with the formula that computes it from the records for a fleet of a given size.
type Figure struct {
	Name    string
	Unit    string
	Bound   float64 // the operators' upper limit; 0: none
	Target  float64 // this project's own upper limit; 0: none
	Compute func(c *Computation) float64
}

// Computation evaluates the formula of one figure and notes which records the formula reads.
type Computation struct {
	Size
	records    Records
	used       []string
	problems   map[string]string // why records could not be used, by record name
	lastValue  float64           // the last result of At
	lastOrigin Origin            // origin of lastValue if its size was measured; else empty
}

// record returns the record with a name and notes its use. It returns nil and notes the problem if there is none.
func (c *Computation) record(name string) *Record {
	if !slices.Contains(c.used, name) {
		c.used = append(c.used, name)
	}
	record := c.records[name]
	if record == nil {
		c.problems[name] = "missing"
	}
	return record
}

// At returns the value of a record at a size. If the record has none, it returns 0 and notes the problem.
func (c *Computation) At(name string, size float64) float64 {
	record := c.record(name)
	if record == nil {
		return 0
	}
	value, measured, err := record.At(size)
	if err != nil {
		c.problems[name] = fmt.Sprintf("says nothing of %s %s", formatNumber(size), record.Over)
	}
	c.lastValue = value
	c.lastOrigin = ""
	if measured {
		c.lastOrigin = record.Origin
	}
	return value
}

// Slope returns the increase of a record's value for each additional unit of its size, which is 0 for a flat record. It
// notes a problem if the record is neither a line nor flat.
func (c *Computation) Slope(name string) float64 {
	record := c.record(name)
	if record == nil {
		return 0
	}
	c.lastOrigin = ""
	if record.Form == Flat {
		return 0
	}
	if record.Form != Line {
		c.problems[name] = "is no line"
	}
	return record.Value
}

// Result is a figure with its computed value.
type Result struct {
	Figure
	Value    float64
	Origin   Origin            // empty: not measured
	Used     []string          // names of the records, in the order in which the formula reads them
	Problems map[string]string // why records could not be used, by record name
}

// Result computes the figure. The result has no origin if a record is missing or has no value at the size.
func (f Figure) Result(records Records, size Size) Result {
	computation := &Computation{Size: size, records: records, problems: map[string]string{}}
	value := f.Compute(computation)
	result := Result{Figure: f, Value: roundToSixDigits(value), Used: computation.used, Problems: computation.problems}
	switch {
	case len(computation.problems) > 0:
		result.Value = 0
	case len(computation.used) == 1 && computation.lastOrigin != "" && computation.lastValue == value:
		result.Origin = computation.lastOrigin
	default:
		result.Origin = Computed
	}
	return result
}

// Results computes all figures and returns them by name.
func Results(records Records, size Size) map[string]Result {
	results := map[string]Result{}
	for _, figure := range Figures {
		results[figure.Name] = figure.Result(records, size)
	}
	return results
}

// Known reports whether the figure could be computed.
func (r Result) Known() bool { return r.Origin != "" }

// HasLimit reports whether the figure has a bound or a target.
func (r Result) HasLimit() bool { return r.Bound+r.Target > 0 }

// Exceeded reports whether the figure is known and exceeds its bound or target.
func (r Result) Exceeded() bool {
	return r.Known() && (r.Bound > 0 && r.Value > r.Bound || r.Target > 0 && r.Value > r.Target)
}

// ValueText returns the table cell with the value and its origin.
func (r Result) ValueText() string {
	if !r.Known() {
		return "not measured"
	}
	space := " "
	if strings.HasPrefix(r.Unit, "%") {
		space = ""
	}
	return formatNumber(r.Value) + space + r.Unit + ", " + string(r.Origin)
}

// LimitText returns the table cell with the bound and the target, and whether the value exceeds one of them.
func (r Result) LimitText() string {
	var parts []string
	if r.Bound > 0 {
		parts = append(parts, formatNumber(r.Bound))
	}
	if r.Target > 0 {
		parts = append(parts, "goal "+formatNumber(r.Target))
	}
	if len(parts) == 0 {
		return "none stated"
	}
	text := strings.Join(parts, ", ")
	switch {
	case !r.Known():
		return text + ": not known"
	case r.Exceeded():
		return text + ": **passed**"
	}
	return text + ": kept"
}

// SourcesText returns the table cell with the records that the figure was computed from, and their problems.
func (r Result) SourcesText() string {
	if len(r.Used) == 0 {
		return "the letter's sizes and the program's settings"
	}
	var parts []string
	for _, name := range r.Used {
		if problem := r.Problems[name]; problem != "" {
			name += " (" + problem + ")"
		}
		parts = append(parts, name)
	}
	return strings.Join(parts, ", ")
}
