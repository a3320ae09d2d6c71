package serve_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"irispost/internal/testkit"
	"irispost/internal/testkit/golden"
)

// TestGoldenAdmin compares the responses of the admin socket with a golden file, since clients depend on the names of
// states, reasons, request classes, and error texts in them. Times, addresses, folders and numbers that vary between
// runs are masked.
func TestGoldenAdmin(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "admin.sock")
	conf := confWithBlock("  admin = \"" + socket + "\"\n")
	testkit.Start(t, conf, 1, 1, nil)
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
	var record bytes.Buffer
	for _, q := range []string{
		"GET /status",
		"GET /members",
		"POST /members/confirm",
		"POST /capture/stop",
		`POST /capture/start {"folder":""}`,
		`POST /capture/start {"folder":"` + dir + `"}`,
		`POST /capture/start {"folder":""}`,
		"POST /capture/stop",
		"GET /status",
		"GET /metrics",
	} {
		words := append(strings.SplitN(q, " ", 3), "")
		r, err := http.NewRequestWithContext(t.Context(), words[0], "http://gateway"+words[1], strings.NewReader(words[2]))
		if err != nil {
			t.Fatal(err)
		}
		a, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(a.Body)
		if err = errors.Join(err, a.Body.Close()); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&record, "--- %s\n%d %s\n", q, a.StatusCode, body)
	}
	got := strings.ReplaceAll(record.String(), dir, "DIR")
	for pattern, mask := range map[string]string{
		`127\.0\.0\.1:\d+`:    "ADDR",
		`20\d\d-[-0-9:.TZ+]+`: "TIME",
		`g0-[^/" ]*\.iriscap`: "CAPTURE",
		`"written":\d+`:       `"written":N`,
	} {
		got = regexp.MustCompile(pattern).ReplaceAllString(got, mask)
	}
	golden.Check(t, "admin.txt", []byte(got))
}
