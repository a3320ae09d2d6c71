package http1

import (
	"strconv"
)

// initialBytes is the initial capacity of a message buffer. Most heads fit in it.
const initialBytes = 512

// MessageBuilder builds a message in memory: first the start line, then the fields, then the body.
type MessageBuilder struct{ buf []byte }

// NewRequest starts a request with its request line.
func NewRequest(method, target string) *MessageBuilder {
	b := &MessageBuilder{make([]byte, 0, initialBytes)}
	b.buf = append(b.buf, method...)
	b.buf = append(b.buf, ' ')
	b.buf = append(b.buf, target...)
	b.buf = append(b.buf, " HTTP/1.1\r\n"...)
	return b
}

// NewResponse starts a response with its status line.
func NewResponse(status int) *MessageBuilder {
	b := &MessageBuilder{make([]byte, 0, initialBytes)}
	b.buf = append(b.buf, "HTTP/1.1 "...)
	b.buf = strconv.AppendInt(b.buf, int64(status), 10)
	b.buf = append(b.buf, ' ')
	b.buf = append(b.buf, reasonPhrase(status)...)
	b.buf = append(b.buf, "\r\n"...)
	return b
}

// reasonPhrase returns the text after the status code, which clients ignore (RFC 9112, 4).
func reasonPhrase(status int) string {
	switch status {
	case statusOK:
		return "OK"
	case statusServiceUnavailable:
		return "Service Unavailable"
	case statusBadGateway:
		return "Bad Gateway"
	case statusGatewayTimeout:
		return "Gateway Timeout"
	}
	return "Refused"
}

// Field adds a field. The name and value are written without validation, so the caller must ensure that they are
// valid.
func (b *MessageBuilder) Field(name, value string) *MessageBuilder {
	b.buf = append(b.buf, name...)
	b.buf = append(b.buf, ": "...)
	b.buf = append(b.buf, value...)
	b.buf = append(b.buf, "\r\n"...)
	return b
}

// Body completes the message and returns it. It adds a Content-Length if the body is not empty or writeZeroLength is
// set. The latter is for messages after which the peer would otherwise wait for a body.
func (b *MessageBuilder) Body(body []byte, writeZeroLength bool) []byte {
	if writeZeroLength || len(body) > 0 {
		b.Field("Content-Length", strconv.Itoa(len(body)))
	}
	b.buf = append(b.buf, "\r\n"...)
	return append(b.buf, body...)
}
