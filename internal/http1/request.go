package http1

import (
	"bufio"
	"strings"
)

// Request is the head of a request: the request line and the fields.
type Request struct {
	Method, Target string
	Fields         Fields
	Framing        Framing
	Close          bool // the connection closes after the response
	ExpectContinue bool // the client waits for 100 Continue before sending the body
}

// ReadRequest reads the head of a request. The error is io.EOF if the connection closed between two requests.
func ReadRequest(reader *bufio.Reader, limits Limits) (*Request, error) {
	remaining := limits.MaxHeadBytes
	text, err := readLine(reader, &remaining, statusURITooLong)
	if err != nil {
		return nil, err
	}
	request, err := parseRequestLine(string(text))
	if err != nil {
		return nil, err
	}
	if request.Fields, err = readFields(reader, &remaining, limits.MaxFields); err != nil {
		return nil, err
	}
	if request.Fields.Count("host") != 1 {
		return nil, errorf(statusBadRequest, "not one Host")
	}
	if request.Framing, _, err = parseFraming(request.Fields); err != nil {
		return nil, err
	}
	if request.Framing.Bytes > limits.MaxBodyBytes {
		return nil, errBodyTooLong(request.Framing.Bytes, limits)
	}
	request.Close = request.Fields.HasToken("connection", "close")
	if expectation, ok := request.Fields.Get("expect"); ok {
		if !strings.EqualFold(expectation, "100-continue") {
			return nil, errorf(statusExpectationFailed, "an expectation other than 100-continue")
		}
		request.ExpectContinue = request.Framing.Chunked || request.Framing.Bytes > 0
	}
	return request, nil
}

func parseRequestLine(text string) (*Request, error) {
	parts := strings.Split(text, " ")
	if len(parts) != 3 || !isToken([]byte(parts[0])) || !strings.HasPrefix(parts[1], "/") {
		return nil, errorf(statusBadRequest, "no request line")
	}
	request := &Request{Method: parts[0], Target: parts[1]}
	for _, c := range []byte(request.Target) {
		if c <= ' ' || c >= 0x7f {
			return nil, errorf(statusBadRequest, "a target that is none")
		}
	}
	if parts[2] != "HTTP/1.1" {
		return nil, errorf(statusVersionNotSupported, "not HTTP/1.1")
	}
	return request, nil
}
