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
		"ask.json":  Request{Holder: "g/1.2", Seq: 41, Demand: 12.5, SmallestRequest: 2, PriorityWeight: 4, Returned: 0.25},
		"loan.json": Allocation{Holder: "g/1.2", Seq: 41, Units: 7.5},
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
