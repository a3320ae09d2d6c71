package wire

import (
	"io"
	"strconv"

	"irispost/scheduler"
)

// replyEnd is the line that ends a reply.
const replyEnd = "ACK\n"

// Writer builds a reply of action lines and sends it in one write. Its methods for parts return it, so that calls can
// be chained.
type Writer struct {
	out io.Writer
	buf []byte // the reply as far as it is built
}

// NewWriter returns a writer to an output.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Start begins the line of an action of an instance.
func (w *Writer) Start(name string, instance int64) *Writer {
	w.buf = append(w.buf, name...)
	return w.Int(instance)
}

// Int adds a whole number.
func (w *Writer) Int(v int64) *Writer {
	w.buf = strconv.AppendInt(append(w.buf, '\t'), v, 10)
	return w
}

// Text adds a text, which must not contain tabs or line ends.
func (w *Writer) Text(s string) *Writer {
	w.buf = append(append(w.buf, '\t'), s...)
	return w
}

// Time adds a time as milliseconds, to the microsecond, rounded up.
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

// Flush ends the reply and sends it.
func (w *Writer) Flush() error {
	w.buf = append(w.buf, replyEnd...)
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}
