package iscsi

import (
	"errors"
	"fmt"
	"strings"
)

// maxKeyLength is the maximum length of a key in bytes (RFC 7143, 6.1).
const maxKeyLength = 63

// Pair is a key=value pair of a text.
type Pair struct{ Key, Value string }

// ErrMalformedText is returned for text that is not a list of key=value pairs.
var ErrMalformedText = errors.New("iscsi: malformed text, not a list of key=value pairs")

// DecodeText parses the key=value pairs of a text (RFC 7143, 6.1). Its errors wrap ErrMalformedText.
func DecodeText(text []byte) (pairs []Pair, err error) {
	for _, part := range strings.Split(string(text), "\x00") {
		if part == "" {
			continue
		}
		key, value, found := strings.Cut(part, "=")
		if !found || key == "" || len(key) > maxKeyLength {
			return nil, fmt.Errorf("%w: %.40q", ErrMalformedText, part)
		}
		pairs = append(pairs, Pair{Key: key, Value: value})
	}
	return pairs, nil
}

// EncodeText encodes pairs as a text.
func EncodeText(pairs []Pair) (text []byte) {
	for _, pair := range pairs {
		text = append(text, pair.Key...)
		text = append(text, '=')
		text = append(text, pair.Value...)
		text = append(text, 0)
	}
	return text
}
