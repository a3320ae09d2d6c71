package http1

import (
	"strconv"
)

// initialBytes is the room that a message begins with, which most heads fit in.
const initialBytes = 512

// MessageBuilder writes a message into memory: the start line, then fields, then the body.
type MessageBuilder struct{ buf []byte }

// NewRequest begins a request.
func NewRequest(method, target string) *MessageBuilder {
	b := &MessageBuilder{make([]byte, 0, initialBytes)}
	b.buf = append(b.buf, method...)
	b.buf = append(b.buf, ' ')
	b.buf = append(b.buf, target...)
	b.buf = append(b.buf, " HTTP/1.1\r\n"...)
	return b
}

// NewResponse begins a response.
func NewResponse(status int) *MessageBuilder {
	b := &MessageBuilder{make([]byte, 0, initialBytes)}
	b.buf = append(b.buf, "HTTP/1.1 "...)
	b.buf = strconv.AppendInt(b.buf, int64(status), 10)
	b.buf = append(b.buf, ' ')
	b.buf = append(b.buf, reasonPhrase(status)...)
	b.buf = append(b.buf, "\r\n"...)
	return b
}

// reasonPhrase is the text behind a status, which clients ignore (RFC 9112, 4).
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

// Field adds a field. The caller vouches for name and value: they are written as they are.
func (b *MessageBuilder) Field(name, value string) *MessageBuilder {
	b.buf = append(b.buf, name...)
	b.buf = append(b.buf, ": "...)
	b.buf = append(b.buf, value...)
	b.buf = append(b.buf, "\r\n"...)
	return b
}

// Body completes the message and returns it. Its length is stated if there is a body, or if writeZeroLength, where the other
// side would wait for one.
func (b *MessageBuilder) Body(body []byte, writeZeroLength bool) []byte {
	if writeZeroLength || len(body) > 0 {
		b.Field("Content-Length", strconv.Itoa(len(body)))
	}
	b.buf = append(b.buf, "\r\n"...)
	return append(b.buf, body...)
}
