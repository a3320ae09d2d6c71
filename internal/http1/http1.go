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
	"strconv"
	"strings"
)

// Bounds are a message's limits.
type Bounds struct {
	Head   int                    // bytes of a head, from the start line to the empty line
	Fields int                    // lines of it
	Body   int64                  // bytes of a body
	Extra  int                    // 1xx answers in front of one
	Long   func(bytes int64) bool // asked for a body over Body, of so many bytes or at most so many; nil: none may be
	Most   int64                  // the most that a body over Body may have whose length is not stated
}

// DefaultBounds are used where nothing else is said.
var DefaultBounds = Bounds{Head: 8 << 10, Fields: 64, Body: 64 << 10, Extra: 8}

// LineBytes is the longest line; readers that are handed in have a buffer of that size.
const LineBytes = 4 << 10

// Error says what is wrong with a message, and with which status a server answers it.
type Error struct {
	Status int
	Why    string
}

func (e *Error) Error() string { return e.Why }

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

// Names tells whether a field of comma-separated words holds one.
func (f Fields) Names(name, word string) bool {
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

// Length says how a body is framed.
type Length struct {
	Bytes   int64
	Chunked bool
	Open    bool // it goes on to the connection's end, in an answer
}

// Request is the head of a request.
type Request struct {
	Method, Target string
	Fields         Fields
	Length         Length
	Close          bool // the client closes after the answer
	Waits          bool // the client waits for 100 Continue before it sends the body
}

// Answer is an answer, whole.
type Answer struct {
	Status int
	Fields Fields
	Body   []byte
	Close  bool // the server closes after it
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

// length reads how the body is framed. stated tells that anything says so.
func length(f Fields) (l Length, stated bool, err error) {
	coded, long := f.Count("transfer-encoding"), f.Count("content-length")
	switch {
	case coded > 0 && long > 0:
		return l, false, bad(400, "both Content-Length and Transfer-Encoding")
	case coded > 0:
		if v, ok := f.Get("transfer-encoding"); !ok || !strings.EqualFold(v, "chunked") {
			return l, false, bad(501, "a Transfer-Encoding other than chunked")
		}
		return Length{Chunked: true}, true, nil
	case long > 0:
		v, ok := f.Get("content-length")
		n, fine := digits(v, 18)
		if !ok || !fine {
			return l, false, bad(400, "a Content-Length that is no length")
		}
		return Length{Bytes: n}, true, nil
	}
	return l, false, nil
}

// digits reads a plain decimal number of at most so many digits.
func digits(s string, most int) (n int64, ok bool) {
	if len(s) == 0 || len(s) > most {
		return 0, false
	}
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

// ReadRequest reads the head of a request. The error is io.EOF when the client closed between two.
func ReadRequest(r *bufio.Reader, b Bounds) (*Request, error) {
	most := b.Head
	l, err := line(r, &most, 414)
	if err != nil {
		return nil, err
	}
	parts := strings.Split(string(l), " ")
	if len(parts) != 3 || !isToken([]byte(parts[0])) || !strings.HasPrefix(parts[1], "/") {
		return nil, bad(400, "no request line")
	}
	q := &Request{Method: parts[0], Target: parts[1]}
	for _, c := range []byte(q.Target) {
		if c <= ' ' || c >= 0x7f {
			return nil, bad(400, "a target that is none")
		}
	}
	if parts[2] != "HTTP/1.1" {
		return nil, bad(505, "not HTTP/1.1")
	}
	if q.Fields, err = fields(r, &most, b.Fields); err != nil {
		return nil, err
	}
	if q.Fields.Count("host") != 1 {
		return nil, bad(400, "not one Host")
	}
	if q.Length, _, err = length(q.Fields); err != nil {
		return nil, err
	}
	if q.Length.Bytes > b.Body {
		return nil, bad(413, "a body of %d bytes, %d may be", q.Length.Bytes, b.Body)
	}
	q.Close = q.Fields.Names("connection", "close")
	if e, ok := q.Fields.Get("expect"); ok {
		if !strings.EqualFold(e, "100-continue") {
			return nil, bad(417, "an expectation other than 100-continue")
		}
		q.Waits = q.Length.Chunked || q.Length.Bytes > 0
	}
	return q, nil
}

// ReadBody reads a body.
func ReadBody(r *bufio.Reader, l Length, b Bounds) ([]byte, error) {
	if !l.Chunked && !l.Open {
		if l.Bytes > b.Body && (b.Long == nil || !b.Long(l.Bytes)) {
			return nil, bad(413, "a body of %d bytes, %d may be", l.Bytes, b.Body)
		}
		if l.Bytes == 0 {
			return nil, nil
		}
		body := make([]byte, l.Bytes)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, unexpected(err)
		}
		return body, nil
	}
	limit := b.Body
	room := func(n int64) error { // past the bound, it is asked once for the most that may be
		if n > limit && limit < b.Most && b.Long != nil && b.Long(b.Most) {
			limit = b.Most
		}
		if n > limit {
			return bad(413, "a body of over %d bytes", limit)
		}
		return nil
	}
	if l.Open {
		return readOpen(r, room)
	}
	var body []byte
	for {
		most := 256 // of a chunk's line
		head, err := line(r, &most, 400)
		if err != nil {
			return nil, unexpected(err)
		}
		size, _, _ := strings.Cut(string(head), ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 32)
		if err != nil || strings.HasPrefix(size, "+") {
			return nil, bad(400, "a chunk whose size is none")
		}
		if n == 0 {
			most := b.Head
			_, err := fields(r, &most, b.Fields) // trailers are read and dropped
			return body, err
		}
		if err := room(int64(len(body)) + int64(n)); err != nil {
			return nil, err
		}
		from := len(body)
		body = append(body, make([]byte, n+2)...)
		if _, err := io.ReadFull(r, body[from:]); err != nil {
			return nil, unexpected(err)
		}
		if string(body[len(body)-2:]) != "\r\n" {
			return nil, bad(400, "a chunk that is longer than it says")
		}
		body = body[:len(body)-2]
	}
}

// readOpen reads a body that goes on to the connection's end. Only an orderly end is one; a reset is an error.
func readOpen(r *bufio.Reader, room func(int64) error) (body []byte, err error) {
	for {
		if _, err := r.Peek(1); err == io.EOF {
			return body, nil
		} else if err != nil {
			return nil, err
		}
		n := r.Buffered()
		if err := room(int64(len(body) + n)); err != nil {
			return nil, err
		}
		part, _ := r.Peek(n)
		body = append(body, part...)
		r.Discard(n)
	}
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadAnswer reads an answer whole, and passes over 1xx ones in front. One without a length ends with the connection (RFC 9112, 6.3): with
// its orderly end, since a reset is no end.
func ReadAnswer(r *bufio.Reader, b Bounds) (*Answer, error) {
	for range b.Extra + 1 {
		most := b.Head
		l, err := line(r, &most, 502)
		if err != nil {
			return nil, err
		}
		version, rest, _ := strings.Cut(string(l), " ")
		code, _, _ := strings.Cut(rest, " ")
		status, ok := digits(code, 3)
		if version != "HTTP/1.1" || !ok || status < 100 || status > 599 {
			return nil, bad(502, "no status line")
		}
		a := &Answer{Status: int(status)}
		if a.Fields, err = fields(r, &most, b.Fields); err != nil {
			return nil, err
		}
		if status < 200 {
			if status == 101 {
				return nil, bad(502, "a switch of protocols that nobody asked for")
			}
			continue
		}
		a.Close = a.Fields.Names("connection", "close")
		n, stated, err := length(a.Fields)
		if err != nil {
			return nil, err
		}
		if status == 204 || status == 304 {
			return a, nil
		}
		if !stated {
			n.Open, a.Close = true, true
		}
		a.Body, err = ReadBody(r, n, b)
		return a, err
	}
	return nil, bad(502, "over %d answers of the kind 1xx", b.Extra)
}

// Writer puts a message together.
type Writer struct{ buf []byte }

// NewRequest begins a request.
func NewRequest(method, target string) *Writer {
	w := &Writer{make([]byte, 0, 512)}
	w.buf = append(append(append(append(w.buf, method...), ' '), target...), " HTTP/1.1\r\n"...)
	return w
}

// NewAnswer begins an answer.
func NewAnswer(status int) *Writer {
	w := &Writer{make([]byte, 0, 512)}
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
func (w *Writer) Field(name, value string) *Writer {
	w.buf = append(append(append(append(w.buf, name...), ": "...), value...), "\r\n"...)
	return w
}

// Body closes the message with its body, whose length is stated where it has one or the other side waits for that.
func (w *Writer) Body(body []byte, stated bool) []byte {
	if stated || len(body) > 0 {
		w.Field("Content-Length", strconv.Itoa(len(body)))
	}
	return append(append(w.buf, "\r\n"...), body...)
}
