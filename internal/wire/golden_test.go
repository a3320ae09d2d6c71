package wire

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	"irispost/internal/testkit/golden"
	"irispost/scheduler"
)

// TestNamesMatchGolden compares the translations of all setting names, values, completion codes and endpoint states
// of the wire with the golden file.
func TestNamesMatchGolden(t *testing.T) {
	var out strings.Builder
	translate := func(path, value string) {
		settings := scheduler.Settings{}
		TranslateSetting(settings, path, value)
		fmt.Fprintf(&out, "%s=%s -> %v\n", path, value, settings)
	}
	for _, path := range slices.Sorted(maps.Keys(settingNames)) {
		translate(strings.Replace(path, "#", "12", 1), "1.5")
	}
	translate("lanes.#.name", "read")
	translate("lanes.x.name", "read")
	translate("unknown.key", "1")
	for _, value := range []string{"read_like", "idempotency_key", "non_idempotent", "other"} {
		translate("lanes.0.effect", value)
		fmt.Fprintf(&out, "effect %s known: %t\n", value, KnownEffect(value))
	}
	for _, value := range []string{"all", "zone", "cell", "other"} {
		translate("lanes.0.group", value)
		fmt.Fprintf(&out, "group %s known: %t\n", value, KnownGroup(value))
	}
	for code := -1; code <= 8; code++ {
		f := Fields{rest: fmt.Append(nil, code), more: true}
		outcome := f.Outcome("ending")
		fmt.Fprintf(&out, "completion code %d -> %d, %v\n", code, outcome, f.Err)
	}
	for _, word := range []string{"ready", "draining", "gone", "other", "-"} {
		f := Fields{rest: []byte(word), more: true}
		state := f.EndpointState("availability")
		fmt.Fprintf(&out, "availability %s -> %d, %v\n", word, state, f.Err)
	}
	golden.Check(t, "names.txt", []byte(out.String()))
}

// TestValuesMatchGolden compares how values of each type are read and written with the golden file.
func TestValuesMatchGolden(t *testing.T) {
	var out bytes.Buffer
	readers := []struct {
		name string
		read func(f *Fields) any
	}{
		{"bool", func(f *Fields) any { return f.Bool("v") }},
		{"int", func(f *Fields) any { return f.Int("v") }},
		{"key", func(f *Fields) any { v, ok := f.OptionalInt("v"); return fmt.Sprint(v, " ", ok) }},
		{"number", func(f *Fields) any { return f.Float64("v") }},
		{"seed", func(f *Fields) any { return f.Uint64("v") }},
		{"text", func(f *Fields) any { return f.Text("v") }},
		{"time", func(f *Fields) any { return f.Time("v") }},
	}
	values := []string{"-", "", "1", "-1", "007", "0.0000019", "-2.5", "5.", ".5", "1e3", "NaN",
		"9223372036854775807", "18446744073709551615"}
	for _, reader := range readers {
		for _, value := range values {
			f := Fields{rest: []byte(value), more: true}
			v := reader.read(&f)
			fmt.Fprintf(&out, "%s %q -> %v, %v\n", reader.name, value, v, f.Err)
		}
		f := Fields{}
		v := reader.read(&f)
		fmt.Fprintf(&out, "%s absent -> %v, %v\n", reader.name, v, f.Err)
	}
	w := NewWriter(&out)
	w.Start("ACTION", 3).Text("r-a").Int(-7).End()
	w.Start("TIMES", math.MaxInt64)
	for _, v := range []scheduler.Time{0, 1, 999, 1000, 1001, -1, -1001, 8412250000, math.MaxInt64, math.MinInt64 + 1} {
		w.Time(v)
	}
	w.End()
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "values.txt", out.Bytes())
}
