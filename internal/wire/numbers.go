package wire

import (
	"bytes"
	"math"
	"strconv"

	"irispost/scheduler"
)

// maxMilliseconds is the longest time that is read; more would not fit in nanoseconds.
const maxMilliseconds = math.MaxInt64/scheduler.Millisecond - 1

// ParseTime turns a decimal number of milliseconds into whole nanoseconds, without floating-point arithmetic. Digits
// below them are dropped. It returns false for text that is no such number.
func ParseTime(part []byte) (scheduler.Time, bool) {
	head, tail, _ := bytes.Cut(part, []byte{'.'})
	minus := len(head) > 0 && head[0] == '-'
	if minus {
		head = head[1:]
	}
	ms, ok := parseInteger(head)
	if !ok || ms < 0 || ms > maxMilliseconds {
		return 0, false
	}
	ns, unit := ms*scheduler.Millisecond, scheduler.Millisecond
	for _, c := range tail {
		if c < '0' || c > '9' {
			return 0, false
		}
		unit /= 10
		ns += int64(c-'0') * unit
	}
	if minus {
		ns = -ns
	}
	return ns, true
}

// safeDigits is the most digits of which every number fits in 64 bits.
const safeDigits = 18

// parseInteger reads a plain decimal integer. One of more than safeDigits digits must not be negative.
func parseInteger(part []byte) (int64, bool) {
	minus := len(part) > 0 && part[0] == '-'
	if minus {
		part = part[1:]
	}
	switch {
	case len(part) == 0 || len(part) > safeDigits+1:
		return 0, false
	case len(part) == safeDigits+1:
		v, err := strconv.ParseInt(string(part), 10, 64)
		return v, err == nil && !minus
	}
	var v int64
	for _, c := range part {
		if c < '0' || c > '9' {
			return 0, false
		}
		v = v*10 + int64(c-'0')
	}
	if minus {
		v = -v
	}
	return v, true
}
