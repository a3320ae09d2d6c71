// Package http1 reads and writes HTTP/1.1 messages (RFC 9112) within limits. It is stricter than the grammar: a
// message that two parsers could interpret differently is rejected, so that no request can be hidden in the body of
// another (request smuggling). The front end uses the package to read requests and write responses; the node client
// and the discovery client use it to write requests and read responses.
//
// The package does no I/O except on the reader that it is given, and keeps no state. The owner of a connection sets
// the deadlines.
//
// The parser of net/http is not strict enough here: it accepts bare line feeds, unfolds folded lines, and ignores a
// Content-Length next to a Transfer-Encoding.
package http1

import (
	"fmt"
	"strings"
)

// Limits bound the size of a message.
type Limits struct {
	MaxHeadBytes     int   // from the start line through the empty line
	MaxFields        int   // lines of the head after the start line
	MaxBodyBytes     int64 // of a body, unless AdmitLongBody admits more
	MaxInformational int   // 1xx responses before the final response

	// AdmitLongBody decides whether a body larger than MaxBodyBytes is read. It is passed the length of the body, or
	// MaxLongBody if the length is not known in advance. If it is nil, such bodies are rejected. ReadRequest does not
	// call it: it rejects a Content-Length above MaxBodyBytes.
	AdmitLongBody func(bytes int64) bool
	MaxLongBody   int64 // maximum bytes of a long body whose length is not known in advance
}

// DefaultLimits are the limits for messages from clients and storage nodes.
var DefaultLimits = Limits{MaxHeadBytes: 8 << 10, MaxFields: 64, MaxBodyBytes: 64 << 10, MaxInformational: 8}

// MaxLineBytes is the maximum length of a line in a head. Readers passed to this package need a buffer of this size.
const MaxLineBytes = 4 << 10

// Error reports that a message is malformed, exceeds a limit or is not supported.
type Error struct {
	Status int    // status code of a server's response to the message
	Reason string // for the body of that response
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

func errorf(status int, format string, args ...any) error {
	return &Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Fields are the header fields of a message, in order.
type Fields []Field

// Field is one header field. Its name is in lower case.
type Field struct{ Name, Value string }

// Get returns the value of the field with the given name. It returns false if there is no such field, or more than
// one: it would be ambiguous which of them applies.
func (f Fields) Get(name string) (value string, ok bool) {
	for _, field := range f {
		if field.Name != name {
			continue
		}
		if ok {
			return "", false
		}
		value, ok = field.Value, true
	}
	return value, ok
}

// Count returns the number of fields with the given name.
func (f Fields) Count(name string) (count int) {
	for _, field := range f {
		if field.Name == name {
			count++
		}
	}
	return count
}

// HasToken reports whether the comma-separated list in the fields with the given name contains a token, ignoring case.
func (f Fields) HasToken(name, token string) bool {
	for _, field := range f {
		if field.Name != name {
			continue
		}
		for part := range strings.SplitSeq(field.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}
