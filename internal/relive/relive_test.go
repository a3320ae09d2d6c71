package relive

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"irispost/internal/capture"
)

// readScript reads a script from the content of a capture.
func readScript(t *testing.T, content []byte) *Script {
	t.Helper()
	reader, err := capture.NewReader(bytes.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	script, err := Read(reader.Next)
	if err != nil {
		t.Fatal(err)
	}
	return script
}

// Captures of past failures, one of them truncated, are played through a real gateway at twice their speed. All
// requests must arrive, each must get one answer, and no rule may be violated. The number of requests within their
// objective depends on the machine and is not checked.
func TestPlayAnswersAllCapturedRequests(t *testing.T) {
	for _, name := range []string{"failing", "cold"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			content, err := os.ReadFile("../replay/testdata/" + name + ".iriscap")
			if err != nil {
				t.Fatal(err)
			}
			if name == "cold" {
				content = content[:len(content)*3/4]
			}
			script := readScript(t, content)
			report, err := Play(t.Context(), script, Options{Speed: 2, Slack: 5 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if !report.Passed() {
				t.Fatalf("got %+v, want no violations and no request lost or answered twice", report)
			}
			for class, captured := range report.Captured {
				replayed := report.Replayed[class]
				if replayed == nil || replayed.Requests != captured.Requests || countEnded(replayed) != replayed.Requests {
					t.Errorf("class %s: captured %+v, got replayed %+v, want as many requests, all ended",
						class, captured, replayed)
				}
			}
		})
	}
}

// countEnded returns the number of requests that ended, in whichever way.
func countEnded(o *ClassOutcome) int {
	return o.WithinObjective + o.Late + o.Rejected + o.Failed + o.ClientCancelled
}

func TestPlayEndsWithItsContext(t *testing.T) {
	content, err := os.ReadFile("../replay/testdata/failing.iriscap")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Play(ctx, readScript(t, content), Options{}); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context.Canceled", err)
	}
}

func TestReadRejectsWhatCannotBePlayed(t *testing.T) {
	for want, records := range map[string][]*capture.Record{
		"no start": {{Kind: capture.KindHeader, Name: "g"}},
		"a gap":    {{Kind: capture.KindStart, At: 1}, {Kind: capture.KindGap, Dropped: 3}},
		"a state":  {{Kind: capture.KindSnapshot, At: 1}},
	} {
		next := 0
		_, err := Read(func() (*capture.Record, error) {
			next++
			if next > len(records) {
				return nil, io.EOF
			}
			return records[next-1], nil
		})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
		if incomplete := new(IncompleteError); !errors.As(err, &incomplete) && !errors.Is(err, errNothingToPlay) {
			t.Errorf("error with %q: got type %T, want *IncompleteError or errNothingToPlay", want, err)
		}
	}
}
