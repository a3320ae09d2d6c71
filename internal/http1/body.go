package http1

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxChunkLineBytes is the maximum length of a chunk-size line, extensions included.
const maxChunkLineBytes = 256

// ReadBody reads a body with the given framing.
func ReadBody(reader *bufio.Reader, framing Framing, limits Limits) ([]byte, error) {
	switch {
	case framing.UntilClose:
		limit := bodyLimit{limits: limits, max: limits.MaxBodyBytes}
		return readUntilClose(reader, &limit)
	case framing.Chunked:
		limit := bodyLimit{limits: limits, max: limits.MaxBodyBytes}
		return readChunked(reader, &limit)
	}
	return readSized(reader, framing.Bytes, limits)
}

// bodyLimit limits a body whose length is not known in advance.
type bodyLimit struct {
	limits Limits
	max    int64 // current limit in bytes
}

// check returns an error if a body of the given size exceeds the limit. The first time that it does, AdmitLongBody
// decides whether the limit is raised to MaxLongBody.
func (l *bodyLimit) check(bytes int64) error {
	if bytes > l.max && l.max < l.limits.MaxLongBody && l.limits.AdmitLongBody != nil &&
		l.limits.AdmitLongBody(l.limits.MaxLongBody) {
		l.max = l.limits.MaxLongBody
	}
	if bytes > l.max {
		return errorf(statusContentTooLarge, "a body of over %d bytes", l.max)
	}
	return nil
}

func errBodyTooLong(bytes int64, limits Limits) error {
	return errorf(statusContentTooLarge, "a body of %d bytes, %d may be", bytes, limits.MaxBodyBytes)
}

func readSized(reader *bufio.Reader, bytes int64, limits Limits) ([]byte, error) {
	if bytes > limits.MaxBodyBytes && (limits.AdmitLongBody == nil || !limits.AdmitLongBody(bytes)) {
		return nil, errBodyTooLong(bytes, limits)
	}
	if bytes == 0 {
		return nil, nil
	}
	body := make([]byte, bytes)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, unexpectedEOF(err)
	}
	return body, nil
}

func readChunked(reader *bufio.Reader, limit *bodyLimit) (body []byte, err error) {
	for {
		size, err := readChunkSize(reader)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			remaining := limit.limits.MaxHeadBytes
			_, err := readFields(reader, &remaining, limit.limits.MaxFields) // trailers are discarded
			return body, err
		}
		if err := limit.check(int64(len(body)) + size); err != nil {
			return nil, err
		}
		if body, err = appendChunk(reader, body, size); err != nil {
			return nil, err
		}
	}
}

func readChunkSize(reader *bufio.Reader) (int64, error) {
	remaining := maxChunkLineBytes
	text, err := readLine(reader, &remaining, statusBadRequest)
	if err != nil {
		return 0, unexpectedEOF(err)
	}
	sizeText, _, _ := strings.Cut(string(text), ";") // extensions are ignored
	size, err := strconv.ParseUint(strings.TrimRight(sizeText, " \t"), 16, 32)
	if err != nil || strings.HasPrefix(sizeText, "+") {
		return 0, errorf(statusBadRequest, "a chunk whose size is none")
	}
	return int64(size), nil
}

func appendChunk(reader *bufio.Reader, body []byte, size int64) ([]byte, error) {
	start := len(body)
	end := start + int(size)
	body = append(body, make([]byte, size+2)...) // including the CR LF after the chunk
	if _, err := io.ReadFull(reader, body[start:]); err != nil {
		return nil, unexpectedEOF(err)
	}
	if string(body[end:]) != "\r\n" {
		return nil, errorf(statusBadRequest, "a chunk that is longer than it says")
	}
	return body[:end], nil
}

// readUntilClose reads a body until the peer closes the connection. Only an orderly close ends the body; a reset is
// an error.
func readUntilClose(reader *bufio.Reader, limit *bodyLimit) (body []byte, err error) {
	for {
		if _, err := reader.Peek(1); errors.Is(err, io.EOF) {
			return body, nil
		} else if err != nil {
			return nil, err
		}
		available := reader.Buffered()
		if err := limit.check(int64(len(body) + available)); err != nil {
			return nil, err
		}
		part, _ := reader.Peek(available) // cannot fail: the bytes are buffered
		body = append(body, part...)
		_, _ = reader.Discard(available)
	}
}
