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
)

// compareGolden compares a text with a file of testdata. With UPDATE_GOLDEN set it writes the file instead.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs; got:\n%s", path, got)
	}
}

// logText finds the texts of the module's log lines: they are for people and not part of the form.
var logText = regexp.MustCompile(`(?m)^(TRACE\|[0-9]+\||[0-9]+ log ).+$`)

// TestSessionMatchesGolden plays a session of three instances, with "|" for the tab, and compares the replies and what the
// taps are told with the files of testdata.
func TestSessionMatchesGolden(t *testing.T) {
	input, err := os.ReadFile(filepath.Join("testdata", "session.in"))
	if err != nil {
		t.Fatal(err)
	}
	var replies bytes.Buffer
	taps := map[int64]*trace{3: {}, 5: {}, 7: {}}
	err = adapter.Run(strings.NewReader(strings.ReplaceAll(string(input), "|", "\t")), &replies, func(number int64) adapter.Tap {
		return taps[number]
	})
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "session.out", logText.ReplaceAllString(strings.ReplaceAll(replies.String(), "\t", "|"), "${1}TEXT"))
	records := strings.Join(slices.Concat(taps[3].lines, taps[5].lines, taps[7].lines), "\n") + "\n"
	compareGolden(t, "session.tap", logText.ReplaceAllString(records, "${1}TEXT"))
}
