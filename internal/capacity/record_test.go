package capacity_test

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/capacity"
	"irispost/internal/testkit"
)

// TestSpoiltRecords: a file with a record that does not hold is refused, with the record's name, and is not written either.
func TestSpoiltRecords(t *testing.T) {
	good := `[{"name":"a","value":2,"base":1,"unit":"us","over":"nodes","points":[{"size":1,"measured":3},{"size":2,"measured":5},{"size":3,"measured":7}],
		"form":"line","residual":0,"how":"measured","command":"go test","commit":"1"}]`
	if _, err := capacity.Parse("f", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for old, with := range map[string]string{`"value":2`: `"value":3`, `"base":1`: `"base":0`, `"residual":0`: `"residual":0.1`, `"line"`: `"flat"`, `"measured":7`: `"measured":9`,
		`,{"size":3,"measured":7}`: ``, `"size":3`: `"size":2`, `"how":"measured"`: `"how":"guessed"`, `"command":"go test"`: `"command":""`, `"commit":"1"`: `"commit":" "`,
		`"unit"`: `"units"`, `}]`: `},null]`, `"1"}]`: `"1"`} {
		text := strings.Replace(good, old, with, 1)
		if _, err := capacity.Parse("f", []byte(text)); err == nil || text == good {
			t.Errorf("%s for %s is taken", with, old)
		}
	}
	file := filepath.Join(t.TempDir(), "records.json")
	whole := &capacity.Record{Name: "b", Unit: "us", Over: "nodes", How: capacity.Measured, Command: "c", Commit: "1", Points: []capacity.Point{{1, 1}, {2, 2}, {3, 3}}}
	if err := capacity.Merge(file, whole); err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadFile(file)
	two := &capacity.Record{Name: "a", Unit: "us", Over: "nodes", How: capacity.Measured, Command: "c", Commit: "1", Points: []capacity.Point{{1, 1}, {2, 2}}}
	if err := capacity.Merge(file, whole, two); err == nil || !strings.Contains(err.Error(), "a: 2 sizes") {
		t.Errorf("a slope over two sizes: %v", err)
	}
	if after, _ := os.ReadFile(file); string(after) != string(before) {
		t.Errorf("the file was changed: %s", after)
	}
	two.Points = append(two.Points, capacity.Point{3, 30})
	if err := capacity.Merge(file, two); err != nil {
		t.Fatal(err)
	}
	all, err := capacity.Read(file)
	if err != nil || len(all) != 2 || all["a"].Points[2].Measured != 30 || all["b"].Form != capacity.Line {
		t.Errorf("%v, %v", all, err)
	}
}

// TestForms: each form is found from its points, and what a size comes to follows from it.
func TestForms(t *testing.T) {
	for form, c := range map[string]struct {
		points []float64 // size, measured
		size   float64
		want   float64 // 0: refused
	}{
		capacity.Flat:  {[]float64{1, 10, 10, 10.4, 100, 9.8}, 1000, 10.0667},
		capacity.Line:  {[]float64{100, 120, 200, 220, 400, 420}, 800, 820},
		capacity.NLogN: {[]float64{16, 64, 64, 384, 256, 2048, 4096, 49152}, 1024, 10240},
		"not a line":   {[]float64{1, 1, 10, 100, 100, 1}, 55, 50.5},
		"not a line: ": {[]float64{1, 1, 10, 100, 100, 1}, 101, 0},
	} {
		r := fitted(t, "x", "us", "nodes", c.points...)
		v, point, err := r.At(c.size)
		if !strings.HasPrefix(r.Form, strings.TrimSuffix(form, ": ")) || point || c.want == 0 && err == nil || c.want > 0 && (v-c.want > 0.01 || c.want-v > 0.01) {
			t.Errorf("%s: %v, at %v %v %v", form, r, c.size, v, err)
		}
		if v, point, _ := r.At(c.points[0]); !point || v != c.points[1] {
			t.Errorf("%s: at a size that was measured %v", form, v)
		}
	}
}

// fitted is a record over points of size and measure.
func fitted(t *testing.T, name, unit, over string, points ...float64) *capacity.Record {
	t.Helper()
	r := &capacity.Record{Name: name, Unit: unit, Over: over, How: capacity.Measured, Command: "none", Commit: "0"}
	for i := 0; i+1 < len(points); i += 2 {
		r.Points = append(r.Points, capacity.Point{Size: points[i], Measured: points[i+1]})
	}
	if err := r.Fit(); err != nil {
		t.Fatal(err)
	}
	return r
}

// TestAnyLine: points on any line are found to be on it, whatever their order, and a record reads back as it was written.
func TestAnyLine(t *testing.T) {
	testkit.FixSeeds(t)
	rapid.Check(t, func(r *rapid.T) {
		base, slope := rapid.Float64Range(0, 1e4).Draw(r, "base"), rapid.Float64Range(1, 1e4).Draw(r, "slope")
		x := &capacity.Record{Name: "x", Unit: "us", Over: "nodes", How: capacity.Simulated, Command: "none", Commit: "0"}
		for _, size := range rapid.Permutation([]float64{16, 200, 900, 1800}).Draw(r, "sizes") {
			x.Points = append(x.Points, capacity.Point{Size: size, Measured: base + slope*size})
		}
		if err := x.Fit(); err != nil {
			r.Fatal(err)
		}
		want := base + slope*780
		if v, _, err := x.At(780); err != nil || x.Form != capacity.Line || math.Abs(v-want) > want/1e4 {
			r.Fatalf("%v: %v at 780, %v wanted, %v", x, v, want, err)
		}
		b, err := capacity.Records{"x": x}.Bytes()
		if err != nil {
			r.Fatal(err)
		}
		all, err := capacity.Parse("f", b)
		if err != nil || fmt.Sprint(*all["x"]) != fmt.Sprint(*x) {
			r.Fatalf("%v, %v", all["x"], err)
		}
	})
}
