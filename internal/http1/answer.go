package http1

import (
	"bufio"
	"strings"
)

// Response is an answer, whole.
type Response struct {
	Status int
	Fields Fields
	Body   []byte
	Close  bool // the server closes after it
}

// ReadResponse reads an answer whole, and passes over 1xx ones in front. One without a length ends with the connection (RFC 9112, 6.3): with
// its orderly end, since a reset is no end.
func ReadResponse(r *bufio.Reader, b Limits) (*Response, error) {
	for range b.MaxInformational + 1 {
		most := b.MaxHeadBytes
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
		a := &Response{Status: int(status)}
		if a.Fields, err = fields(r, &most, b.MaxFields); err != nil {
			return nil, err
		}
		if status < 200 {
			if status == 101 {
				return nil, bad(502, "a switch of protocols that nobody asked for")
			}
			continue
		}
		a.Close = a.Fields.HasToken("connection", "close")
		n, stated, err := length(a.Fields)
		if err != nil {
			return nil, err
		}
		if status == 204 || status == 304 {
			return a, nil
		}
		if !stated {
			n.UntilClose, a.Close = true, true
		}
		a.Body, err = ReadBody(r, n, b)
		return a, err
	}
	return nil, bad(502, "over %d answers of the kind 1xx", b.MaxInformational)
}
