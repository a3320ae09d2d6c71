package http1

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// Framing says how a body is framed.
type Framing struct {
	Bytes      int64
	Chunked    bool
	UntilClose bool // it goes on to the connection's end, in an answer
}

// length reads how the body is framed. stated tells that anything says so.
func length(f Fields) (l Framing, stated bool, err error) {
	coded, long := f.Count("transfer-encoding"), f.Count("content-length")
	switch {
	case coded > 0 && long > 0:
		return l, false, bad(400, "both Content-Length and Transfer-Encoding")
	case coded > 0:
		if v, ok := f.Get("transfer-encoding"); !ok || !strings.EqualFold(v, "chunked") {
			return l, false, bad(501, "a Transfer-Encoding other than chunked")
		}
		return Framing{Chunked: true}, true, nil
	case long > 0:
		v, ok := f.Get("content-length")
		n, fine := digits(v, 18)
		if !ok || !fine {
			return l, false, bad(400, "a Content-Length that is no length")
		}
		return Framing{Bytes: n}, true, nil
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

// ReadBody reads a body.
func ReadBody(r *bufio.Reader, l Framing, b Limits) ([]byte, error) {
	if !l.Chunked && !l.UntilClose {
		if l.Bytes > b.MaxBodyBytes && (b.AdmitLongBody == nil || !b.AdmitLongBody(l.Bytes)) {
			return nil, bad(413, "a body of %d bytes, %d may be", l.Bytes, b.MaxBodyBytes)
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
	limit := b.MaxBodyBytes
	room := func(n int64) error { // past the bound, it is asked once for the most that may be
		if n > limit && limit < b.MaxLongBody && b.AdmitLongBody != nil && b.AdmitLongBody(b.MaxLongBody) {
			limit = b.MaxLongBody
		}
		if n > limit {
			return bad(413, "a body of over %d bytes", limit)
		}
		return nil
	}
	if l.UntilClose {
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
			most := b.MaxHeadBytes
			_, err := fields(r, &most, b.MaxFields) // trailers are read and dropped
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
