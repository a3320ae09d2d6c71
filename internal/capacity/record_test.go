package capacity_test

import (
	"errors"
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

// A file with an invalid record has to be rejected.
func TestParseRejectsInvalidRecords(t *testing.T) {
	valid := `[{"name":"a","value":2,"base":1,"unit":"us","over":"nodes",` +
		`"points":[{"size":1,"measured":3},{"size":2,"measured":5},{"size":3,"measured":7}],` +
		`"form":"line","residual":0,"how":"measured","command":"go test","commit":"1"}]`
	if _, err := capacity.Parse("f", []byte(valid)); err != nil {
		t.Fatal(err)
	}
	for old, replacement := range map[string]string{
		`"value":2`:                `"value":3`,
		`"base":1`:                 `"base":0`,
		`"residual":0`:             `"residual":0.1`,
		`"line"`:                   `"flat"`,
		`"measured":7`:             `"measured":9`,
		`,{"size":3,"measured":7}`: ``,
		`"size":3`:                 `"size":2`,
		`"how":"measured"`:         `"how":"guessed"`,
		`"command":"go test"`:      `"command":""`,
		`"commit":"1"`:             `"commit":" "`,
		`"unit"`:                   `"units"`,
		`}]`:                       `},null]`,
		`"1"}]`:                    `"1"`,
	} {
		text := strings.Replace(valid, old, replacement, 1)
		if _, err := capacity.Parse("f", []byte(text)); err == nil || text == valid {
			t.Errorf("with %s in place of %s: got no error or no changed text, want an error", replacement, old)
		}
	}
}

// unfitted returns a record with the given points that is not fitted yet.
func unfitted(name string, points ...capacity.Point) *capacity.Record {
	return &capacity.Record{Name: name, Unit: "us", Over: "nodes", Origin: capacity.Measured, Command: "c", Commit: "1",
		Points: points}
}

// Merge must leave the file unchanged if a record is invalid, and otherwise replace the records of the same names.
func TestMergeReplacesRecordsOrLeavesTheFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "records.json")
	one, two := capacity.Point{Size: 1, Measured: 1}, capacity.Point{Size: 2, Measured: 2}
	threeSizes := unfitted("b", one, two, capacity.Point{Size: 3, Measured: 3})
	if err := capacity.Merge(file, threeSizes); err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	twoSizes := unfitted("a", one, two)
	err = capacity.Merge(file, threeSizes, twoSizes)
	if !errors.Is(err, capacity.ErrTooFewSizes) || !strings.Contains(err.Error(), "a: 2 sizes") {
		t.Errorf("merging a record with two sizes: got error %v, want ErrTooFewSizes with \"a: 2 sizes\"", err)
	}
	if after, err := os.ReadFile(file); err != nil || string(after) != string(before) {
		t.Errorf("the file was changed, or cannot be read: %s, error %v", after, err)
	}
	twoSizes.Points = append(twoSizes.Points, capacity.Point{Size: 3, Measured: 30})
	if err := capacity.Merge(file, twoSizes); err != nil {
		t.Fatal(err)
	}
	records, err := capacity.Read(file)
	if err != nil || len(records) != 2 || records["a"].Points[2].Measured != 30 || records["b"].Form != capacity.Line {
		t.Errorf("got records %v, error %v, want a with 30 at its third point and b as a line", records, err)
	}
}

// Fit has to recognize each form from its points, and At has to use that form.
func TestFitFindsTheFormAndAtFollowsIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		form   string    // prefix
		points []float64 // size, value, ...
		size   float64
		want   float64 // 0: ErrOutOfRange
	}{
		{"flat", string(capacity.Flat), []float64{1, 10, 10, 10.4, 100, 9.8}, 1000, 10.0667},
		{"line", string(capacity.Line), []float64{100, 120, 200, 220, 400, 420}, 800, 820},
		{"n log n", string(capacity.NLogN), []float64{16, 64, 64, 384, 256, 2048, 4096, 49152}, 1024, 10240},
		{"no line, between points", "not a line", []float64{1, 1, 10, 100, 100, 1}, 55, 50.5},
		{"no line, beyond points", "not a line", []float64{1, 1, 10, 100, 100, 1}, 101, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			record := fitted(t, "x", "us", "nodes", c.points...)
			if !strings.HasPrefix(string(record.Form), c.form) {
				t.Errorf("got form %q, want that of the test case", record.Form)
			}
			value, measured, err := record.At(c.size)
			if measured || errors.Is(err, capacity.ErrOutOfRange) != (c.want == 0) || math.Abs(value-c.want) > 0.01 {
				t.Errorf("%v: at size %v got %v, measured %v, error %v, want the test case's value or ErrOutOfRange",
					record, c.size, value, measured, err)
			}
			if value, measured, _ := record.At(c.points[0]); !measured || value != c.points[1] {
				t.Errorf("at the first measured size: got %v, want the measured value", value)
			}
		})
	}
}

// fitted returns a fitted record. points alternate between size and value.
func fitted(t *testing.T, name, unit, over string, points ...float64) *capacity.Record {
	t.Helper()
	record := unfitted(name)
	record.Unit = unit
	record.Over = over
	for i := 0; i+1 < len(points); i += 2 {
		record.Points = append(record.Points, capacity.Point{Size: points[i], Measured: points[i+1]})
	}
	if err := record.Fit(); err != nil {
		t.Fatal(err)
	}
	return record
}

// Fit has to recognize any line, whatever the order of its points, and a record has to be parsed as it was written.
func TestFitFindsAnyLineAndRecordsReadBack(t *testing.T) {
	testkit.FixSeeds(t)
	rapid.Check(t, func(r *rapid.T) {
		base, perNode := rapid.Float64Range(0, 1e4).Draw(r, "base"), rapid.Float64Range(1, 1e4).Draw(r, "slope")
		record := unfitted("x")
		record.Origin = capacity.Simulated
		for _, size := range rapid.Permutation([]float64{16, 200, 900, 1800}).Draw(r, "sizes") {
			record.Points = append(record.Points, capacity.Point{Size: size, Measured: base + perNode*size})
		}
		if err := record.Fit(); err != nil {
			r.Fatal(err)
		}
		want := base + perNode*780
		if value, _, err := record.At(780); err != nil || record.Form != capacity.Line || math.Abs(value-want) > want/1e4 {
			r.Fatalf("%v: got %v at 780, want %v on a line, error %v", record, value, want, err)
		}
		encoded, err := capacity.Records{"x": record}.Bytes()
		if err != nil {
			r.Fatal(err)
		}
		all, err := capacity.Parse("f", encoded)
		if err != nil || fmt.Sprint(*all["x"]) != fmt.Sprint(*record) {
			r.Fatalf("parsed again: got record %v, error %v, want the one that was written", all["x"], err)
		}
	})
}
