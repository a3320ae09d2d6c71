// Package golden compares formats that scripts and stored files depend on with golden files in testdata. Only tests
// import it. Its only state is the flag -update, with which go test rewrites the golden files. A change of a golden
// file means that the format has changed.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Check fails the test if got differs from the file testdata/name. The failure message shows the first line that
// differs.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines := strings.Split(string(got), "\n")
	wantLines := strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		gotLine, wantLine := quotedLine(gotLines, i), quotedLine(wantLines, i)
		if gotLine != wantLine {
			t.Fatalf("%s, line %d: got %s, want %s", file, i+1, gotLine, wantLine)
		}
	}
}

// quotedLine returns a quoted line for a failure message, or "nothing" if there is no such line.
func quotedLine(lines []string, index int) string {
	if index >= len(lines) {
		return "nothing"
	}
	return fmt.Sprintf("%q", lines[index])
}

// CheckJSON fills a record, given as a pointer to its zero value, with distinct values and compares its JSON encoding
// with the file testdata/name. It also fails the test if the file does not stay the same when it is decoded and
// encoded again.
func CheckJSON(t *testing.T, name string, record any) {
	t.Helper()
	count := 0
	fill(t, reflect.ValueOf(record).Elem(), &count)
	Check(t, name, marshal(t, record))
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	decoded := reflect.New(reflect.TypeOf(record).Elem()).Interface()
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !bytes.Equal(marshal(t, decoded), want) {
		t.Fatalf("%s: decoding and encoding again does not reproduce the file", name)
	}
}

func marshal(t *testing.T, record any) []byte {
	t.Helper()
	text, err := json.MarshalIndent(record, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// fill sets each part of a value to a distinct value (booleans to true). count is the number of parts set so far.
func fill(t *testing.T, value reflect.Value, count *int) {
	t.Helper()
	*count++
	switch value.Kind() {
	case reflect.Struct:
		fillStruct(t, value, count)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(t, value.Elem(), count)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		fill(t, value.Index(0), count)
		fill(t, value.Index(1), count)
	case reflect.Map:
		fillMap(t, value, count)
	case reflect.String:
		value.SetString(fmt.Sprint("text ", *count))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*count))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*count))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(*count) + 0.5)
	default:
		t.Fatalf("cannot fill a value of type %s", value.Type())
	}
}

// fillStruct fills the fields of a struct that its JSON encoding contains.
func fillStruct(t *testing.T, value reflect.Value, count *int) {
	t.Helper()
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.IsExported() && field.Tag.Get("json") != "-" {
			fill(t, value.Field(i), count)
		}
	}
}

// fillMap sets a map to one with a single entry.
func fillMap(t *testing.T, value reflect.Value, count *int) {
	t.Helper()
	key := reflect.New(value.Type().Key()).Elem()
	element := reflect.New(value.Type().Elem()).Elem()
	fill(t, key, count)
	fill(t, element, count)
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, element)
}
