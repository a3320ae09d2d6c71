package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

// decoder reads values and collects all errors in them, so that one run reports every error. A value that is missing
// or cannot be read is replaced by its fallback.
type decoder struct{ diags hcl.Diagnostics }

func (d *decoder) reject(at hcl.Range, summary, format string, args ...any) {
	d.diags = append(d.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary,
		Detail: fmt.Sprintf(format, args...), Subject: &at})
}

// value evaluates an expression. present is false if the value is missing, null or invalid; only invalid values are
// reported.
func (d *decoder) value(expression hcl.Expression) (value cty.Value, present bool) {
	if expression == nil {
		return cty.NilVal, false
	}
	value, diags := expression.Value(nil)
	d.diags = append(d.diags, diags...)
	return value, !diags.HasErrors() && !value.IsNull() && value.IsKnown()
}

func (d *decoder) number(expression hcl.Expression, minimum, maximum, fallback float64) float64 {
	value, present := d.value(expression)
	if !present {
		return fallback
	}
	if value.Type() != cty.Number {
		d.reject(expression.Range(), "Not a number", "A number from %v to %v is expected.", minimum, maximum)
		return fallback
	}
	n, _ := value.AsBigFloat().Float64()
	if n < minimum || n > maximum || math.IsNaN(n) {
		d.reject(expression.Range(), "Out of range", "%v is not between %v and %v.", n, minimum, maximum)
	}
	return n
}

func (d *decoder) count(expression hcl.Expression, minimum, maximum, fallback int) int {
	n := d.number(expression, float64(minimum), float64(maximum), float64(fallback))
	if n != math.Trunc(n) {
		d.reject(expression.Range(), "Not a whole number", "%v is not a whole number.", n)
	}
	return int(n)
}

func (d *decoder) text(expression hcl.Expression, fallback string) string {
	value, present := d.value(expression)
	if !present {
		return fallback
	}
	if value.Type() != cty.String {
		d.reject(expression.Range(), "Not a string", "A quoted string is expected.")
		return fallback
	}
	return value.AsString()
}

// textMap reads an object whose values are strings.
func (d *decoder) textMap(expression hcl.Expression) map[string]string {
	value, present := d.value(expression)
	if !present {
		return nil
	}
	if !value.Type().IsObjectType() && !value.Type().IsMapType() {
		d.reject(expression.Range(), "Not a map of strings", "Write for example { \"10.0.0.1:7200\" = \"127.0.0.1:9000\" }.")
		return nil
	}
	texts := map[string]string{}
	for name, text := range value.AsValueMap() {
		if text.IsNull() || text.Type() != cty.String {
			d.reject(expression.Range(), "Not a string", "The value of %q must be a quoted string.", name)
			continue
		}
		texts[name] = text.AsString()
	}
	return texts
}

func (d *decoder) duration(expression hcl.Expression, minimum, maximum, fallback time.Duration) time.Duration {
	text := d.text(expression, "")
	if text == "" {
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.reject(expression.Range(), "Not a duration",
			"%q is not a number with a known unit. Write for example \"300ms\", \"2.5s\" or \"10m\".", text)
		return fallback
	}
	if duration < minimum || duration > maximum {
		d.reject(expression.Range(), "Out of range", "%v is not between %v and %v.", duration, minimum, maximum)
	}
	return duration
}

// binaryUnits maps the suffixes of sizes to bytes.
var binaryUnits = map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

func (d *decoder) bytes(expression hcl.Expression, minimum, maximum, fallback int64) int64 {
	text := strings.TrimSpace(d.text(expression, ""))
	if text == "" {
		return fallback
	}
	number, unit := text, int64(1)
	for suffix, bytes := range binaryUnits {
		if rest, ok := strings.CutSuffix(text, suffix); ok {
			number, unit = strings.TrimSpace(rest), bytes
		}
	}
	n, err := strconv.ParseInt(strings.TrimSuffix(number, "B"), 10, 62)
	if err != nil {
		d.reject(expression.Range(), "Not a size", "%q is not a whole number of B, KiB, MiB or GiB.", text)
		return fallback
	}
	if n > maximum/unit || n*unit < minimum {
		d.reject(expression.Range(), "Out of range", "%s is not between %d and %d bytes.", text, minimum, maximum)
		return fallback
	}
	return n * unit
}

// formatMillis formats a duration in milliseconds, as in the scheduler's settings.
func formatMillis(d time.Duration) string {
	return formatNumber(float64(d) / float64(time.Millisecond))
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// formatFlag formats an optional flag, which is true by default.
func formatFlag(flag *bool) string { return strconv.FormatBool(flag == nil || *flag) }
