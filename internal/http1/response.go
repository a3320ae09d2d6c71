package http1

import (
	"bufio"
	"strings"
)

// Response is a complete response.
type Response struct {
	Status int
	Fields Fields
	Body   []byte
	Close  bool // the server closes the connection after the response
}

// ReadResponse reads a complete response and skips 1xx responses before it. A response that states no length ends when
// the server closes the connection (RFC 9112, 6.3); a connection reset is an error.
func ReadResponse(reader *bufio.Reader, limits Limits) (*Response, error) {
	for range limits.MaxInformational + 1 {
		response, err := readResponseHead(reader, limits)
		if err != nil {
			return nil, err
		}
		if response.Status >= statusOK {
			if err := readResponseBody(reader, response, limits); err != nil {
				return nil, err
			}
			return response, nil
		}
		if response.Status == statusSwitchingProtocols {
			return nil, errorf(statusBadGateway, "a switch of protocols that nobody asked for")
		}
	}
	return nil, errorf(statusBadGateway, "over %d answers of the kind 1xx", limits.MaxInformational)
}

func readResponseHead(reader *bufio.Reader, limits Limits) (*Response, error) {
	remaining := limits.MaxHeadBytes
	text, err := readLine(reader, &remaining, statusBadGateway)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(string(text), " ")
	code, _, _ := strings.Cut(rest, " ")
	status, ok := parseDecimal(code, 3)
	if version != "HTTP/1.1" || !ok || status < statusContinue || status > 599 {
		return nil, errorf(statusBadGateway, "no status line")
	}
	response := &Response{Status: int(status)}
	response.Fields, err = readFields(reader, &remaining, limits.MaxFields)
	if err != nil {
		return nil, err
	}
	return response, nil
}

func readResponseBody(reader *bufio.Reader, response *Response, limits Limits) error {
	response.Close = response.Fields.HasToken("connection", "close")
	framing, explicit, err := parseFraming(response.Fields)
	if err != nil {
		return err
	}
	if response.Status == statusNoContent || response.Status == statusNotModified {
		return nil
	}
	if !explicit {
		framing.UntilClose, response.Close = true, true
	}
	response.Body, err = ReadBody(reader, framing, limits)
	return err
}
