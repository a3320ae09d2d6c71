package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Figure is one figure of the page, and the formula that works it out from records at a size.
type Figure struct {
	Name  string
	Unit  string
	Bound float64 // of the letter, not to be passed; 0: none
	Goal  float64 // set with the letter, not to be passed either; 0: none
	Work  func(c *Calc)
}

// Calc is the working out of one figure. A formula calls its methods and sets its Value.
type Calc struct {
	Size
	Value   float64
	records Records
	used    []string
	lacks   map[string]string // records that do not tell, and why
	read    float64           // the last that was read at a measured size
	at      How               // how that was had; empty: not at a measured size
}

func (c *Calc) get(name string) *Record {
	if !slices.Contains(c.used, name) {
		c.used = append(c.used, name)
	}
	r := c.records[name]
	if r == nil {
		c.lacks[name] = "missing"
	}
	return r
}

// At reads what a record comes to at a size.
func (c *Calc) At(name string, size float64) float64 {
	r := c.get(name)
	if r == nil {
		return 0
	}
	v, point, err := r.At(size)
	if err != nil {
		c.lacks[name] = fmt.Sprintf("says nothing of %s %s", number(size), r.Over)
	}
	if c.read, c.at = v, ""; point {
		c.at = r.How
	}
	return v
}

// Slope reads what one more of what a record counts costs.
func (c *Calc) Slope(name string) float64 {
	r := c.get(name)
	if r == nil {
		return 0
	}
	c.at = ""
	if r.Form == Flat {
		return 0
	}
	if r.Form != Line {
		c.lacks[name] = "is no line"
	}
	return r.Value
}

// Result is a figure as it was worked out.
type Result struct {
	Figure
	Value float64
	How   How               // empty: not measured
	Used  []string          // records, in the order of the formula
	Lacks map[string]string // of them, those that do not tell, and why
}

// Result works a figure out. A figure with a record that is missing, or does not reach so far, is not measured.
func (f Figure) Result(all Records, s Size) Result {
	c := &Calc{Size: s, records: all, lacks: map[string]string{}}
	f.Work(c)
	r := Result{Figure: f, Value: six(c.Value), Used: c.used, Lacks: c.lacks}
	switch {
	case len(c.lacks) > 0:
		r.Value = 0
	case len(c.used) == 1 && c.at != "" && c.read == c.Value:
		r.How = c.at
	default:
		r.How = WorkedOut
	}
	return r
}

// Passed tells whether a figure that is known passes its bound or goal.
func (r Result) Passed() bool {
	return r.How != "" && (r.Bound > 0 && r.Value > r.Bound || r.Goal > 0 && r.Value > r.Goal)
}

// Texts are a figure's cells on the page.

// Said is its value and how it was had.
func (r Result) Said() string {
	if r.How == "" {
		return "not measured"
	}
	space := " "
	if strings.HasPrefix(r.Unit, "%") {
		space = ""
	}
	return number(r.Value) + space + r.Unit + ", " + string(r.How)
}

// Limit is what it is held against.
func (r Result) Limit() string {
	var parts []string
	if r.Bound > 0 {
		parts = append(parts, number(r.Bound))
	}
	if r.Goal > 0 {
		parts = append(parts, "goal "+number(r.Goal))
	}
	if len(parts) == 0 {
		return "none stated"
	}
	text := strings.Join(parts, ", ")
	switch {
	case r.How == "":
		return text + ": not known"
	case r.Passed():
		return text + ": **passed**"
	}
	return text + ": kept"
}

// From names the records that it was worked out from; those that are missing say so.
func (r Result) From() string {
	if len(r.Used) == 0 {
		return "the letter's sizes and the program's settings"
	}
	var parts []string
	for _, name := range r.Used {
		if why := r.Lacks[name]; why != "" {
			name += " (" + why + ")"
		}
		parts = append(parts, name)
	}
	return strings.Join(parts, ", ")
}

// Results works all figures out, by name.
func Results(all Records, s Size) map[string]Result {
	out := map[string]Result{}
	for _, f := range Figures {
		out[f.Name] = f.Result(all, s)
	}
	return out
}
