package wire

import (
	"io"
	"strconv"

	"irispost/scheduler"
)

// replyEnd is the line that ends a reply.
const replyEnd = "ACK\n"

// Writer builds a reply of action lines and sends it in one write. The methods that append a field return the Writer,
// so that calls can be chained.
type Writer struct {
	out io.Writer
	buf []byte // the reply built so far
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Start begins a line with an action's name and the instance that the action is for.
func (w *Writer) Start(name string, instance int64) *Writer {
	w.buf = append(w.buf, name...)
	return w.Int(instance)
}

// Int appends a whole number.
func (w *Writer) Int(v int64) *Writer {
	w.buf = strconv.AppendInt(append(w.buf, '\t'), v, 10)
	return w
}

// Text appends a string, which must not contain tabs or line ends.
func (w *Writer) Text(s string) *Writer {
	w.buf = append(append(w.buf, '\t'), s...)
	return w
}

// Time appends a time in milliseconds with three decimals, rounded up to the microsecond.
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

// End ends the line.
func (w *Writer) End() { w.buf = append(w.buf, '\n') }

// Flush appends the line that ends the reply, and sends the reply.
func (w *Writer) Flush() error {
	w.buf = append(w.buf, replyEnd...)
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}
