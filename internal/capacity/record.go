// Package capacity computes what each role of a fleet costs at a stated size, from slopes that were measured at
// smaller and equal sizes. Its tests are the measurements and hold the page to the records; no program uses it.
//
// Records, fits and formulas are pure. The package reads and writes two files, the records (docs/capacity.json) and
// the page (docs/CAPACITY.md), as a whole or not at all.
package capacity

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Origin tells where a value comes from.
type Origin string

// The origins of values.
const (
	Measured  Origin = "measured"  // on sockets, processes or the processor's clock
	Simulated Origin = "simulated" // in virtual time
	Computed  Origin = "worked out"
)

// Form is the kind of function that a record's points follow: Flat, Line, NLogN, or a text that begins with "not a
// line: " and gives the reason. A record of the last kind has values between its points only.
type Form string

// The forms.
const (
	Flat          Form = "flat"
	Line          Form = "line"
	NLogN         Form = "n log n" // with the logarithm to base 2
	notLinePrefix      = "not a line: "
)

// Point is what was measured at one size.
type Point struct {
	Size     float64 `json:"size"`
	Measured float64 `json:"measured"`
}

// Record is one slope: what was measured at three sizes or more, and the function that fits it.
type Record struct {
	Name string `json:"name"`
	// Value is the slope of a line, per unit of size; the mean, if flat; the factor of n log n; else the value at the
	// largest size.
	Value  float64 `json:"value"`
	Base   float64 `json:"base"` // of a line and of n log n: the value at size 0
	Unit   string  `json:"unit"` // of what was measured
	Over   string  `json:"over"` // what the size counts
	Points []Point `json:"points"`
	Form   Form    `json:"form"`
	// Residual is the root of the mean squared difference from the form, as a part of the mean; for no form: from the
	// line.
	Residual float64 `json:"residual"`
	Origin   Origin  `json:"how"`
	Command  string  `json:"command"` // that measures it again
	Commit   string  `json:"commit"`  // of the program that was measured
}

// Errors of records, wrapped with the record's name.
var (
	ErrTooFewSizes  = errors.New("too few sizes")
	ErrBadPoint     = errors.New("a point that cannot be")
	ErrOutOfRange   = errors.New("beyond what was measured")
	ErrIncomplete   = errors.New("a part is missing")
	ErrInconsistent = errors.New("form and points differ")
)

// At returns the value at a size, and whether that size was measured; then the value is the measurement. A record
// without a form has values between its points; beyond them the error is ErrOutOfRange.
func (r *Record) At(size float64) (value float64, measured bool, err error) {
	for _, point := range r.Points {
		if point.Size == size {
			return point.Measured, true, nil
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
		a, b := r.Points[i-1], r.Points[i]
		if a.Size < size && size < b.Size {
			return a.Measured + (b.Measured-a.Measured)*(size-a.Size)/(b.Size-a.Size), false, nil
		}
	}
	return 0, false, fmt.Errorf("%s is %s, and %v %s: %w", r.Name, r.Form, size, r.Over, ErrOutOfRange)
}

// Check checks that all parts of a record are there, and that its form, value and residual are those of its points.
func (r *Record) Check() error {
	parts := map[string]string{"name": r.Name, "unit": r.Unit, "over": r.Over, "command": r.Command, "commit": r.Commit}
	for part, text := range parts {
		if strings.TrimSpace(text) == "" {
			return fmt.Errorf("record %q has no %s: %w", r.Name, part, ErrIncomplete)
		}
	}
	if r.Origin != Measured && r.Origin != Simulated && r.Origin != Computed {
		return fmt.Errorf("%s: how is %q: %w", r.Name, r.Origin, ErrIncomplete)
	}
	fitted := *r
	fitted.Points = slices.Clone(r.Points)
	if err := fitted.Fit(); err != nil {
		return err
	}
	if fitted.Form != r.Form || fitted.Value != r.Value || fitted.Base != r.Base || fitted.Residual != r.Residual {
		return fmt.Errorf("%s: %w: it says %s, and its points come to %s",
			r.Name, ErrInconsistent, r.fitText(), fitted.fitText())
	}
	return nil
}

// fitText describes a record's fit for errors.
func (r *Record) fitText() string {
	return fmt.Sprintf("%q, %v, %v, residual %v", r.Form, r.Value, r.Base, r.Residual)
}

// String returns a record in a line, as the page has it.
func (r *Record) String() string {
	sizes := make([]string, len(r.Points))
	for i, point := range r.Points {
		sizes[i] = formatNumber(point.Size)
	}
	points := fmt.Sprintf("%s, by %s at %s", r.Origin, r.Over, strings.Join(sizes, ", "))
	base, value := formatNumber(r.Base), formatNumber(r.Value)
	switch r.Form {
	case Flat:
		return fmt.Sprintf("%s %s, flat; %s", value, r.Unit, points)
	case Line:
		return fmt.Sprintf("%s + %s %s each, residual %.3f; %s", base, value, r.Unit, r.Residual, points)
	case NLogN:
		return fmt.Sprintf("%s + %s n log n %s, residual %.3f; %s", base, value, r.Unit, r.Residual, points)
	}
	values := make([]string, len(r.Points))
	for i, point := range r.Points {
		values[i] = formatNumber(point.Measured)
	}
	return fmt.Sprintf("%s %s; %s; %s", strings.Join(values, ", "), r.Unit, r.Form, points)
}
