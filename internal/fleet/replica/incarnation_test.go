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

// If a peer has recorded a replica's announcement but the response is lost, the replica announces itself again, is
// accepted and takes part.
func TestReplicaRepeatsAnnouncementWhenAnswerIsLost(t *testing.T) {
	c := newTestCluster(t)
	c.start(2)
	direct := c.peers[2]
	var announcements atomic.Int64
	proxy := httptest.NewServer(&httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: direct}) },
		ModifyResponse: func(response *http.Response) error {
			if response.Request.URL.Path == "/hello" && announcements.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			return nil
		},
	})
	defer proxy.Close()
	c.peers[2] = strings.TrimPrefix(proxy.URL, "http://")
	c.start(1)
	c.peers[2] = direct
	c.start(3)
	propose(t, c.client(), 1, rateLimitConfig(1))
	if n := announcements.Load(); n < 2 {
		t.Errorf("announced %d times, want at least 2", n)
	}
	select {
	case <-c.running[1].Done():
		t.Errorf("replica 1 has stopped: %v", c.running[1].Err())
	default:
	}
}
