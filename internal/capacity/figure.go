package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Figure is one figure of the page, and the formula that computes it from records at a size.
type Figure struct {
	Name    string
	Unit    string
	Bound   float64 // of the operators, not to be exceeded; 0: none
	Target  float64 // of this project, not to be exceeded either; 0: none
	Compute func(c *Computation) float64
}

// Computation is the computation of one figure. It notes which records the formula reads.
type Computation struct {
	Size
	records    Records
	used       []string
	problems   map[string]string // of records that do not have what the formula reads, by name
	lastValue  float64           // the last that At returned
	lastOrigin Origin            // of that value if its size was measured; else empty
}

// record returns a record and notes that it is used; nil: it is missing.
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

// At returns what a record amounts to at a size, or 0 and notes the problem.
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

// Slope returns what one more of what a record is over costs, or notes the problem.
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

// Result is a figure that was computed.
type Result struct {
	Figure
	Value    float64
	Origin   Origin            // empty: not measured
	Used     []string          // names of records, in the order of the formula
	Problems map[string]string // of the records that do not have what the formula reads, by name
}

// Result computes a figure. It is not measured if a record is missing or does not reach to the size.
func (f Figure) Result(records Records, size Size) Result {
	computation := &Computation{Size: size, records: records, problems: map[string]string{}}
	value := f.Compute(computation)
	result := Result{Figure: f, Value: sixDigits(value), Used: computation.used, Problems: computation.problems}
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

// Results computes all figures, by name.
func Results(records Records, size Size) map[string]Result {
	results := map[string]Result{}
	for _, figure := range Figures {
		results[figure.Name] = figure.Result(records, size)
	}
	return results
}

// Known tells whether the figure could be computed.
func (r Result) Known() bool { return r.Origin != "" }

// HasLimit tells whether the figure has a bound or a target.
func (r Result) HasLimit() bool { return r.Bound+r.Target > 0 }

// Exceeded tells whether a known figure exceeds its bound or target.
func (r Result) Exceeded() bool {
	return r.Known() && (r.Bound > 0 && r.Value > r.Bound || r.Target > 0 && r.Value > r.Target)
}

// ValueText returns the page's cell with the value and its origin.
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

// LimitText returns the page's cell with bound and target, and whether they are exceeded.
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

// SourcesText returns the page's cell with the records that the figure was computed from, and their problems.
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
