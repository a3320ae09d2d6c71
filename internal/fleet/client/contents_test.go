package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
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
	"irispost/internal/fleet/replica"
)

// single is one keeper, and a way to it that may do something to what passes.
type single struct {
	t      *testing.T
	addr   string
	client *replica.Client
	last   uint64
}

func alone(t *testing.T, leaseDuration time.Duration) *single {
	k, err := replica.Start(replica.Options{ID: 1, Listen: "127.0.0.1:0", Peers: map[uint64]string{1: "-"}, Dir: t.TempDir(), LeaseSettings: lease.Settings{LeaseDuration: int64(leaseDuration), MaxClockDrift: 0.01},
		TickInterval: 10 * time.Millisecond, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return &single{t: t, addr: k.Addr(), client: &replica.Client{Replicas: []string{k.Addr()}, Timeout: 30 * time.Second}}
}

func (s *single) propose(b []byte) {
	s.t.Helper()
	if _, err := s.client.Propose(&lease.Proposal{ID: fmt.Sprint(s.last), Parent: s.last, ReplacePending: true, Content: b}); err != nil {
		s.t.Fatal(err)
	}
	s.last++
}

// way is an address at which the keeper is reached, by way of what is done to asks and to answers.
func (s *single) way(ask func(*http.Request), answer func(*http.Response) error) string {
	p := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: s.addr})
		if ask != nil {
			ask(r.Out)
		}
	}, ModifyResponse: answer, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	server := httptest.NewServer(p)
	s.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// notes are what was logged.
type notes struct {
	lock sync.Mutex
	text bytes.Buffer
}

func (n *notes) Write(b []byte) (int, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.text.Write(b)
}

func (n *notes) String() string {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.text.String()
}

func (n *notes) options(o *Options) {
	o.Logger, o.RenewInterval = slog.New(slog.NewTextHandler(n, nil)), 100*time.Millisecond
}

// codings are those of the contents that have passed.
type codings struct {
	lock sync.Mutex
	list []string
}

func (c *codings) note(r *http.Response) error {
	if r.Request.URL.Path != "/renew" && strings.HasPrefix(r.Request.URL.Path, "/content/") {
		c.lock.Lock()
		defer c.lock.Unlock()
		c.list = append(c.list, r.Header.Get("Content-Encoding"))
	}
	return nil
}

func (c *codings) seen() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(c.list)
}

// body puts another body in an answer's place.
func body(r *http.Response, change func([]byte) []byte) error {
	b, err := io.ReadAll(r.Body)
	r.Body.Close()
	b = change(b)
	r.Body = io.NopCloser(bytes.NewReader(b))
	r.ContentLength = int64(len(b))
	r.Header.Set("Content-Length", strconv.Itoa(len(b)))
	return err
}

// Whatever becomes of a delta on its way, the gateway comes to act on the version: the whole is asked for. Where that comes to nothing either,
// it is asked for at the next keeper.
func TestAnswersThatAreNone(t *testing.T) {
	one, two := large(200, 1), large(200, 2)
	bomb, _ := delta.Encode(one, make([]byte, configversion.MaxContentBytes+1))
	otherBase, _ := delta.Encode(large(200, 9), two)
	late, _ := delta.Encode(one, one)
	if len(bomb) > 1<<20 {
		t.Fatal("no bomb")
	}
	for name, change := range map[string]func([]byte) []byte{
		"cut off":          func(b []byte) []byte { return b[:len(b)-1] },
		"nothing":          func([]byte) []byte { return nil },
		"doubled":          func(b []byte) []byte { return slices.Concat(b, b) },
		"a bit":            func(b []byte) []byte { b = bytes.Clone(b); b[len(b)-2] ^= 4; return b },
		"unpacks to much":  func([]byte) []byte { return bomb },
		"of another base":  func([]byte) []byte { return otherBase },
		"an earlier one's": func([]byte) []byte { return late },
	} {
		for _, coding := range []string{content.EncodingDelta, content.EncodingZstd} {
			t.Run(name+", "+coding, func(t *testing.T) {
				t.Parallel()
				s := alone(t, 20*time.Second)
				s.propose(one)
				bad := s.way(nil, func(r *http.Response) error {
					if r.Header.Get("Content-Encoding") == content.EncodingDelta || coding == content.EncodingZstd && r.Header.Get("Content-Encoding") != "" {
						return body(r, change)
					}
					return nil
				})
				addrs := []string{bad}
				if coding == content.EncodingZstd { // of the contents that it gives, none is good
					addrs = append(addrs, s.addr)
				}
				n, g := &notes{}, &group{t: t}
				g.start(1, addrs, func(_ int, o *Options) { n.options(o); o.Seed = 1 })
				g.act(1)
				s.propose(two)
				g.act(2)
				if warned := strings.Count(n.String(), "is not taken"); coding == content.EncodingDelta && warned != 1 {
					t.Errorf("%d lines: %s", warned, n)
				}
				if strings.Contains(n.String(), "lapsed") {
					t.Errorf("the lease was not renewed meanwhile: %s", n)
				}
			})
		}
	}
}

