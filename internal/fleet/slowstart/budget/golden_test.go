package budget

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"irispost/internal/testkit/golden"
)

// TestGoldenMessages: the messages between gateways are encoded and decoded in the same JSON form as by earlier builds.
func TestGoldenMessages(t *testing.T) {
	for file, message := range map[string]any{
		"request.json": Request{
			Holder: "g/1.2", Seq: 41, Demand: 12.5, SmallestRequest: 2, PriorityWeight: 4, Returned: 0.25,
		},
		"allocation.json": Allocation{Holder: "g/1.2", Seq: 41, Units: 7.5},
	} {
		b, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, file, append(b, '\n'))
		want, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatal(err)
		}
		read := reflect.New(reflect.TypeOf(message))
		if err := json.Unmarshal(want, read.Interface()); err != nil || read.Elem().Interface() != message {
			t.Errorf("%s: got %+v, want %+v (error: %v)", file, read.Elem(), message, err)
		}
	}
}
