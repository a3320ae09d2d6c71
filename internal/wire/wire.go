// Package wire reads and writes the frames of the bench's protocol and knows its names. It decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"strconv"

	"irispost/scheduler"
)

// Reader hands out one line after the other.
type Reader struct {
	in   *bufio.Reader
	long []byte
	Line int // number of the line handed out last, from 1
}

func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<20)} }

// Next returns the parts of the next line that is not empty. They are good until the call after.
// At the end of input the error is io.EOF.
func (r *Reader) Next() (Fields, error) {
	for {
		line, err := r.in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			r.long = append(r.long[:0], line...)
			for err == bufio.ErrBufferFull {
				line, err = r.in.ReadSlice('\n')
				r.long = append(r.long, line...)
			}
			line = r.long
		}
		if len(line) == 0 && err != nil {
			return Fields{}, err
		}
		r.Line++
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 {
			return Fields{rest: line, more: true}, nil
		}
	}
}

// Fields are the parts of a line, read from the left. The first that is missing or malformed is kept as Err.
type Fields struct {
	rest []byte
	more bool
	Err  error
}

// More tells whether parts are left.
func (f *Fields) More() bool { return f.more }

func (f *Fields) fail(name, what string) {
	if f.Err == nil {
		f.Err = fmt.Errorf("%s: %s", name, what)
	}
}

// optional reads a part that may be absent.
func (f *Fields) optional() []byte {
	if !f.more {
		return nil
	}
	part := f.rest
	if i := bytes.IndexByte(f.rest, '\t'); i >= 0 {
		part, f.rest = f.rest[:i], f.rest[i+1:]
	} else {
		f.more = false
	}
	if len(part) == 1 && part[0] == '-' {
		return nil
	}
	return part
}

// Bytes reads a part that has to be there. It is good as long as the line is.
func (f *Fields) Bytes(name string) []byte {
	part := f.optional()
	if part == nil {
		f.fail(name, "missing")
	}
	return part
}

func (f *Fields) Text(name string) string { return string(f.Bytes(name)) }

// Skip passes over a part.
func (f *Fields) Skip() { f.optional() }

func (f *Fields) Int(name string) int64 {
	part := f.Bytes(name)
	if part == nil {
		return 0
	}
	v, ok := whole(part)
	if !ok {
		f.fail(name, fmt.Sprintf("%q is not a whole number", part))
	}
	return v
}

// Key reads a whole number that may be absent, and tells whether it is there.
func (f *Fields) Key(name string) (int64, bool) {
	part := f.optional()
	if part == nil {
		return 0, false
	}
	v, ok := whole(part)
	if !ok {
		f.fail(name, fmt.Sprintf("%q is not a whole number", part))
	}
	return v, ok
}

// Seed reads a whole number of up to 64 bits.
func (f *Fields) Seed(name string) uint64 {
	part := f.Bytes(name)
	if part == nil {
		return 0
	}
	v, err := strconv.ParseUint(string(part), 10, 64)
	if err != nil {
		f.fail(name, fmt.Sprintf("%q is not a whole number", part))
	}
	return v
}

// Number reads a number; absent is zero.
func (f *Fields) Number(name string) float64 {
	part := f.optional()
	if part == nil {
		return 0
	}
	if v, ok := whole(part); ok {
		return float64(v)
	}
	v, err := strconv.ParseFloat(string(part), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(name, fmt.Sprintf("%q is not a number", part))
		return 0
	}
	return v
}

func (f *Fields) Bool(name string) bool {
	part := f.Bytes(name)
	if len(part) != 1 || part[0] != '0' && part[0] != '1' {
		if part != nil {
			f.fail(name, fmt.Sprintf("%q is neither 0 nor 1", part))
		}
		return false
	}
	return part[0] == '1'
}

// Time reads milliseconds with fractions as whole nanoseconds, with no detour over a float. Absent is zero.
func (f *Fields) Time(name string) scheduler.Time {
	part := f.optional()
	if part == nil {
		return 0
	}
	t, ok := ParseTime(part)
	if !ok {
		f.fail(name, fmt.Sprintf("%q is not a time", part))
	}
	return t
}

// ParseTime turns a decimal number of milliseconds into whole nanoseconds; digits below them are dropped.
func ParseTime(part []byte) (scheduler.Time, bool) {
	head, tail, _ := bytes.Cut(part, []byte{'.'})
	minus := len(head) > 0 && head[0] == '-'
	if minus {
		head = head[1:]
	}
	ms, ok := whole(head)
	if !ok || ms < 0 || ms > math.MaxInt64/int64(scheduler.Millisecond)-1 {
		return 0, false
	}
	ns, unit := ms*int64(scheduler.Millisecond), int64(scheduler.Millisecond)
	for _, c := range tail {
		if c < '0' || c > '9' {
			return 0, false
		}
		unit /= 10
		ns += int64(c-'0') * unit
	}
	if minus {
		ns = -ns
	}
	return ns, true
}

// whole reads a plain decimal integer.
func whole(part []byte) (int64, bool) {
	minus := len(part) > 0 && part[0] == '-'
	if minus {
		part = part[1:]
	}
	if len(part) == 0 || len(part) > 18 {
		if len(part) == 19 {
			v, err := strconv.ParseInt(string(part), 10, 64)
			return v, err == nil && !minus
		}
		return 0, false
	}
	var v int64
	for _, c := range part {
		if c < '0' || c > '9' {
			return 0, false
		}
		v = v*10 + int64(c-'0')
	}
	if minus {
		v = -v
	}
	return v, true
}

// Writer builds a reply and sends it whole.
type Writer struct {
	out io.Writer
	buf []byte
}

func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Start begins an action's line.
func (w *Writer) Start(name string, instance int64) *Writer {
	w.buf = append(w.buf, name...)
	return w.Int(instance)
}

func (w *Writer) Int(v int64) *Writer {
	w.buf = strconv.AppendInt(append(w.buf, '\t'), v, 10)
	return w
}

func (w *Writer) Text(s string) *Writer {
	w.buf = append(append(w.buf, '\t'), s...)
	return w
}

// Time writes nanoseconds as milliseconds, to the microsecond, rounded up.
func (w *Writer) Time(t scheduler.Time) *Writer {
	us := t / scheduler.Microsecond
	if t > us*scheduler.Microsecond {
		us++
	}
	w.buf = append(w.buf, '\t')
	if us < 0 {
		w.buf = append(w.buf, '-')
		us = -us
	}
	w.buf = strconv.AppendInt(w.buf, us/1000, 10)
	w.buf = append(w.buf, '.', byte('0'+us/100%10), byte('0'+us/10%10), byte('0'+us%10))
	return w
}

// End closes the line.
func (w *Writer) End() { w.buf = append(w.buf, '\n') }

// Flush closes the reply and sends it.
func (w *Writer) Flush() error {
	w.buf = append(w.buf, "ACK\n"...)
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}
