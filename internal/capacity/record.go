// Package capacity computes what each role of a fleet costs at a given size. It extrapolates from measurements at
// several sizes up to the given one. The tests of the package run the measurements and check the page against the
// records; no program uses the package.
//
// Records, fits and formulas are pure. Two files are read and written: the records (docs/capacity.json) and the page
// (docs/CAPACITY.md). Each is replaced as a whole or left unchanged.
package capacity

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Origin states how a value was obtained.
type Origin string

// The origins of values.
const (
	Measured  Origin = "measured"  // on real sockets or processes, or as processor time
	Simulated Origin = "simulated" // in a simulation in virtual time
	Computed  Origin = "worked out"
)

// Form is the kind of function that fits a record's points: Flat, Line, NLogN, or a text that begins with
// "not a line: " and gives the reason. A record of the last kind can only be interpolated between its points.
type Form string

// The forms of records.
const (
	Flat          Form = "flat"
	Line          Form = "line"
	NLogN         Form = "n log n" // with the base-2 logarithm
	notLinePrefix      = "not a line: "
)

// Point is the value that was measured at one size.
type Point struct {
	Size     float64 `json:"size"`
	Measured float64 `json:"measured"`
}

// Record is a quantity that was measured at three or more sizes, with the function that fits it.
type Record struct {
	Name string `json:"name"`
	// Value is the slope of a line, per unit of size; the mean of a flat record; the factor of n log n; or, if none of
	// these forms fits, the value at the largest size.
	Value  float64 `json:"value"`
	Base   float64 `json:"base"` // constant term of a line or of n log n
	Unit   string  `json:"unit"` // of the measured values
	Over   string  `json:"over"` // the quantity that the size counts
	Points []Point `json:"points"`
	Form   Form    `json:"form"`
	// Residual is the root mean square difference of the points from the fitted function, as a fraction of the mean.
	// If no form fits, it is that of the best line.
	Residual float64 `json:"residual"`
	Origin   Origin  `json:"how"`
	Command  string  `json:"command"` // repeats the measurement
	Commit   string  `json:"commit"`  // that was measured
}

// Errors of records. They are wrapped by errors that name the record.
var (
	ErrTooFewSizes  = errors.New("too few sizes")
	ErrBadPoint     = errors.New("invalid point")
	ErrOutOfRange   = errors.New("outside the measured range")
	ErrIncomplete   = errors.New("missing or invalid field")
	ErrInconsistent = errors.New("fit does not match the points")
)

// At returns the value at a size. If that size was measured, it returns the measured value and measured is true. A
// record that no form fits is interpolated between its points; outside them the error wraps ErrOutOfRange.
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
	return 0, false, fmt.Errorf("%s is %s, so it has no value at %v %s: %w", r.Name, r.Form, size, r.Over, ErrOutOfRange)
}

// Check checks that no field of a record is missing, and that fitting its points gives the same form, value, base and
// residual.
func (r *Record) Check() error {
	parts := map[string]string{"name": r.Name, "unit": r.Unit, "over": r.Over, "command": r.Command, "commit": r.Commit}
	for part, text := range parts {
		if strings.TrimSpace(text) == "" {
			return fmt.Errorf("record %q has no %s: %w", r.Name, part, ErrIncomplete)
		}
	}
	if r.Origin != Measured && r.Origin != Simulated && r.Origin != Computed {
		return fmt.Errorf("%s: unknown value %q of how: %w", r.Name, r.Origin, ErrIncomplete)
	}
	fitted := *r
	fitted.Points = slices.Clone(r.Points)
	if err := fitted.Fit(); err != nil {
		return err
	}
	if fitted.Form != r.Form || fitted.Value != r.Value || fitted.Base != r.Base || fitted.Residual != r.Residual {
		return fmt.Errorf("%s: %w: it says %s, but fitting the points gives %s",
			r.Name, ErrInconsistent, r.fitText(), fitted.fitText())
	}
	return nil
}

// fitText describes a record's fit for error messages.
func (r *Record) fitText() string {
	return fmt.Sprintf("%q, %v, %v, residual %v", r.Form, r.Value, r.Base, r.Residual)
}

// String returns a record as one line of text, as the page shows it.
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
