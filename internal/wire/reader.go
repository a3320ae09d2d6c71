// Package wire reads and writes the lines of the bench's protocol and translates its names to the scheduler's.
// Package adapter uses it for both, and package platform for the names of settings. It makes no decisions and keeps
// no state except the buffers of a Reader or Writer.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// readBufferSize is the size of a Reader's buffer in bytes. Longer lines are copied.
const readBufferSize = 1 << 20

// Reader reads lines.
type Reader struct {
	in       *bufio.Reader
	longLine []byte // copy of a line that does not fit into the buffer
	Line     int    // number of the line that was read last, from 1, empty lines included
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferSize)}
}

// Next returns the fields of the next line that is not empty. They are valid until the next call.
// At the end of input the error is io.EOF.
func (r *Reader) Next() (Fields, error) {
	for {
		line, err := r.readLine()
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

// readLine reads a line with its line end. The last line of the input may have none, and is returned with an error.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	r.longLine = append(r.longLine[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.in.ReadSlice('\n')
		r.longLine = append(r.longLine, line...)
	}
	return r.longLine, err
}
