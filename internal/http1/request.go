package http1

import (
	"bufio"
	"strings"
)

// Request is the head of a request.
type Request struct {
	Method, Target string
	Fields         Fields
	Length         Length
	Close          bool // the client closes after the answer
	Waits          bool // the client waits for 100 Continue before it sends the body
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
