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

// readScript reads a script from the bytes of a capture.
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

// Captures of past failures, one of them cut off, are played through a real gateway at twice their pace: all requests
// arrive, each gets one answer, and no rule is violated. How many are within their objective is not judged here.
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
				t.Fatalf("%+v", report)
			}
			for class, captured := range report.Captured {
				replayed := report.Replayed[class]
				if replayed == nil || replayed.Requests != captured.Requests || ended(replayed) != replayed.Requests {
					t.Errorf("%s: captured %+v, replayed %+v", class, captured, replayed)
				}
			}
		})
	}
}

// ended counts the requests that ended in one of the ways.
func ended(o *ClassOutcome) int {
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
		t.Errorf("%v", err)
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
			t.Errorf("%s: %v", want, err)
		}
		if incomplete := new(IncompleteError); !errors.As(err, &incomplete) && !errors.Is(err, errNothingToPlay) {
			t.Errorf("%s: %T", want, err)
		}
	}
}
