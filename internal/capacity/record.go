// Package capacity works out what each role of a fleet costs at a stated size, from slopes that were measured at smaller and equal sizes.
// Records, fits and formulas are pure; the package reads and writes two files, the records (docs/capacity.json) and the page
// (docs/CAPACITY.md), whole or not at all.
package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// How tells where a record's points come from.
type How string

// The origins of points.
const (
	Measured  How = "measured"  // on sockets, processes or the processor's clock
	Simulated How = "simulated" // in virtual time
	WorkedOut How = "worked out"
)

// Point is what was measured at one size.
type Point struct {
	Size     float64 `json:"size"`
	Measured float64 `json:"measured"`
}

// Forms of a fit. Whatever is none of them is "not a line: " with the reason; its cost is read between its points only.
const (
	Flat    = "flat"
	Line    = "line"
	NLogN   = "n log n" // with the logarithm to base 2
	notLine = "not a line: "
)

// Record is one slope: what was measured at three sizes or more, and the line through it.
type Record struct {
	Name     string  `json:"name"`
	Value    float64 `json:"value"` // of a line: per unit of size; flat: the mean; n log n: per n log n; not a line: at the largest size
	Base     float64 `json:"base"`  // of a line and n log n: at size 0
	Unit     string  `json:"unit"`  // of what was measured
	Over     string  `json:"over"`  // what the size counts
	Points   []Point `json:"points"`
	Form     string  `json:"form"`
	Residual float64 `json:"residual"` // root of the mean squared difference from the form, as a part of the mean; not a line: from the line
	How      How     `json:"how"`
	Command  string  `json:"command"`
	Commit   string  `json:"commit"`
}

// Bounds of the forms: what differs by less than flatWithin of the mean is flat, what lies this near to a form is of it.
const (
	flatWithin = 0.1
	formWithin = 0.1
	leastSizes = 3
)

// Fit finds a record's form, value and residual from its points. It refuses fewer than three sizes, sizes that come twice and figures that are none.
func (r *Record) Fit() error {
	slices.SortFunc(r.Points, func(a, b Point) int { return cmpFloat(a.Size, b.Size) })
	if len(r.Points) < leastSizes {
		return fmt.Errorf("%s: %d sizes, and a slope takes %d at least", r.Name, len(r.Points), leastSizes)
	}
	mean, least, most := 0.0, math.Inf(1), math.Inf(-1)
	for i, p := range r.Points {
		if math.IsNaN(p.Measured) || math.IsInf(p.Measured, 0) || !(p.Size > 0) || i > 0 && p.Size == r.Points[i-1].Size {
			return fmt.Errorf("%s: a point of size %v with %v cannot be", r.Name, p.Size, p.Measured)
		}
		mean += p.Measured / float64(len(r.Points))
		least, most = min(least, p.Measured), max(most, p.Measured)
	}
	scale := math.Abs(mean)
	if scale == 0 {
		scale = 1
	}
	linear := func(n float64) float64 { return n }
	slope, base, left := leastSquares(r.Points, linear)
	lineLeft := left / scale
	switch logSlope, logBase, logLeft := leastSquares(r.Points, nLogN); {
	case (most-least)/scale <= flatWithin:
		sum := 0.0
		for _, p := range r.Points {
			sum += (p.Measured - mean) * (p.Measured - mean)
		}
		r.Form, r.Value, r.Base, r.Residual = Flat, mean, 0, math.Sqrt(sum/float64(len(r.Points)))/scale
	case logLeft/scale <= formWithin && logLeft < left/4: // not by chance: the two differ little over a narrow range
		r.Form, r.Value, r.Base, r.Residual = NLogN, logSlope, logBase, logLeft/scale
	case lineLeft <= formWithin:
		r.Form, r.Value, r.Base, r.Residual = Line, slope, base, lineLeft
	default:
		r.Form = notLine + "a line leaves " + strconv.FormatFloat(lineLeft, 'f', 2, 64) + " of the mean"
		r.Value, r.Base, r.Residual = r.Points[len(r.Points)-1].Measured, 0, lineLeft
	}
	r.Value, r.Base, r.Residual = six(r.Value), six(r.Base), six(r.Residual)
	return nil
}

func nLogN(n float64) float64 { return n * math.Log2(n) }

