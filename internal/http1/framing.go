package http1

import (
	"strings"
)

// maxLengthDigits is the maximum number of digits of a Content-Length. Any number of 18 digits fits in an int64.
const maxLengthDigits = 18

// Framing is how the length of a body is determined (RFC 9112, 6.3).
type Framing struct {
	Bytes      int64 // body length from Content-Length; 0 if another field is set
	Chunked    bool  // chunked transfer coding
	UntilClose bool  // the body ends when the connection closes; only for responses
}

// parseFraming determines the framing from the fields. explicit is false if no field specifies it.
func parseFraming(fields Fields) (framing Framing, explicit bool, err error) {
	encodings, lengths := fields.Count("transfer-encoding"), fields.Count("content-length")
	switch {
	case encodings > 0 && lengths > 0:
		return Framing{}, false, errorf(statusBadRequest, "both Content-Length and Transfer-Encoding")
	case encodings > 0:
		encoding, ok := fields.Get("transfer-encoding")
		if !ok || !strings.EqualFold(encoding, "chunked") {
			return Framing{}, false, errorf(statusNotImplemented, "a Transfer-Encoding other than chunked")
		}
		return Framing{Chunked: true}, true, nil
	case lengths > 0:
		text, ok := fields.Get("content-length")
		length, isNumber := parseDecimal(text, maxLengthDigits)
		if !ok || !isNumber {
			return Framing{}, false, errorf(statusBadRequest, "a Content-Length that is no length")
		}
		return Framing{Bytes: length}, true, nil
	}
	return Framing{}, false, nil
}

// parseDecimal parses a number that consists only of decimal digits, at most maxDigits. strconv would accept a sign.
func parseDecimal(text string, maxDigits int) (number int64, ok bool) {
	if len(text) == 0 || len(text) > maxDigits {
		return 0, false
	}
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, false
		}
		number = number*10 + int64(c-'0')
	}
	return number, true
}
