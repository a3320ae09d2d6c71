package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/delta"
	"irispost/internal/fleet/lease"
)

// wide is a version of so many nodes; the n-th differs.
func wide(nodes, n int) []byte {
	r, _ := configversion.Parse(some(1))
	r.Shards = nodes
	for i := range nodes {
		r.Nodes[fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)] = configversion.Node{Shard: i, Zone: "a", StartedAt: int64(i)*7919 + int64(i/(n+1))}
	}
	return r.Canonical()
}

// propose has a version announced; over whatever is.
func propose(t *testing.T, c *Client, n uint64, b []byte) *configversion.Version {
	t.Helper()
	v, err := c.Propose(&lease.Proposal{ID: fmt.Sprint(n), Parent: n - 1, ReplacePending: true, Content: b})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// get fetches until a keeper has a content: it may lag.
func get(t *testing.T, addr string, h *content.Cache, digest string) (r content.Request, coding string, coded []byte) {
	t.Helper()
	c := &Client{}
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
		r = h.Fetch(digest, 1).NextRequest()
		coding, coded, err := c.FetchContent(context.Background(), addr, r)
		if err == nil {
			return r, coding, coded
		}
		if !errors.Is(err, ErrContentNotFound) || time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

// Any keeper hands out any version's content, one that was taken back too: as a delta from a base that it has, whole where the base is not
// known, of another fleet, or is another than its name says. What it does not have it says so.
func TestContentOfAnyKeeper(t *testing.T) {
	h := newHome(t)
	h.must(1, 2, 3)
	c := h.client()
	one, two, three := wide(300, 1), wide(300, 2), wide(300, 3)
	first := propose(t, c, 1, one)
	propose(t, c, 2, two) // over the first
	last := propose(t, c, 3, three)
	for id, addr := range h.peers {
		for name, o := range map[string]struct {
			base []byte
			want string
		}{"the one before": {two, content.EncodingDelta}, "one taken back": {one, content.EncodingDelta}, "of another fleet": {wide(300, 9), content.EncodingZstd}, "none": {nil, content.EncodingZstd}} {
			hold := content.NewCache(o.base, 0)
			r, coding, coded := get(t, addr, hold, last.Digest)
			f := hold.Fetch(last.Digest, 1)
			if err := f.HandleResponse(r, coding, coded); err != nil || coding != o.want || !bytes.Equal(hold.Content(last.Digest), three) {
				t.Errorf("keeper %d, base %s: %q of %d bytes, %v", id, name, coding, len(coded), err)
			}
		}
		ask := func(digest string, head map[string]string) (int, string, []byte) {
			req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/content/"+digest, nil)
			for name, value := range head {
				req.Header.Set(name, value)
			}
			a, err := (&http.Client{Transport: &http.Transport{DisableCompression: true}}).Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Body.Close()
			b, _ := io.ReadAll(a.Body)
			return a.StatusCode, a.Header.Get("Content-Encoding"), b
		}
		if code, coding, b := ask(first.Digest, nil); code != 200 || coding != "" || !bytes.Equal(b, one) {
			t.Errorf("for who takes no coding: %d, %q, %d bytes", code, coding, len(b))
		}
		for _, sum := range []string{"", "x", ":eA==:", ":" + strings.Repeat("A", 43) + "=:"} { // the base's name, and not its sum
			if code, coding, _ := ask(last.Digest, map[string]string{"Accept-Encoding": "dcz, zstd", headBase: sum, headID: `"` + first.Digest + `"`}); code != 200 || coding != content.EncodingZstd {
				t.Errorf("base %q: %d, %q", sum, code, coding)
			}
		}
		for _, digest := range []string{strings.Repeat("0", 64), "x", last.Digest[:63]} {
			if code, _, b := ask(digest, nil); code != http.StatusNotFound || len(b) > 0 {
				t.Errorf("%q: %d, %d bytes", digest, code, len(b))
			}
		}
	}
}

// A base that a keeper knew and knows no more when it is asked costs the whole, and nothing else.
func TestBaseForgottenMeanwhile(t *testing.T) {
	h := newHome(t)
	h.must(1, 2, 3)
	one, two := wide(300, 1), wide(300, 2)
	propose(t, h.client(), 1, one)
	last := propose(t, h.client(), 2, two)
	hold := content.NewCache(one, 0)
	get(t, h.peers[1], hold, last.Digest)
	k := h.up[1]
	done := make(chan struct{})
	k.do(context.Background(), func() { // as a compaction may
		k.ledger.Version(1).Digest = "forgotten"
		close(done)
	})
	<-done
	contents := newContents(k) // nothing ready
	mux := http.NewServeMux()
	mux.Handle("GET /again/{digest}", contents)
	again := httptest.NewServer(mux)
	defer again.Close()
	req, _ := http.NewRequest(http.MethodGet, again.URL+"/again/"+last.Digest, nil)
	req.Header.Set("Accept-Encoding", "dcz, zstd")
	req.Header.Set(headID, `"`+configversion.DigestOf(one)+`"`)
	a, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	coded, _ := io.ReadAll(a.Body)
	b, err := delta.Decode(nil, coded, configversion.MaxContentBytes)
	if a.Header.Get("Content-Encoding") != content.EncodingZstd || err != nil || !bytes.Equal(b, two) {
		t.Errorf("%q, %v", a.Header.Get("Content-Encoding"), err)
	}
}

// 780 that ask for the whole at once are served by one coding, also where others have taken all places and do not read; leases are given
// meanwhile.
func TestManyAskForTheWhole(t *testing.T) {
	h := newHome(t)
	h.must(1, 2, 3)
	v := propose(t, h.client(), 1, wide(1800, 1))
	k := h.up[1]
	get(t, h.peers[1], content.NewCache(nil, 0), v.Digest)
	contents := newContents(k) // its own, so that what it has coded is counted
	contents.shelf.AddContent("large", make([]byte, 12<<20))
	mux := http.NewServeMux()
	mux.Handle("GET /content/{digest}", contents)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: mux}
	go s.Serve(l)
	defer s.Close()
	for range writtenAtOnce {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET /content/large HTTP/1.1\r\nHost: k\r\n\r\n")
	}
	for deadline := time.Now().Add(time.Minute); len(contents.places) < writtenAtOnce; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the places are not taken")
		}
	}
	var done sync.WaitGroup
	errs := make(chan error, 780)
	for range 780 {
		done.Add(1)
		go func() {
			defer done.Done()
			h := content.NewCache(nil, 0)
			f := h.Fetch(v.Digest, 1)
			r := f.NextRequest()
			coding, coded, err := (&Client{}).FetchContent(context.Background(), l.Addr().String(), r)
			if err == nil {
				err = f.HandleResponse(r, coding, coded)
			}
			if err != nil {
				errs <- err
			}
		}()
	}
	if _, err := h.client().Status(); err != nil { // it confirms that it leads, as for a lease
		t.Error(err)
	}
	done.Wait()
	close(errs)
	for err := range errs {
		t.Fatal(err)
	}
	if contents.made != 1 {
		t.Errorf("coded %d times", contents.made)
	}
}

// A version over the stated size is refused in one line, and the fleet goes on. What counts is the canonical form.
func TestVersionOverItsSize(t *testing.T) {
	h := newHome(t)
	h.must(1, 2, 3)
	c := h.client()
	c.Timeout = 4 * time.Minute
	_, err := c.Propose(&lease.Proposal{ID: "a", Content: make([]byte, configversion.MaxContentBytes+1)})
	var refused *RejectedError
	if !errors.As(err, &refused) || refused.Message != "the rules are 16777217 bytes, and a version has 16777216 at most" {
		t.Errorf("%v", err)
	}
	short := []byte(`{"needs":1,"shards":1,"plans":{"p":{"weight":1}},"sending":{"most":1},"nodes":{"a":{}}}`)
	r, err := configversion.Parse(short)
	if err != nil || proposedSize(short) != len(r.Canonical()) || proposedSize(short) <= len(short) {
		t.Errorf("%d bytes of %d, %v", proposedSize(short), len(short), err)
	}
	propose(t, c, 1, some(1))
}