// Contents that cannot be had at all hold up their version, and not the lease on the one in force.
func TestNoContentIsToBeHad(t *testing.T) {
	s := alone(t, 20*time.Second) // after one without the version, none more is given
	s.propose(large(100, 1))
	var gone atomic.Bool
	var renewed atomic.Int64
	addr := s.way(nil, func(r *http.Response) error {
		switch {
		case gone.Load() && r.Header.Get("Content-Encoding") != "":
			r.StatusCode = http.StatusNotFound
		case gone.Load() && r.Request.URL.Path == "/renew":
			return body(r, func(b []byte) []byte {
				g := &lease.RenewResponse{}
				if json.Unmarshal(b, g) == nil && g.LeaseDuration > 0 && g.Announced == 2 && g.InForce == 1 {
					renewed.Add(1)
				}
				return b
			})
		}
		return nil
	})
	n, g := &notes{}, &group{t: t}
	g.start(1, []string{addr}, func(_ int, o *Options) { n.options(o) })
	g.act(1)
	gone.Store(true)
	s.propose(large(100, 2))
	for deadline := time.Now().Add(time.Minute); renewed.Load() < 5; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d leases: %s", renewed.Load(), n)
		}
	}
	if state, acts := g.list[0].Status(); state != "acting" || !strings.HasPrefix(acts, "1.") || strings.Contains(acts, "&") {
		t.Errorf("%s on %s: %s", state, acts, n)
	}
	if st, err := s.client.Status(); err != nil || len(st.Gateways) != 1 || st.Gateways[0].Fault != "" {
		t.Errorf("%+v, %v", st.Gateways, err)
	}
	gone.Store(false)
	g.act(2)
}

// Gateways and keepers of the form before work beside new ones: an ask without a form gets versions whole, and a gateway takes them.
func TestFormsBesideEachOther(t *testing.T) {
	s := alone(t, time.Second)
	s.propose(large(100, 1))
	before := s.way(func(r *http.Request) { // a keeper that knows no form, and no contents
		switch {
		case strings.HasPrefix(r.URL.Path, "/content/"):
			r.URL.Path = "/none"
		case r.URL.Path == "/renew":
			b, _ := io.ReadAll(r.Body)
			var ask map[string]any
			if json.Unmarshal(b, &ask) == nil {
				delete(ask, "form")
				b, _ = json.Marshal(ask)
			}
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(b)), int64(len(b))
		}
	}, nil)
	passed := &codings{}
	after := s.way(nil, passed.note)
	g := &group{t: t}
	g.start(4, nil, func(i int, o *Options) {
		o.RenewInterval = 100 * time.Millisecond
		o.Replicas = [][]string{{before}, {after}, {before, after}, {after, before}}[i]
	})
	for n := 1; n <= 4; n++ {
		if n > 1 {
			s.propose(large(100, n))
		}
		g.act(n)
	}
	if list := passed.seen(); !slices.Contains(list, content.EncodingDelta) {
		t.Errorf("no delta has passed: %q", list)
	}
	for form := range 2 { // as the other side sees it
		ask := &lease.RenewRequest{Holder: fmt.Sprint("asks/", form), Seq: 1, Format: form}
		grant := &lease.RenewResponse{}
		for deadline := time.Now().Add(time.Minute); grant.LeaseDuration == 0 && time.Now().Before(deadline); ask.Seq++ {
			if err := s.client.Call(context.Background(), s.addr, http.MethodPost, "/renew", ask, grant); err != nil {
				t.Fatal(err)
			}
		}
		if len(grant.Versions) != 1 || (len(grant.Versions[0].Content) == 0) != (form == lease.ByDigest) {
			t.Errorf("form %d: %+v", form, grant)
		}
	}
}

