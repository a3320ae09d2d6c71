package http1

import (
	"bufio"
	"strings"
)

// Answer is an answer, whole.
type Answer struct {
	Status int
	Fields Fields
	Body   []byte
	Close  bool // the server closes after it
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
