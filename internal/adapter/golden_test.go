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

// logText matches the scheduler's log lines. Their texts are for human readers and are not compared.
var logText = regexp.MustCompile(`(?m)^(TRACE\|[0-9]+\||[0-9]+ log ).+$`)

// TestSessionMatchesGolden runs a session of three instances, in a file in which "|" replaces the tab character, and
// compares the replies and the calls to the taps with golden files.
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
