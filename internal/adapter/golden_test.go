package adapter_test

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"irispost/internal/adapter"
	"irispost/internal/testkit/golden"
)

// logText finds the texts of the scheduler's log lines: they are for people and not part of the form.
var logText = regexp.MustCompile(`(?m)^(TRACE\|[0-9]+\||[0-9]+ log ).+$`)

// TestSessionMatchesGolden plays a session of three instances, with "|" for the tab, and compares the replies and
// what the taps are told with the files of testdata.
func TestSessionMatchesGolden(t *testing.T) {
	input, err := os.ReadFile(filepath.Join("testdata", "session.in"))
	if err != nil {
		t.Fatal(err)
	}
	var replies bytes.Buffer
	taps := map[int64]*callTrace{3: {}, 5: {}, 7: {}}
	lines := strings.NewReader(strings.ReplaceAll(string(input), "|", "\t"))
	err = adapter.Run(lines, &replies, func(number int64) adapter.Tap { return taps[number] })
	if err != nil {
		t.Fatal(err)
	}
	actions := strings.ReplaceAll(replies.String(), "\t", "|")
	golden.Check(t, "session.out", []byte(logText.ReplaceAllString(actions, "${1}TEXT")))
	records := strings.Join(slices.Concat(taps[3].lines, taps[5].lines, taps[7].lines), "\n") + "\n"
	golden.Check(t, "session.tap", []byte(logText.ReplaceAllString(records, "${1}TEXT")))
}
