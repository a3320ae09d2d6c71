package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// readLine reads one line and returns it without CR LF; it is valid until the next read. remaining is what is left of
// the head's limit, tooLongStatus the status of an error if that is used up.
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

// readFields reads the fields after the start line, or the trailers of a body, up to the empty line.
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

// isToken reports whether a text is a token (RFC 9110, 5.6.2).
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

// unexpectedEOF turns the end of a connection into an error that says that a message is incomplete.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