// What is on the disk is a base after a start: whole or not there, the newest, one at most; what is not a content of ours costs one line.
func TestContentOnDisk(t *testing.T) {
	s := alone(t, time.Second)
	one, two := large(200, 1), large(200, 2)
	file := func(b []byte) string { return configversion.DigestOf(b) + ".rules" }
	s.propose(one)
	s.propose(two)
	stray := filepath.Join(t.TempDir(), "a file")
	os.WriteFile(stray, nil, 0o600)
	if _, err := Start(Options{Gateway: "g", Replicas: []string{s.addr}, RenewInterval: time.Second, Now: time.Now().UnixNano, CacheDir: filepath.Join(stray, "x"), Logger: slog.New(slog.DiscardHandler)}); err == nil || !strings.Contains(err.Error(), "a file") {
		t.Errorf("a folder that cannot be: %v", err)
	}
	for name, c := range map[string]struct {
		files map[string][]byte
		says  string // of the log
		first string // the coding of the first content
	}{
		"nothing":                     {nil, "", content.EncodingZstd},
		"the one before":              {map[string][]byte{file(one): one}, "", content.EncodingDelta},
		"the one in force":            {map[string][]byte{file(two): two}, "", ""},
		"of another fleet":            {map[string][]byte{file(large(200, 9)): large(200, 9)}, "does not have the base", content.EncodingZstd},
		"cut off":                     {map[string][]byte{file(one): one[:100]}, "its digest is", content.EncodingZstd},
		"empty":                       {map[string][]byte{file(one): nil}, "0 bytes", content.EncodingZstd},
		"killed before it had a name": {map[string][]byte{"." + file(two) + "123": two[:9], file(one): one}, "", content.EncodingDelta},
		"killed before it was alone":  {map[string][]byte{file(large(200, 9)): large(200, 9), file(one): one}, "", content.EncodingDelta},
		"somebody else's":             {map[string][]byte{"notes.txt": []byte("x")}, "", content.EncodingZstd},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			at := time.Now().Add(-time.Hour)
			for name, b := range c.files {
				os.WriteFile(filepath.Join(dir, name), b, 0o600)
				when := at
				if bytes.Equal(b, one) {
					when = at.Add(time.Minute)
				}
				os.Chtimes(filepath.Join(dir, name), when, when)
			}
			passed, n, g := &codings{}, &notes{}, &group{t: t}
			addr := s.way(nil, passed.note)
			g.start(1, []string{addr}, func(_ int, o *Options) { n.options(o); o.CacheDir = dir })
			if _, acts := g.list[0].Status(); acts != "none" {
				t.Errorf("acts on %s at once", acts)
			}
			g.act(2)
			g.list[0].Close()
			got := strings.Join(passed.seen(), ",")
			if got != c.first {
				t.Errorf("contents came as %q, not %q", got, c.first)
			}
			lines := strings.Count(n.String(), "level=WARN") + strings.Count(n.String(), "came whole")
			if wanted := min(len(c.says), 1); lines != wanted || !strings.Contains(n.String(), c.says) {
				t.Errorf("%d lines, not %q: %s", lines, c.says, n)
			}
			list, _ := filepath.Glob(filepath.Join(dir, "*"))
			list = slices.DeleteFunc(list, func(f string) bool { return filepath.Base(f) == "notes.txt" })
			hidden, _ := filepath.Glob(filepath.Join(dir, ".*"))
			if len(list) != 1 || filepath.Base(list[0]) != file(two) || len(hidden) > 0 {
				t.Errorf("%q and %q on disk", list, hidden)
			}
		})
	}
}
