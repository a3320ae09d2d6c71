package wire

import (
	"bytes"
	"math"
	"strconv"

	"irispost/scheduler"
)

// maxMilliseconds is the longest time that is accepted. More would overflow the nanoseconds.
const maxMilliseconds = math.MaxInt64/scheduler.Millisecond - 1

// ParseTime converts a decimal number of milliseconds to whole nanoseconds without floating-point arithmetic. It
// drops digits below a nanosecond, and returns false if the text is not such a number.
func ParseTime(field []byte) (scheduler.Time, bool) {
	whole, fraction, _ := bytes.Cut(field, []byte{'.'})
	negative := len(whole) > 0 && whole[0] == '-'
	if negative {
		whole = whole[1:]
	}
	ms, ok := parseInteger(whole)
	if !ok || ms < 0 || ms > maxMilliseconds {
		return 0, false
	}
	ns, unit := ms*scheduler.Millisecond, scheduler.Millisecond
	for _, c := range fraction {
		if c < '0' || c > '9' {
			return 0, false
		}
		unit /= 10
		ns += int64(c-'0') * unit
	}
	if negative {
		ns = -ns
	}
	return ns, true
}

// safeDigits is the largest number of digits with which every integer fits in an int64.
const safeDigits = 18

// parseInteger parses a decimal integer. A number of safeDigits+1 digits must not be negative.
func parseInteger(field []byte) (int64, bool) {
	negative := len(field) > 0 && field[0] == '-'
	if negative {
		field = field[1:]
	}
	switch {
	case len(field) == 0 || len(field) > safeDigits+1:
		return 0, false
	case len(field) == safeDigits+1:
		v, err := strconv.ParseInt(string(field), 10, 64)
		return v, err == nil && !negative
	}
	var v int64
	for _, c := range field {
		if c < '0' || c > '9' {
			return 0, false
		}
		v = v*10 + int64(c-'0')
	}
	if negative {
		v = -v
	}
	return v, true
}
