// Package wire reads and writes the lines of the bench's protocol and translates its names to the scheduler's. The
// adapter calls it, and package platform for the names of settings. It decides nothing and keeps no state but the
// buffers of a reader or writer.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// readBufferSize is that of a reader in bytes. Longer lines are read as well, with a copy.
const readBufferSize = 1 << 20

// Reader hands out one line after the other.
type Reader struct {
	in       *bufio.Reader
	longLine []byte // of a line that does not fit the buffer
	Line     int    // number of the line that was handed out last, from 1
}

// NewReader returns a reader of an input.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferSize)}
}

// Next returns the parts of the next line that is not empty. They are valid until the next call.
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

// readLine reads a line with its end. It may return a last line without an end together with an error.
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
