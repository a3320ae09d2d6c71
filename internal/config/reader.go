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

// reader reads values and collects what is wrong with them.
type reader struct{ diags hcl.Diagnostics }

func (r *reader) refuse(at hcl.Range, summary, format string, args ...any) {
	r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary,
		Detail: fmt.Sprintf(format, args...), Subject: &at})
}

// value reads an expression; false tells that it is absent or wrong.
func (r *reader) value(e hcl.Expression) (cty.Value, bool) {
	if e == nil {
		return cty.NilVal, false
	}
	v, diags := e.Value(nil)
	r.diags = append(r.diags, diags...)
	return v, !diags.HasErrors() && !v.IsNull() && v.IsKnown()
}

func (r *reader) number(e hcl.Expression, least, most, otherwise float64) float64 {
	v, there := r.value(e)
	if !there {
		return otherwise
	}
	if v.Type() != cty.Number {
		r.refuse(e.Range(), "Not a number", "A number from %v to %v is expected here.", least, most)
		return otherwise
	}
	n, _ := v.AsBigFloat().Float64()
	if n < least || n > most || math.IsNaN(n) {
		r.refuse(e.Range(), "Out of bounds", "%v is not between %v and %v.", n, least, most)
	}
	return n
}

func (r *reader) count(e hcl.Expression, least, most, otherwise int) int {
	n := r.number(e, float64(least), float64(most), float64(otherwise))
	if n != math.Trunc(n) {
		r.refuse(e.Range(), "Not a whole number", "%v is not a whole number.", n)
	}
	return int(n)
}

func (r *reader) text(e hcl.Expression, otherwise string) string {
	v, there := r.value(e)
	if !there {
		return otherwise
	}
	if v.Type() != cty.String {
		r.refuse(e.Range(), "Not a text", "A text in quotes is expected here.")
		return otherwise
	}
	return v.AsString()
}

// texts reads names with texts.
func (r *reader) texts(e hcl.Expression) map[string]string {
	v, there := r.value(e)
	if !there {
		return nil
	}
	if !v.Type().IsObjectType() && !v.Type().IsMapType() {
		r.refuse(e.Range(), "No names with texts", "Write { \"10.0.0.1:7200\" = \"127.0.0.1:9000\" }.")
		return nil
	}
	out := map[string]string{}
	for name, t := range v.AsValueMap() {
		if t.IsNull() || t.Type() != cty.String {
			r.refuse(e.Range(), "Not a text", "%q has no text in quotes.", name)
			continue
		}
		out[name] = t.AsString()
	}
	return out
}

func (r *reader) span(e hcl.Expression, least, most, otherwise time.Duration) time.Duration {
	text := r.text(e, "")
	if text == "" {
		return otherwise
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.refuse(e.Range(), "Not a span of time", "%q has no unit that is known. Write for example \"300ms\", \"2.5s\" or \"10m\".", text)
		return otherwise
	}
	if d < least || d > most {
		r.refuse(e.Range(), "Out of bounds", "%v is not between %v and %v.", d, least, most)
	}
	return d
}

func (r *reader) size(e hcl.Expression, least, most, otherwise int64) int64 {
	text := strings.TrimSpace(r.text(e, ""))
	if text == "" {
		return otherwise
	}
	factor := int64(1)
	number := text
	for unit, f := range map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30} {
		if rest, ok := strings.CutSuffix(text, unit); ok {
			number, factor = strings.TrimSpace(rest), f
		}
	}
	n, err := strconv.ParseInt(strings.TrimSuffix(number, "B"), 10, 62)
	if err != nil {
		r.refuse(e.Range(), "Not a size", "%q is no whole number of B, KiB, MiB or GiB.", text)
		return otherwise
	}
	if n > most/factor || n*factor < least {
		r.refuse(e.Range(), "Out of bounds", "%s is not between %d and %d bytes.", text, least, most)
		return otherwise
	}
	return n * factor
}

const (
	second = time.Second
	huge   = 1e12
)

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}

func plain(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }
