// Package http1 reads and writes messages of HTTP/1.1 (RFC 9112) within bounds. It takes less than the grammar allows: what
// two readers could read in two ways is an error, lest a request hide in another's body. It does no I/O but on what it is
// handed, and knows no time; who owns the connection sets its deadlines.
//
// net/http's own reader is not strict enough here: it takes bare line feeds, folds lines, and drops a Content-Length beside a
// Transfer-Encoding.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Limits are a message's limits.
type Limits struct {
	MaxHeadBytes     int                    // bytes of a head, from the start line to the empty line
	MaxFields        int                    // lines of it
	MaxBodyBytes     int64                  // bytes of a body
	MaxInformational int                    // 1xx answers in front of one
	AdmitLongBody    func(bytes int64) bool // asked for a body over Body, of so many bytes or at most so many; nil: none may be
	MaxLongBody      int64                  // the most that a body over Body may have whose length is not stated
}

// DefaultLimits are used where nothing else is said.
var DefaultLimits = Limits{MaxHeadBytes: 8 << 10, MaxFields: 64, MaxBodyBytes: 64 << 10, MaxInformational: 8}

// MaxLineBytes is the longest line; readers that are handed in have a buffer of that size.
const MaxLineBytes = 4 << 10

// Error says what is wrong with a message, and with which status a server answers it.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return e.Reason }

func bad(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Fields are the lines of a head, names in lower case.
type Fields []Field

// Field is one of them.
type Field struct{ Name, Value string }

// Get returns the value of a field that stands once; two of a name are as good as none, since nobody can tell which counts.
func (f Fields) Get(name string) (value string, ok bool) {
	for _, o := range f {
		if o.Name == name {
			if ok {
				return "", false
			}
			value, ok = o.Value, true
		}
	}
	return value, ok
}

// Count tells how often a field stands.
func (f Fields) Count(name string) (n int) {
	for _, o := range f {
		if o.Name == name {
			n++
		}
	}
	return n
}

// HasToken tells whether a field of comma-separated words holds one.
func (f Fields) HasToken(name, word string) bool {
	for _, o := range f {
		if o.Name != name {
			continue
		}
		for part := range strings.SplitSeq(o.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), word) {
				return true
			}
		}
	}
	return false
}

// line reads one line without its end; most is what is left of the head.
func line(r *bufio.Reader, most *int, status int) ([]byte, error) {
	l, err := r.ReadSlice('\n')
	if *most -= len(l); *most < 0 || errors.Is(err, bufio.ErrBufferFull) {
		return nil, bad(status, "the head is too long")
	}
	if err != nil {
		if err == io.EOF && len(l) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if len(l) < 2 || l[len(l)-2] != '\r' {
		return nil, bad(400, "a line ends without CR LF")
	}
	l = l[:len(l)-2]
	for _, c := range l {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, bad(400, "a control character in the head")
		}
	}
	return l, nil
}

// fields reads the lines after the start line.
func fields(r *bufio.Reader, most *int, count int) (list Fields, err error) {
	for {
		l, err := line(r, most, 431)
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(l) == 0 {
			return list, nil
		}
		if len(list) == count {
			return nil, bad(431, "over %d fields", count)
		}
		name, value, ok := bytes.Cut(l, []byte{':'})
		if !ok || !isToken(name) {
			return nil, bad(400, "a line of the head that is no field")
		}
		list = append(list, Field{strings.ToLower(string(name)), strings.Trim(string(value), " \t")})
	}
}

func isToken(b []byte) bool {
	for _, c := range b {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return len(b) > 0
}
