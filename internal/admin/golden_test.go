package admin_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/admin"
)

// fakeGateway is a gateway with every field of its reports set, so that each of them is in the golden files.
type fakeGateway struct{ err error }

var (
	since = time.Date(2026, 1, 2, 3, 4, 5, 6000, time.UTC)
	held  = admin.HeldLoss{Since: since, Nodes: 3, LeavesNoNodes: true}
)

func (g fakeGateway) Status() (admin.Status, error) {
	return admin.Status{
		Gateway:          "g1",
		Address:          "127.0.0.1:1",
		Since:            since,
		Requests:         1,
		AttemptsInFlight: 2,
		LateAnswers:      3,
		RequestClasses: map[string]admin.RequestCounts{
			"read": {Accepted: 4, Succeeded: 5, Rejected: 6, Failed: 7, Cancelled: 8},
		},
		Capture:  admin.Capture{On: true, File: "f", Written: 9, Dropped: 10, Error: "e"},
		Nodes:    map[string]int{"serving": 11},
		HeldLoss: &held,
		Version:  "acting on 1.ab",
	}, g.err
}

func (g fakeGateway) Members() (admin.EndpointReport, error) {
	return admin.EndpointReport{
		Gateway:            "g1",
		SchedulerUpdatedAt: since,
		HeldLoss:           &held,
		Sources: []admin.Source{{
			Name:            "own",
			State:           "current",
			Since:           since,
			LastError:       "t",
			Version:         "v",
			ReceivedAt:      since,
			Nodes:           1,
			HeldVersion:     "old",
			RejectedUpdates: 2,
			LastRejection:   "r",
			LastRejectionAt: since,
		}, {}},
		Nodes: []admin.Endpoint{{
			Addr:             "a:1",
			Name:             "n",
			Shard:            1,
			Zone:             "z",
			State:            "serving",
			Since:            since,
			Reason:           "w",
			Source:           "own",
			Weight:           1.5,
			AttemptsInFlight: 2,
		}, {}},
	}, g.err
}

func (g fakeGateway) Confirm() (admin.Confirmation, error) {
	return admin.Confirmation{Nodes: 1, Lists: 2}, g.err
}

func (g fakeGateway) StartCapture(folder string) (admin.Capture, error) {
	return admin.Capture{On: true, File: folder + "/f"}, g.err
}

func (g fakeGateway) StopCapture() (admin.Capture, error) { return admin.Capture{}, g.err }

// transport returns a transport that opens a new connection to a Unix socket for each request.
func transport(socket string) *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}}
}

// serveRecorded serves a gateway's admin API behind a proxy that records each request and its response. It returns
// the path of the proxy's socket.
func serveRecorded(t *testing.T, gateway fakeGateway, record *bytes.Buffer) string {
	t.Helper()
	dir := t.TempDir()
	s, err := admin.Listen(filepath.Join(dir, "inner"), gateway)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	l, err := net.Listen("unix", filepath.Join(dir, "outer"))
	if err != nil {
		t.Fatal(err)
	}
	inner := transport(filepath.Join(dir, "inner"))
	outer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		request, err := http.NewRequest(r.Method, "http://gateway"+r.URL.Path, bytes.NewReader(body))
		if err != nil {
			t.Error(err)
			return
		}
		response, err := inner.RoundTrip(request)
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = response.Body.Close() }()
		responseBody, err := io.ReadAll(response.Body)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(record, "%s %s\n%s\n", r.Method, r.URL.Path, body)
		fmt.Fprintf(record, "%d %s\n%s\n", response.StatusCode, response.Header.Get("Content-Type"), responseBody)
		w.WriteHeader(response.StatusCode)
		if _, err := w.Write(responseBody); err != nil {
			t.Error(err)
		}
	})}
	go func() {
		if err := outer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		if err := outer.Close(); err != nil {
			t.Error(err)
		}
	})
	return filepath.Join(dir, "outer")
}

// checkGolden compares got with a file in testdata. UPDATE_GOLDEN=1 rewrites the file.
func checkGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

// TestGoldenSocket compares all requests and responses on the admin socket, the errors that the client returns, and
// the metrics with their help and type, with golden files.
func TestGoldenSocket(t *testing.T) {
	for _, c := range []struct {
		file string
		err  error
	}{{"socket.txt", nil}, {"socket-ended.txt", errors.New("the gateway ends")}} {
		t.Run(c.file, func(t *testing.T) {
			var record bytes.Buffer
			socket := serveRecorded(t, fakeGateway{c.err}, &record)
			client := admin.Dial(socket, time.Minute)
			for _, call := range []func() (any, error){
				func() (any, error) { return client.Status() },
				func() (any, error) { return client.Members() },
				func() (any, error) { return client.Confirm() },
				func() (any, error) { return client.StartCapture("") },
				func() (any, error) { return client.StartCapture("folder") },
				func() (any, error) { return client.StopCapture() },
			} {
				_, err := call()
				fmt.Fprintf(&record, "client: error %v\n\n", err)
			}
			raw := http.Client{Transport: transport(socket)}
			for _, route := range []string{"GET /metrics", "POST /capture/start", "POST /status", "GET /nothing"} {
				method, path, _ := strings.Cut(route, " ")
				request, err := http.NewRequestWithContext(t.Context(), method, "http://gateway"+path, strings.NewReader("{"))
				if err != nil {
					t.Fatal(err)
				}
				response, err := raw.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				if err := response.Body.Close(); err != nil {
					t.Error(err)
				}
			}
			checkGolden(t, c.file, record.Bytes())
		})
	}
}
