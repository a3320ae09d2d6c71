package replica

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/loopback"
)

// The files under testdata were written by an earlier build. They pin formats that other builds, scripts and folders
// on disk depend on, so use -update only for an intended change of a format.

// startGolden starts a replica with ID 1 and the given folder.
func startGolden(t *testing.T, dir string, peers map[uint64]string) *Replica {
	t.Helper()
	r, err := Start(Options{
		ID:                1,
		Listen:            loopback.ProcessAddr() + ":0",
		Peers:             peers,
		Dir:               dir,
		LeaseSettings:     lease.Settings{LeaseDuration: 6e10, MaxClockDrift: 0.01},
		TickInterval:      10 * time.Millisecond,
		CompactionEntries: 20,
		Logger:            slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// encodeJSON returns a value's JSON.
func encodeJSON(t *testing.T, value any) string {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}

// goldenRequest is one request of a sequence.
type goldenRequest struct {
	method string
	path   string
	body   string
	header map[string]string
	until  string // the request is repeated until the response contains this text
}

// volatileValues matches values that differ from run to run: times that have passed or that are left.
var volatileValues = regexp.MustCompile(`("heard_ms_ago":|"heard_ms_ago":0,"lease_ms":|runs on for )-?[1-9]\d*`)

// send sends the request and describes the response: status, headers and body, with encoded bodies as hex.
func (g goldenRequest) send(t *testing.T, address string) string {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
		response := g.sendOnce(t, client, address)
		if strings.Contains(string(response.body), g.until) {
			return g.describe(response)
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s %s: no response contains %s, the last one is %s", g.method, g.path, g.until, response.body)
		}
	}
}

func (g goldenRequest) sendOnce(t *testing.T, client *http.Client, address string) goldenResponse {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), g.method, "http://"+address+g.path, strings.NewReader(g.body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range g.header {
		req.Header.Set(name, value)
	}
	response, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(response)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return goldenResponse{response.Status, response.Header, body}
}

// goldenResponse is the recorded part of a response.
type goldenResponse struct {
	status string
	header http.Header
	body   []byte
}

func (g goldenRequest) describe(response goldenResponse) string {
	out := &strings.Builder{}
	fmt.Fprintf(out, "## %s %s %s\n%s\n", g.method, g.path, g.body, response.status)
	for _, name := range slices.Sorted(maps.Keys(response.header)) {
		value := strings.Join(response.header[name], ", ")
		if name == "Date" || name == "Content-Length" && volatileValues.Match(response.body) {
			value = "(some)"
		}
		fmt.Fprintf(out, "%s: %s\n", name, value)
	}
	text := string(response.body)
	if response.header.Get("Content-Encoding") != "" {
		text = hex.EncodeToString(response.body)
	}
	for range 2 { // lease_ms is matched only after heard_ms_ago has been replaced
		text = volatileValues.ReplaceAllString(text, "${1}0")
	}
	return fmt.Sprintf("%s\n%s\n\n", out, text)
}
