// Package http1 reads and writes messages of HTTP/1.1 (RFC 9112) within limits. It accepts less than the grammar
// allows: what two readers could read in two ways is an error, lest a request be hidden in the body of another (request
// smuggling). The front end reads requests and writes responses with it; the node client and the discovery client
// write requests and read responses.
//
// It does no I/O but on the reader that it is given, and knows no time: who owns the connection sets its deadlines. It
// holds no state.
//
// The reader of net/http is not strict enough here: it accepts bare line feeds, folds lines, and drops a Content-Length
// beside a Transfer-Encoding.
package http1

import (
	"fmt"
	"strings"
)

// Limits bound what a message may have.
type Limits struct {
	MaxHeadBytes     int   // from the start line to the empty line
	MaxFields        int   // lines of the head after the start line
	MaxBodyBytes     int64 // of a body for which AdmitLongBody is not asked
	MaxInformational int   // 1xx responses in front of a response

	// AdmitLongBody decides whether a body of over MaxBodyBytes is read. It is given the length of the body, or
	// MaxLongBody where none is stated. If it is nil, none is.
	AdmitLongBody func(bytes int64) bool
	MaxLongBody   int64 // most bytes of a long body whose length is not stated
}

// DefaultLimits are the limits of clients and storage nodes.
var DefaultLimits = Limits{MaxHeadBytes: 8 << 10, MaxFields: 64, MaxBodyBytes: 64 << 10, MaxInformational: 8}

// MaxLineBytes is the longest line of a head. Readers that are passed in need a buffer of that size.
const MaxLineBytes = 4 << 10

// Error is a message that is malformed, over a limit or otherwise not accepted.
type Error struct {
	Status int    // with which a server answers it
	Reason string // for the body of that answer
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

func errorf(status int, format string, args ...any) error {
	return &Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// Fields are the fields of a head, in their order.
type Fields []Field

// Field is one field; its name is in lower case.
type Field struct{ Name, Value string }

// Get returns the value of the field of a name. It returns false if there is none, or more than one: nobody can tell
// then which counts.
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

// Count returns the number of fields of a name.
func (f Fields) Count(name string) (count int) {
	for _, field := range f {
		if field.Name == name {
			count++
		}
	}
	return count
}

// HasToken reports whether the comma-separated list in the fields of a name contains a token, in whatever case.
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
