package capacity

import (
	"math"
	"strconv"
	"strings"
)

// formatNumber formats a number with three significant digits. Whole numbers and those from 100 on are written as
// integers, from 1,000 on with commas.
func formatNumber(value float64) string {
	magnitude := math.Abs(value)
	if magnitude >= 1000 {
		text := withCommas(strconv.FormatFloat(math.Round(magnitude), 'f', 0, 64))
		if value < 0 {
			return "-" + text
		}
		return text
	}
	if magnitude >= 100 || value == math.Trunc(value) {
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	text := strconv.FormatFloat(value, 'g', 3, 64)
	if strings.Contains(text, "e") { // a small number in exponent form
		return strings.TrimRight(strconv.FormatFloat(value, 'f', 8, 64), "0")
	}
	return text
}

// withCommas separates the digits of an integer into groups of three.
func withCommas(digits string) string {
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}