// leastSquares fits measured = base + slope x of(size), and tells the root of the mean squared difference.
func leastSquares(points []Point, of func(float64) float64) (slope, base, left float64) {
	n, sx, sy, sxx, sxy := float64(len(points)), 0.0, 0.0, 0.0, 0.0
	for _, p := range points {
		sx, sy = sx+of(p.Size)/n, sy+p.Measured/n
	}
	for _, p := range points {
		x := of(p.Size) - sx
		sxx, sxy = sxx+x*x, sxy+x*(p.Measured-sy)
	}
	if sxx > 0 {
		slope = sxy / sxx
	}
	base = sy - slope*sx
	for _, p := range points {
		d := p.Measured - base - slope*of(p.Size)
		left += d * d / n
	}
	return slope, base, math.Sqrt(left)
}

// six keeps six digits, so that a record reads the same wherever it is fitted again.
func six(v float64) float64 {
	r, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 6, 64), 64)
	return r
}

func cmpFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// At is what a size comes to. point tells that the size itself was measured; then it is that measurement. What is not a line is read
// between its points, and refused beyond them.
func (r *Record) At(size float64) (v float64, point bool, err error) {
	for _, p := range r.Points {
		if p.Size == size {
			return p.Measured, true, nil
		}
	}
	switch r.Form {
	case Flat:
		return r.Value, false, nil
	case Line:
		return r.Base + r.Value*size, false, nil
	case NLogN:
		return r.Base + r.Value*nLogN(size), false, nil
	}
	for i := 1; i < len(r.Points); i++ {
		if a, b := r.Points[i-1], r.Points[i]; a.Size < size && size < b.Size {
			return a.Measured + (b.Measured-a.Measured)*(size-a.Size)/(b.Size-a.Size), false, nil
		}
	}
	return 0, false, fmt.Errorf("%s is %s, and %v %s lie beyond what was measured", r.Name, r.Form, size, r.Over)
}

// Check holds a record against itself: its parts are there, and its form, value and residual are those of its points.
func (r *Record) Check() error {
	for part, text := range map[string]string{"name": r.Name, "unit": r.Unit, "over": r.Over, "command": r.Command, "commit": r.Commit} {
		if strings.TrimSpace(text) == "" {
			return fmt.Errorf("record %q has no %s", r.Name, part)
		}
	}
	if r.How != Measured && r.How != Simulated && r.How != WorkedOut {
		return fmt.Errorf("%s: how is %q", r.Name, r.How)
	}
	again := *r
	again.Points = slices.Clone(r.Points)
	if err := again.Fit(); err != nil {
		return err
	}
	if again.Form != r.Form || again.Value != r.Value || again.Base != r.Base || again.Residual != r.Residual {
		return fmt.Errorf("%s says %q, %v, %v, residual %v, and its points come to %q, %v, %v, residual %v", r.Name, r.Form, r.Value, r.Base, r.Residual,
			again.Form, again.Value, again.Base, again.Residual)
	}
	return nil
}

// String tells a record in a line, as the page has it.
func (r *Record) String() string {
	sizes := make([]string, len(r.Points))
	for i, p := range r.Points {
		sizes[i] = number(p.Size)
	}
	over := fmt.Sprintf("%s, by %s at %s", r.How, r.Over, strings.Join(sizes, ", "))
	switch r.Form {
	case Flat:
		return fmt.Sprintf("%s %s, flat; %s", number(r.Value), r.Unit, over)
	case Line:
		return fmt.Sprintf("%s + %s %s each, residual %.3f; %s", number(r.Base), number(r.Value), r.Unit, r.Residual, over)
	case NLogN:
		return fmt.Sprintf("%s + %s n log n %s, residual %.3f; %s", number(r.Base), number(r.Value), r.Unit, r.Residual, over)
	}
	values := make([]string, len(r.Points))
	for i, p := range r.Points {
		values[i] = number(p.Measured)
	}
	return fmt.Sprintf("%s %s; %s; %s", strings.Join(values, ", "), r.Unit, r.Form, over)
}

// number writes a figure with three digits, or whole with commas from 1,000 on.
func number(v float64) string {
	if a := math.Abs(v); a >= 1000 {
		s := strconv.FormatFloat(math.Round(a), 'f', 0, 64)
		for i := len(s) - 3; i > 0; i -= 3 {
			s = s[:i] + "," + s[i:]
		}
		if v < 0 {
			s = "-" + s
		}
		return s
	}
	if a := math.Abs(v); a >= 100 || v == math.Trunc(v) {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	s := strconv.FormatFloat(v, 'g', 3, 64)
	if strings.Contains(s, "e") {
		s = strings.TrimRight(strconv.FormatFloat(v, 'f', 8, 64), "0")
	}
	return s
}
