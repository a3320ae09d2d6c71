package client

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/delta"
	"irispost/internal/fleet/lease"
)

// encodingLog records the content encodings of the responses that pass a proxy.
type encodingLog struct {
	mutex     sync.Mutex
	encodings []string
}

func (l *encodingLog) record(r *http.Response) error {
	if strings.HasPrefix(r.Request.URL.Path, "/content/") {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.encodings = append(l.encodings, r.Header.Get("Content-Encoding"))
	}
	return nil
}

func (l *encodingLog) list() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.encodings)
}

// changeBody replaces the body of a response.
func changeBody(r *http.Response, change func([]byte) []byte) error {
	b, err := io.ReadAll(r.Body)
	_ = r.Body.Close() // already read to its end
	b = change(b)
	r.Body = io.NopCloser(bytes.NewReader(b))
	r.ContentLength = int64(len(b))
	r.Header.Set("Content-Length", strconv.Itoa(len(b)))
	return err
}

// encode calls delta.Encode and fails the test on an error.
func encode(t *testing.T, base, content []byte) []byte {
	t.Helper()
	encoded, err := delta.Encode(base, content)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestDamagedResponseIsReplaced checks that a version comes into effect although its delta arrives damaged: the
// client then requests the full content, and calls the next replica if that is damaged as well.
func TestDamagedResponseIsReplaced(t *testing.T) {
	first, second := largeContent(200, 1), largeContent(200, 2)
	bomb := encode(t, first, make([]byte, configversion.MaxContentBytes+1))
	otherBase := encode(t, largeContent(200, 9), second)
	earlier := encode(t, first, first)
	if len(bomb) > 1<<20 {
		t.Fatal("the decompression bomb is over 1 MiB itself, want it small when compressed")
	}
	for name, damage := range map[string]func([]byte) []byte{
		"truncated":            func(b []byte) []byte { return b[:len(b)-1] },
		"empty":                func([]byte) []byte { return nil },
		"doubled":              func(b []byte) []byte { return slices.Concat(b, b) },
		"a bit flipped":        func(b []byte) []byte { b = bytes.Clone(b); b[len(b)-2] ^= 4; return b },
		"decodes to too much":  func([]byte) []byte { return bomb },
		"from another base":    func([]byte) []byte { return otherBase },
		"an earlier version's": func([]byte) []byte { return earlier },
	} {
		for _, encoding := range []string{content.EncodingDelta, content.EncodingZstd} {
			t.Run(name+", "+encoding, func(t *testing.T) {
				t.Parallel()
				checkDamageIsReplaced(t, first, second, encoding, damage)
			})
		}
	}
}

// checkDamageIsReplaced damages all deltas of the only replica, or all contents of the first of two.
func checkDamageIsReplaced(t *testing.T, first, second []byte, encoding string, damage func([]byte) []byte) {
	t.Helper()
	replica := startReplica(t, 20*time.Second)
	replica.propose(first)
	damaging := replica.proxy(nil, func(r *http.Response) error {
		passing := r.Header.Get("Content-Encoding")
		if passing == content.EncodingDelta || encoding == content.EncodingZstd && passing != "" {
			return changeBody(r, damage)
		}
		return nil
	})
	addrs := []string{damaging}
	if encoding == content.EncodingZstd { // the first replica returns no intact content
		addrs = append(addrs, replica.addr)
	}
	logs := &logBuffer{}
	group := startClients(t, 1, addrs, func(_ int, options *Options) {
		logs.captureLogsOf(options)
		options.Seed = 1
	})
	group.waitForVersion(1)
	replica.propose(second)
	group.waitForVersion(2)
	warnings := strings.Count(logs.String(), "content response rejected")
	if encoding == content.EncodingDelta && warnings != 1 {
		t.Errorf("%d warnings of a rejected response, want 1: %s", warnings, logs)
	}
	if strings.Contains(logs.String(), lease.StateExpired.String()) {
		t.Errorf("the lease expired during the fetch: %s", logs)
	}
}

// TestMissingContentDelaysItsVersionOnly checks that a content that no replica returns delays its version, but not
// the renewal of the lease on the version in force.
func TestMissingContentDelaysItsVersionOnly(t *testing.T) {
	// A gateway that does not acknowledge a version within one lease gets no further ones.
	replica := startReplica(t, 20*time.Second)
	replica.propose(largeContent(100, 1))
	var missing atomic.Bool
	var renewals atomic.Int64
	countRenewals := func(b []byte) []byte {
		response := &lease.RenewResponse{}
		if json.Unmarshal(b, response) != nil || response.LeaseDuration == 0 {
			return b
		}
		if response.Announced == 2 && response.InForce == 1 {
			renewals.Add(1)
		}
		return b
	}
	addr := replica.proxy(nil, func(r *http.Response) error {
		switch {
		case missing.Load() && r.Header.Get("Content-Encoding") != "":
			r.StatusCode = http.StatusNotFound
		case missing.Load() && r.Request.URL.Path == "/renew":
			return changeBody(r, countRenewals)
		}
		return nil
	})
	logs := &logBuffer{}
	group := startClients(t, 1, []string{addr}, func(_ int, options *Options) { logs.captureLogsOf(options) })
	group.waitForVersion(1)
	missing.Store(true)
	replica.propose(largeContent(100, 2))
	for deadline := time.Now().Add(waitLimit); renewals.Load() < 5; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d renewals while the content is missing, want 5: %s", renewals.Load(), logs)
		}
	}
	state, effective := group.clients[0].Status()
	if state != lease.StateActing.String() || !isOnlyVersion(effective, 1) {
		t.Errorf("state %s with %s in effect, want acting with version 1: %s", state, effective, logs)
	}
	if status, err := replica.client.Status(); err != nil || len(status.Gateways) != 1 || status.Gateways[0].Fault != "" {
		t.Errorf("gateways in the replica's status: got %+v, %v, want one without a fault", status.Gateways, err)
	}
	missing.Store(false)
	group.waitForVersion(2)
}

