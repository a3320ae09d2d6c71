package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"irispost/internal/testkit"
)

// File commands through a gateway: each step's output, or its error if one is expected, contains the given text. The
// downloaded file equals the uploaded one, and no temporary file remains.
func TestFileCommandsThroughAGateway(t *testing.T) {
	bed := testkit.Start(t, testkit.Conf, 2, 1, nil)
	dir := t.TempDir()
	from, to := filepath.Join(dir, "from"), filepath.Join(dir, "to")
	data := bytes.Repeat([]byte("menu of the week\n"), 20_000)
	if err := os.WriteFile(from, data, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args, out string
		fails     bool
	}{
		{"mkdir /meals/week", "", false},
		{"put " + from + " /meals/week/menu", "", false},
		{"ls /meals/week", "340000", false},
		{"mv /meals/week/menu /meals/menu", "", false},
		{"stat /meals/menu", "menu", false},
		{"get /meals/menu " + to, "", false},
		{"rm /meals/week", "", false},
		{"ls /meals/week", "not exist", true},
		{"get /meals/week/menu " + to, "not exist", true},
		{"rm /meals/menu", "", false},
		{"ls", "meals", false},
		{"put /nothing/here /meals/x", "no such file", true},
	} {
		out, err := run(append(strings.Fields(c.args), "--at", bed.Gateways[0].Frontend.Addr())...)
		if err != nil {
			out += err.Error()
		}
		if (err != nil) != c.fails || !strings.Contains(out, c.out) {
			t.Errorf("%s: got output %q and error %v, want the text and outcome of the case", c.args, out, err)
		}
	}
	if got, err := os.ReadFile(to); err != nil || !bytes.Equal(got, data) {
		t.Errorf("downloaded %d bytes, error %v; want the bytes that were uploaded", len(got), err)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, ".irispost-*")); len(left) > 0 {
		t.Errorf("temporary files %v remain, want none", left)
	}
}
