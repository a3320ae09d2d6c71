package wire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"

	"irispost/scheduler"
)

// FieldError says what is wrong with a part of a line.
type FieldError struct {
	Field   string // its name
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// Fields are the parts of a line, read from the left. Each method that reads one takes its name for errors.
type Fields struct {
	rest []byte
	more bool
	Err  error // about the first part that is missing or malformed, a *FieldError; nil: none is
}

// More tells whether parts are left.
func (f *Fields) More() bool { return f.more }

// fail keeps an error unless there is one already.
func (f *Fields) fail(name, problem string) {
	if f.Err == nil {
		f.Err = &FieldError{Field: name, Problem: problem}
	}
}

// failNotInteger keeps the error that a part is no whole number.
func (f *Fields) failNotInteger(name string, field []byte) {
	f.fail(name, fmt.Sprintf("%q is not a whole number", field))
}

// optional reads a part that may be absent; nil if it is. An absent part is "-", or not there at the end of the line.
func (f *Fields) optional() []byte {
	if !f.more {
		return nil
	}
	field := f.rest
	if i := bytes.IndexByte(f.rest, '\t'); i >= 0 {
		field = f.rest[:i]
		f.rest = f.rest[i+1:]
	} else {
		f.more = false
	}
	if len(field) == 1 && field[0] == '-' {
		return nil
	}
	return field
}

// Bytes reads a part that has to be there. It is valid until the reader's next line.
func (f *Fields) Bytes(name string) []byte {
	field := f.optional()
	if field == nil {
		f.fail(name, "missing")
	}
	return field
}

// Text reads a part that has to be there as a string.
func (f *Fields) Text(name string) string { return string(f.Bytes(name)) }

// Skip passes over a part.
func (f *Fields) Skip() { f.optional() }

// Int reads a whole number that has to be there.
func (f *Fields) Int(name string) int64 {
	field := f.Bytes(name)
	if field == nil {
		return 0
	}
	v, ok := parseInteger(field)
	if !ok {
		f.failNotInteger(name, field)
	}
	return v
}

// OptionalInt reads a whole number that may be absent, and tells whether it is there.
func (f *Fields) OptionalInt(name string) (int64, bool) {
	field := f.optional()
	if field == nil {
		return 0, false
	}
	v, ok := parseInteger(field)
	if !ok {
		f.failNotInteger(name, field)
	}
	return v, ok
}

// Uint64 reads a whole number of up to 64 bits without a sign that has to be there.
func (f *Fields) Uint64(name string) uint64 {
	field := f.Bytes(name)
	if field == nil {
		return 0
	}
	v, err := strconv.ParseUint(string(field), 10, 64)
	if err != nil {
		f.failNotInteger(name, field)
	}
	return v
}

// Float64 reads a finite number; one that is absent is 0.
func (f *Fields) Float64(name string) float64 {
	field := f.optional()
	if field == nil {
		return 0
	}
	if v, ok := parseInteger(field); ok {
		return float64(v)
	}
	v, err := strconv.ParseFloat(string(field), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(name, fmt.Sprintf("%q is not a number", field))
		return 0
	}
	return v
}

// Bool reads a part that has to be 0 or 1.
func (f *Fields) Bool(name string) bool {
	field := f.Bytes(name)
	switch {
	case field == nil:
		return false
	case len(field) != 1 || field[0] != '0' && field[0] != '1':
		f.fail(name, fmt.Sprintf("%q is neither 0 nor 1", field))
		return false
	}
	return field[0] == '1'
}

// Time reads milliseconds with fractions as whole nanoseconds; a time that is absent is 0.
func (f *Fields) Time(name string) scheduler.Time {
	field := f.optional()
	if field == nil {
		return 0
	}
	t, ok := ParseTime(field)
	if !ok {
		f.fail(name, fmt.Sprintf("%q is not a time", field))
	}
	return t
}
