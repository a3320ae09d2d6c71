package replica

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/lease"
	"irispost/internal/testkit/golden"
)

// get and post return requests without headers, which are not repeated.
func get(path string) goldenRequest { return goldenRequest{method: "GET", path: path} }
func post(path, body string) goldenRequest {
	return goldenRequest{method: "POST", path: path, body: body}
}

// withHeader returns the request with headers.
func (g goldenRequest) withHeader(header map[string]string) goldenRequest {
	g.header = header
	return g
}

// repeatedUntil returns the request, to be repeated until the response contains a text.
func (g goldenRequest) repeatedUntil(text string) goldenRequest {
	g.until = text
	return g
}

// Each route responds with the recorded status, headers and body, at a replica that leads and at one that does not.
func TestRoutesMatchGolden(t *testing.T) {
	out := &strings.Builder{}
	leader := startGolden(t, t.TempDir(), map[uint64]string{1: "first:7000"})
	for _, request := range requestsToLeader(t) {
		out.WriteString(request.send(t, leader.Addr()))
	}
	out.WriteString("# of three, the others are not there\n\n")
	peers := map[uint64]string{1: "first:7000", 2: "127.9.9.2:20002", 3: "127.9.9.3:20003"}
	alone := startGolden(t, t.TempDir(), peers)
	for _, request := range requestsToFollower(t) {
		out.WriteString(request.send(t, alone.Addr()))
	}
	golden.Check(t, "routes.golden", []byte(out.String()))
}

// requestsToLeader returns requests to a replica that leads. Their order matters, as later responses depend on earlier
// requests.
func requestsToLeader(t *testing.T) []goldenRequest {
	t.Helper()
	first, second := rateLimitConfig(1), rateLimitConfig(2)
	proposal := func(p lease.Proposal) goldenRequest { return post("/propose", encodeJSON(t, p)) }
	contentPath := "/content/" + configversion.DigestOf(second)
	hash := content.NewCache(first, 0).Fetch(configversion.DigestOf(second), 1).NextRequest().BaseHash()
	offersBase := map[string]string{
		"Accept-Encoding":      "dcz, zstd",
		"Available-Dictionary": ":" + base64.StdEncoding.EncodeToString(hash[:]) + ":",
		"Dictionary-ID":        fmt.Sprintf("%q", configversion.DigestOf(first)),
	}
	const (
		firstRenewal  = `{"who":"g1/1","seq":1,"state":"following","form":1}`
		secondRenewal = `{"who":"g1/1","seq":2,"term":2,"taken":1,"holds":[1],` +
			`"trouble":"cannot read it","state":"following"}`
		thirdRenewal = `{"who":"g1/1","seq":3,"term":2,"taken":2,"holds":[1],"state":"following"}`
	)
	return []goldenRequest{
		proposal(lease.Proposal{
			ID: "a", Author: "ann", Reason: "first", CreatedAt: "2026-12-02T04:00:00Z", Content: first,
		}).repeatedUntil("number"),
		get("/status").repeatedUntil(`"in_force":1`),
		get("/metrics"),
		post("/renew", firstRenewal).repeatedUntil(`"lease":60000000000`),
		post("/renew", secondRenewal),
		proposal(lease.Proposal{ID: "b", Parent: 1, Author: "ann", Reason: "second", Content: second}),
		proposal(lease.Proposal{ID: "c", Parent: 2, Author: "ben", Content: second}),
		proposal(lease.Proposal{ID: "d", Parent: 1, Author: "ben", Content: second}),
		post("/propose", "{"),
		get("/status"),
		get("/metrics"),
		post("/renew", thirdRenewal),
		post("/renew", "x"),
		get("/versions?from=2"),
		get("/versions?from=3"),
		get("/versions"),
		get("/news?term=2&in_force=1&announced=1&hold_ms=60000"),
		get("/news?term=2&in_force=1&announced=2&hold_ms=1"),
		get(contentPath),
		get(contentPath).withHeader(map[string]string{"Accept-Encoding": "zstd"}),
		get(contentPath).withHeader(offersBase),
		get("/content/0"),
		post("/hello", `{"from":9,"starts":2,"incarnation":7,"form":2}`),
		post("/hello", `{"from":9,"starts":1,"incarnation":8}`),
		post("/hello", "x"),
		post("/raft", ""),
		post("/raft", "x"),
		post("/voters", `{"add":{"1":"first:7000"}}`),
		post("/voters", `{"remove":[7]}`),
		post("/voters", `{"add":{"1":"other:7000"}}`),
		post("/voters", `{}`),
		post("/voters", `x`),
		get("/propose"),
		post("/status", ""),
		get("/"),
	}
}

// requestsToFollower returns requests to a replica that does not lead.
func requestsToFollower(t *testing.T) []goldenRequest {
	t.Helper()
	configuration := rateLimitConfig(1)
	return []goldenRequest{
		get("/status"),
		get("/versions?from=1"),
		get("/news?hold_ms=60000"),
		post("/renew", `{"who":"g1/1","seq":1,"state":"following"}`),
		post("/propose", encodeJSON(t, lease.Proposal{ID: "a", Content: configuration})),
		post("/voters", `{"remove":[2]}`),
		get("/content/" + configversion.DigestOf(configuration)),
		post("/raft", ""),
		get("/metrics"),
	}
}