// asReplicaWithoutContents changes requests so that the replica responds like the previous build, which had no
// route for contents.
func asReplicaWithoutContents(r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/content/"):
		r.URL.Path = "/none"
	case r.URL.Path == "/renew":
		b, _ := io.ReadAll(r.Body) // a truncated body is not JSON, which the replica rejects
		var request map[string]any
		if json.Unmarshal(b, &request) == nil {
			delete(request, "form")
			b, _ = json.Marshal(request) // it was decoded from JSON
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(b)), int64(len(b))
	}
}

// TestMixedFormats checks that gateways and replicas of the previous format work beside new ones: a replica answers
// a request without a format with versions in full, and a new gateway accepts them.
func TestMixedFormats(t *testing.T) {
	replica := startReplica(t, time.Second)
	replica.propose(largeContent(100, 1))
	encodings := &encodingLog{}
	before := replica.proxy(asReplicaWithoutContents, nil)
	after := replica.proxy(nil, encodings.record)
	group := startClients(t, 4, nil, func(i int, options *Options) {
		options.RenewInterval = 100 * time.Millisecond
		options.Replicas = [][]string{{before}, {after}, {before, after}, {after, before}}[i]
	})
	for n := 1; n <= 4; n++ {
		if n > 1 {
			replica.propose(largeContent(100, n))
		}
		group.waitForVersion(n)
	}
	if list := encodings.list(); !slices.Contains(list, content.EncodingDelta) {
		t.Errorf("encodings of contents: got %q, want a delta among them", list)
	}
	for format := range 2 { // formats of renewal requests: 0 is the previous one
		response := renewUntilGranted(t, replica, format)
		if len(response.Versions) != 1 || (len(response.Versions[0].Content) == 0) != (format == lease.ByDigest) {
			t.Errorf("format %d: got %+v, want one version, with its content only in format 0", format, response)
		}
	}
}

// renewUntilGranted sends renewal requests to a replica until it grants a lease.
func renewUntilGranted(t *testing.T, replica *testReplica, format int) *lease.RenewResponse {
	t.Helper()
	request := &lease.RenewRequest{Holder: fmt.Sprint("asks/", format), Seq: 1, Format: format}
	response := &lease.RenewResponse{}
	for deadline := time.Now().Add(waitLimit); response.LeaseDuration == 0 && time.Now().Before(deadline); request.Seq++ {
		err := replica.client.Call(t.Context(), replica.addr, http.MethodPost, "/renew", request, response)
		if err != nil {
			t.Fatal(err)
		}
	}
	return response
}
