// Package golden compares forms that scripts and stored files rely on with files under testdata. Only tests import it.
// It owns no state but the flag -update, with which go test writes the files anew: a change of a file is a change of
// the form.
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

var update = flag.Bool("update", false, "write the golden files anew")

// Check fails the test where got differs from testdata/name.
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

// quotedLine returns a line for a message, or that there is none.
func quotedLine(lines []string, index int) string {
	if index >= len(lines) {
		return "nothing"
	}
	return fmt.Sprintf("%q", lines[index])
}

// CheckJSON fills a record, which is a pointer to its zero value, with values that all differ, and compares its JSON
// form with testdata/name. The file, read into another such record, has to be written the same.
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
		t.Fatalf("%s is read, and written otherwise", name)
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

// fill gives each part of a value a value of its own; count counts them.
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
		t.Fatalf("a %s cannot be filled", value.Type())
	}
}

// fillStruct fills the fields of a struct that JSON has.
func fillStruct(t *testing.T, value reflect.Value, count *int) {
	t.Helper()
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.IsExported() && field.Tag.Get("json") != "-" {
			fill(t, value.Field(i), count)
		}
	}
}

// fillMap gives a map one entry.
func fillMap(t *testing.T, value reflect.Value, count *int) {
	t.Helper()
	key := reflect.New(value.Type().Key()).Elem()
	element := reflect.New(value.Type().Elem()).Elem()
	fill(t, key, count)
	fill(t, element, count)
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, element)
}
