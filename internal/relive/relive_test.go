package relive

import (
	"bytes"
	"context"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"irispost/internal/capture"
)

func script(t *testing.T, b []byte) (*Script, error) {
	t.Helper()
	r, err := capture.NewReader(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	return Read(r.Next)
}

// Captures of past failures, one of them cut off, are played through a real gateway at twice their pace: all arrivals come,
// each gets one answer, and no rule breaks. How many were in their goal is not judged here.
func TestPastFailuresThroughARealGateway(t *testing.T) {
	for _, name := range []string{"failing", "cold"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, err := os.ReadFile("../replay/testdata/" + name + ".iriscap")
			if err != nil {
				t.Fatal(err)
			}
			if name == "cold" {
				b = b[:len(b)*3/4]
			}
			s, err := script(t, b)
			if err != nil {
				t.Fatal(err)
			}
			r, err := Play(context.Background(), s, Options{Speed: 2, Slack: 5 * time.Second})
			if err != nil || !r.Passed() {
				t.Fatalf("%+v, %v", r, err)
			}
			for product, was := range r.Captured {
				is := r.Replayed[product]
				if is == nil || is.Requests != was.Requests || is.WithinObjective+is.Late+is.Rejected+is.Failed+is.ClientCancelled != is.Requests {
					t.Errorf("%s: %+v were, %+v are", product, was, is)
				}
			}
		})
	}
}

// What a script cannot be made of is refused by name.
func TestWhatCannotBePlayed(t *testing.T) {
	for want, records := range map[string][]*capture.Record{
		"no start": {{Kind: capture.Header, Name: "g"}},
		"a gap":    {{Kind: capture.Start, At: 1}, {Kind: capture.Gap, Dropped: 3}},
		"a state":  {{Kind: capture.State, At: 1}},
	} {
		n := 0
		_, err := Read(func() (*capture.Record, error) {
			if n++; n > len(records) {
				return nil, io.EOF
			}
			return records[n-1], nil
		})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
