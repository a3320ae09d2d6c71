package replica

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
)

// A start is known by its count and its mark: the same one may say it again, before and after the other has started anew; an older one, or
// another that has come to the same count, is refused.
func TestStartsThatAreKnown(t *testing.T) {
	dir := t.TempDir()
	open := func() *store {
		s, err := openStore(dir, 1, []uint64{1, 2, 3})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := open()
	for i, c := range []struct {
		starts, run uint64
		good        bool
	}{{1, 7, true}, {1, 7, true}, {1, 8, false}, {1, 0, false}, {2, 8, true}, {1, 7, false}, {0, 0, false}, {2, 8, true}, {2, 9, false}, {3, 0, true}, {3, 0, false}} {
		if i == 7 {
			s.db.Close()
			s = open()
		}
		if good, err := s.hello(2, c.starts, c.run); good != c.good || err != nil {
			t.Errorf("%d, start %d of mark %d: %t, %v", i, c.starts, c.run, good, err)
		}
	}
	s.db.Close()
}

// A keeper whose greeting was heard, and who did not hear so, greets again and takes part.
func TestGreetingWhoseAnswerIsLost(t *testing.T) {
	h := newHome(t)
	h.must(2)
	direct := h.peers[2]
	var lost atomic.Int64
	way := httptest.NewServer(&httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: direct}) },
		ModifyResponse: func(r *http.Response) error {
			if r.Request.URL.Path == "/hello" && lost.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			return nil
		}})
	defer way.Close()
	h.peers[2] = strings.TrimPrefix(way.URL, "http://")
	h.must(1)
	h.peers[2] = direct
	h.must(3)
	c := h.client()
	propose(t, c, 1, some(1))
	if lost.Load() < 2 {
		t.Errorf("greeted %d times", lost.Load())
	}
	select {
	case <-h.up[1].Done():
		t.Errorf("keeper 1 has ended: %v", h.up[1].Err())
	default:
	}
}
