package http1

import (
	"strconv"
)

// MessageBuilder puts a message together.
type MessageBuilder struct{ buf []byte }

// NewRequest begins a request.
func NewRequest(method, target string) *MessageBuilder {
	w := &MessageBuilder{make([]byte, 0, 512)}
	w.buf = append(append(append(append(w.buf, method...), ' '), target...), " HTTP/1.1\r\n"...)
	return w
}

// NewResponse begins an answer.
func NewResponse(status int) *MessageBuilder {
	w := &MessageBuilder{make([]byte, 0, 512)}
	w.buf = strconv.AppendInt(append(w.buf, "HTTP/1.1 "...), int64(status), 10)
	w.buf = append(append(append(w.buf, ' '), reason(status)...), "\r\n"...)
	return w
}

func reason(status int) string {
	switch status {
	case 200:
		return "OK"
	case 503:
		return "Service Unavailable"
	case 502:
		return "Bad Gateway"
	case 504:
		return "Gateway Timeout"
	}
	return "Refused"
}

// Field adds a field. Names and values are the caller's to keep clean.
func (w *MessageBuilder) Field(name, value string) *MessageBuilder {
	w.buf = append(append(append(append(w.buf, name...), ": "...), value...), "\r\n"...)
	return w
}

// Body closes the message with its body, whose length is stated where it has one or the other side waits for that.
func (w *MessageBuilder) Body(body []byte, stated bool) []byte {
	if stated || len(body) > 0 {
		w.Field("Content-Length", strconv.Itoa(len(body)))
	}
	return append(append(w.buf, "\r\n"...), body...)
}
