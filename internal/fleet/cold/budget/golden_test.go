package budget

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// TestGoldenMessages: the messages between gateways are those of 3aa21cb, as written and as read.
func TestGoldenMessages(t *testing.T) {
	for file, message := range map[string]any{
		"ask.json":  Ask{Who: "g/1.2", Seq: 41, Want: 12.5, Least: 2, Worth: 4, Back: 0.25},
		"loan.json": Loan{Who: "g/1.2", Seq: 41, Units: 7.5},
	} {
		want, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatal(err)
		}
		got, err := json.Marshal(message)
		if err != nil || !bytes.Equal(append(got, '\n'), want) {
			t.Errorf("%s: written as %s, not %s: %v", file, got, want, err)
		}
		read := reflect.New(reflect.TypeOf(message))
		if err := json.Unmarshal(want, read.Interface()); err != nil || read.Elem().Interface() != message {
			t.Errorf("%s: read as %+v, not %+v: %v", file, read.Elem(), message, err)
		}
	}
}
