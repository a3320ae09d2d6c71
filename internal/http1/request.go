package http1

import (
	"bufio"
	"strings"
)

// Request is the head of a request.
type Request struct {
	Method, Target string
	Fields         Fields
	Framing        Framing
	Close          bool // the client closes after the answer
	ExpectContinue bool // the client waits for 100 Continue before it sends the body
}

// ReadRequest reads the head of a request. The error is io.EOF when the client closed between two.
func ReadRequest(r *bufio.Reader, b Limits) (*Request, error) {
	most := b.MaxHeadBytes
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
	if q.Fields, err = fields(r, &most, b.MaxFields); err != nil {
		return nil, err
	}
	if q.Fields.Count("host") != 1 {
		return nil, bad(400, "not one Host")
	}
	if q.Framing, _, err = length(q.Fields); err != nil {
		return nil, err
	}
	if q.Framing.Bytes > b.MaxBodyBytes {
		return nil, bad(413, "a body of %d bytes, %d may be", q.Framing.Bytes, b.MaxBodyBytes)
	}
	q.Close = q.Fields.HasToken("connection", "close")
	if e, ok := q.Fields.Get("expect"); ok {
		if !strings.EqualFold(e, "100-continue") {
			return nil, bad(417, "an expectation other than 100-continue")
		}
		q.ExpectContinue = q.Framing.Chunked || q.Framing.Bytes > 0
	}
	return q, nil
}
