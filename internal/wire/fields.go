package wire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"

	"irispost/scheduler"
)

// FieldError describes what is wrong with a field of a line.
type FieldError struct {
	Field   string // name of the field
	Problem string
}

// Error returns the name of the field and the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// Fields reads the tab-separated fields of a line from left to right. The methods that read a field take its name,
// which they use in errors.
type Fields struct {
	rest []byte
	more bool
	Err  error // a *FieldError about the first missing or malformed field; nil if there is none
}

// More reports whether fields are left.
func (f *Fields) More() bool { return f.more }

// fail sets Err unless it is set already.
func (f *Fields) fail(name, problem string) {
	if f.Err == nil {
		f.Err = &FieldError{Field: name, Problem: problem}
	}
}

// failNotInteger sets the error that a field is not a whole number.
func (f *Fields) failNotInteger(name string, field []byte) {
	f.fail(name, fmt.Sprintf("%q is not a whole number", field))
}

// optional reads a field that may be absent and returns nil if it is. An absent field is "-" or is left out at the
// end of the line.
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

// Bytes reads a required field. The bytes are valid until the reader's next line.
func (f *Fields) Bytes(name string) []byte {
	field := f.optional()
	if field == nil {
		f.fail(name, "missing")
	}
	return field
}

// Text reads a required field as a string.
func (f *Fields) Text(name string) string { return string(f.Bytes(name)) }

// Skip skips a field.
func (f *Fields) Skip() { f.optional() }

// Int reads a required whole number.
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

// OptionalInt reads a whole number that may be absent. It returns false if the field is absent or malformed.
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

// Uint64 reads a required unsigned whole number of up to 64 bits.
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

// Float64 reads a finite number. An absent field is 0.
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

// Bool reads a required field that must be 0 or 1.
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

// Time reads a time in milliseconds, with fractions, as whole nanoseconds. An absent field is 0.
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
