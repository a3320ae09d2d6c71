package replica

import (
	"bytes"
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
)

// contentResponse is a response to GET /content/{digest}.
type contentResponse struct {
	status int
	coding string
	body   []byte
}

// getContent requests a content with the given headers only, and returns the body as it was sent.
func getContent(t *testing.T, url string, header map[string]string) contentResponse {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	response, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(response)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return contentResponse{response.StatusCode, response.Header.Get("Content-Encoding"), body}
}

// Any replica serves the content of any version, also of one that was replaced before it was in force: as a delta from
// a base that the replica has, complete if the base is missing, of another group, or does not match its digest. For a
// content that it does not have it responds with 404.
func TestAnyReplicaServesContents(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, 2, 3)
	client := c.client()
	one, two, three := nodesConfig(300, 1), nodesConfig(300, 2), nodesConfig(300, 3)
	first := propose(t, client, 1, one)
	propose(t, client, 2, two) // replaces the first
	last := propose(t, client, 3, three)
	if !bytes.Equal(first.Content, one) {
		t.Fatalf("version 1 has a content of %d bytes, want %d", len(first.Content), len(one))
	}
	for id, address := range c.peers {
		for name, test := range map[string]struct {
			base []byte
			want string
		}{
			"the one before":   {two, content.EncodingDelta},
			"one replaced":     {one, content.EncodingDelta},
			"of another group": {nodesConfig(300, 9), content.EncodingZstd},
			"none":             {nil, content.EncodingZstd},
		} {
			cache := content.NewCache(test.base, 0)
			request, coding, encoded := fetchEventually(t, address, cache, last.Digest)
			err := cache.Fetch(last.Digest, 1).HandleResponse(request, coding, encoded)
			if err != nil || coding != test.want || !bytes.Equal(cache.Content(last.Digest), three) {
				t.Errorf("replica %d, base %s: got coding %q of %d bytes, error %v; want the coding of the case and the content",
					id, name, coding, len(encoded), err)
			}
		}
		expectPlainContents(t, "http://"+address+"/content/", first, last)
	}
}

// expectPlainContents sends requests that a gateway's cache never sends: without a coding, with a hash that is
// malformed or not of the base, and for digests that no version has.
func expectPlainContents(t *testing.T, url string, first, last *configversion.Version) {
	t.Helper()
	response := getContent(t, url+first.Digest, nil)
	if response.status != http.StatusOK || response.coding != "" || !bytes.Equal(response.body, first.Content) {
		t.Errorf("without a coding: got status %d, coding %q, %d bytes; want 200, no coding, the content",
			response.status, response.coding, len(response.body))
	}
	wrongHashes := []string{"", "x", ":eA==:", ":" + strings.Repeat("A", 43) + "=:"}
	for _, hash := range wrongHashes {
		response := getContent(t, url+last.Digest, map[string]string{
			"Accept-Encoding": "dcz, zstd",
			headerBaseHash:    hash,
			headerBaseDigest:  `"` + first.Digest + `"`,
		})
		if response.status != http.StatusOK || response.coding != content.EncodingZstd {
			t.Errorf("base hash %q: got status %d, coding %q; want 200, zstd", hash, response.status, response.coding)
		}
	}
	for _, digest := range []string{strings.Repeat("0", 64), "x", last.Digest[:63]} {
		response := getContent(t, url+digest, nil)
		if response.status != http.StatusNotFound || len(response.body) > 0 {
			t.Errorf("digest %q: got status %d, %d bytes; want 404, no body",
				digest, response.status, len(response.body))
		}
	}
}

// If a replica has forgotten a base that it once had, it sends the content complete.
func TestContentIsCompleteWhenBaseIsForgotten(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, 2, 3)
	one, two := nodesConfig(300, 1), nodesConfig(300, 2)
	propose(t, c.client(), 1, one)
	last := propose(t, c.client(), 2, two)
	fetchEventually(t, c.peers[1], content.NewCache(one, 0), last.Digest)
	r := c.running[1]
	r.call(t, func() { r.machine.Version(1).Digest = "forgotten" }) // as a compaction may do
	mux := http.NewServeMux()
	mux.Handle("GET /again/{digest}", newContentServer(r)) // with an empty cache
	server := httptest.NewServer(mux)
	defer server.Close()
	response := getContent(t, server.URL+"/again/"+last.Digest, map[string]string{
		"Accept-Encoding": "dcz, zstd",
		headerBaseDigest:  `"` + configversion.DigestOf(one) + `"`,
	})
	decoded, err := delta.Decode(nil, response.body, configversion.MaxContentBytes)
	if response.coding != content.EncodingZstd || err != nil || !bytes.Equal(decoded, two) {
		t.Errorf("got coding %q, error %v; want the complete content in zstd", response.coding, err)
	}
}

// 780 gateways that request a complete content at once are served by one encoding, even if other clients occupy all
// write slots and do not read. Requests that need a confirmed leader are answered meanwhile.
func TestManyRequestsShareOneEncoding(t *testing.T) {
	const gateways = 780
	c := newTestCluster(t)
	c.start(1, 2, 3)
	version := propose(t, c.client(), 1, nodesConfig(1800, 1))
	fetchEventually(t, c.peers[1], content.NewCache(nil, 0), version.Digest)
	contents := newContentServer(c.running[1]) // a separate one, to count its encodings
	contents.cache.AddContent("large", make([]byte, 12<<20))
	address := serveContents(t, contents)
	occupyWriteSlots(t, contents, address)

	var fetches sync.WaitGroup
	errs := make(chan error, gateways)
	for range gateways {
		fetches.Add(1)
		go func() {
			defer fetches.Done()
			cache := content.NewCache(nil, 0)
			fetch := cache.Fetch(version.Digest, 1)
			request := fetch.NextRequest()
			coding, encoded, err := (&Client{}).FetchContent(t.Context(), address, request)
			if err == nil {
				err = fetch.HandleResponse(request, coding, encoded)
			}
			if err != nil {
				errs <- err
			}
		}()
	}
	if _, err := c.client().Status(); err != nil { // needs a confirmed leader, as a lease does
		t.Error(err)
	}
	fetches.Wait()
	close(errs)
	for err := range errs {
		t.Fatal(err)
	}
	if contents.encodeCount != 1 {
		t.Errorf("encoded %d times, want once", contents.encodeCount)
	}
}

func serveContents(t *testing.T, contents *contentServer) (address string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("GET /content/{digest}", contents)
	listener := listen(t, "127.0.0.1:0")
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }() // returns ErrServerClosed in the end
	t.Cleanup(func() { _ = server.Close() })   // closes connections that do not read
	return listener.Addr().String()
}

// occupyWriteSlots opens connections that request large responses and do not read, until all write slots are in use.
func occupyWriteSlots(t *testing.T, contents *contentServer, address string) {
	t.Helper()
	for range maxConcurrentWrites {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() }) // the server may have closed it
		if _, err := fmt.Fprintf(connection, "GET /content/large HTTP/1.1\r\nHost: k\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(time.Minute)
	for len(contents.writeSlots) < maxConcurrentWrites {
		if time.Now().After(deadline) {
			t.Fatal("the write slots were not occupied within a minute")
		}
		time.Sleep(time.Millisecond)
	}
}
