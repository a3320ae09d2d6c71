// Package golden holds forms that scripts and stored files rest on against files under testdata. Only tests import it.
// go test -update writes the files anew; a change of a file is a change of the form.
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

// Check fails the test where got is not what testdata/name has.
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
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if g, w := line(gotLines, i), line(wantLines, i); g != w {
			t.Fatalf("%s, line %d: got %s, want %s", file, i+1, g, w)
		}
	}
}

func line(lines []string, i int) string {
	if i >= len(lines) {
		return "nothing"
	}
	return fmt.Sprintf("%q", lines[i])
}

// CheckJSON fills a record, which is a pointer to its zero value, with values that all differ, and holds its JSON form
// against testdata/name. The file read into another such record has to be written the same.
func CheckJSON(t *testing.T, name string, record any) {
	t.Helper()
	n := 0
	fill(t, reflect.ValueOf(record).Elem(), &n)
	Check(t, name, marshal(t, record))
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	again := reflect.New(reflect.TypeOf(record).Elem()).Interface()
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(again); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !bytes.Equal(marshal(t, again), want) {
		t.Fatalf("%s is read, and written otherwise", name)
	}
}

func marshal(t *testing.T, record any) []byte {
	t.Helper()
	b, err := json.MarshalIndent(record, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(b, '\n')
}

// fill gives each part of a value a value of its own; n counts them.
func fill(t *testing.T, v reflect.Value, n *int) {
	t.Helper()
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() && v.Type().Field(i).Tag.Get("json") != "-" {
				fill(t, v.Field(i), n)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(t, v.Index(0), n)
		fill(t, v.Index(1), n)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, key, n)
		fill(t, value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprint("text ", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	default:
		t.Fatalf("a %s cannot be filled", v.Type())
	}
}
