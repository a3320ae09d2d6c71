package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// readLine reads one line and returns it without CR LF. The result is valid until the next read. remaining is the
// number of bytes that the head may still have, from which the length of the line is subtracted. If the line is longer
// than that, the error has the status tooLongStatus.
func readLine(reader *bufio.Reader, remaining *int, tooLongStatus int) ([]byte, error) {
	text, err := reader.ReadSlice('\n')
	*remaining -= len(text)
	if *remaining < 0 || errors.Is(err, bufio.ErrBufferFull) {
		return nil, errorf(tooLongStatus, "the head is too long")
	}
	if err != nil {
		if errors.Is(err, io.EOF) && len(text) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if len(text) < 2 || text[len(text)-2] != '\r' {
		return nil, errorf(statusBadRequest, "a line ends without CR LF")
	}
	text = text[:len(text)-2]
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, errorf(statusBadRequest, "a control character in the head")
		}
	}
	return text, nil
}

// readFields reads the fields after the start line, or the trailers after a chunked body, through the empty line.
func readFields(reader *bufio.Reader, remaining *int, maxFields int) (fields Fields, err error) {
	for {
		text, err := readLine(reader, remaining, statusFieldsTooLarge)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if len(text) == 0 {
			return fields, nil
		}
		if len(fields) == maxFields {
			return nil, errorf(statusFieldsTooLarge, "over %d fields", maxFields)
		}
		name, value, ok := bytes.Cut(text, []byte{':'})
		if !ok || !isToken(name) {
			return nil, errorf(statusBadRequest, "a line of the head that is no field")
		}
		fields = append(fields, Field{
			Name:  strings.ToLower(string(name)),
			Value: strings.Trim(string(value), " \t"),
		})
	}
}

// isToken reports whether the text is a token (RFC 9110, 5.6.2).
func isToken(text []byte) bool {
	for _, c := range text {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// unexpectedEOF converts io.EOF to io.ErrUnexpectedEOF, for use where a message is incomplete.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
