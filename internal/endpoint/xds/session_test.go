package xds_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"irispost/internal/endpoint/xds"
	"irispost/internal/xdsstandin"
)

const (
	sec          = int64(time.Second)
	fetchTimeout = 15 * time.Second
)

// formatList returns the ports of an outcome's list, in the order of the list, or "-" if there is no list.
func formatList(out xds.Outcome) string {
	if out.List == nil {
		return "-"
	}
	var ports []string
	for _, n := range out.List.Nodes {
		ports = append(ports, strings.TrimPrefix(n.Addr, "127.0.0.1:"))
	}
	return strings.Join(ports, " ")
}

// formatRequests returns requests in a short notation: type, version, nonce, then =names, +subscribed, -unsubscribed,
// known names and NACK for a rejection.
func formatRequests(requests []xds.Request) string {
	var out []string
	types := map[string]string{xds.ClusterType: "C", xds.EndpointType: "E"}
	for _, r := range requests {
		word := fmt.Sprintf("%s v%s n%s", types[r.Type], r.Version, r.Nonce)
		if len(r.ResourceNames) > 0 {
			word += " =" + strings.Join(r.ResourceNames, ",")
		}
		if len(r.Subscribe) > 0 {
			word += " +" + strings.Join(r.Subscribe, ",")
		}
		if len(r.Unsubscribe) > 0 {
			word += " -" + strings.Join(r.Unsubscribe, ",")
		}
		if len(r.KnownNames) > 0 {
			word += " knows " + strings.Join(r.KnownNames, ",")
		}
		if r.RejectReason != "" {
			word += " NACK"
		}
		out = append(out, word)
	}
	return strings.Join(out, "; ")
}

// sessionTest checks the outcomes of a session.
type sessionTest struct {
	t *testing.T
	s *xds.Session
}

// open opens a stream and checks its first requests.
func (c sessionTest) open(requests string) {
	c.t.Helper()
	if got := formatRequests(c.s.OpenStream(sec)); got != requests {
		c.t.Errorf("the first requests of the stream are %q, want %q", got, requests)
	}
}

// handle processes a response and checks the requests and the list of its outcome.
func (c sessionTest) handle(response xds.Response, requests, list string) xds.Outcome {
	c.t.Helper()
	out := c.s.HandleResponse(sec, response)
	if formatRequests(out.Requests) != requests || formatList(out) != list {
		c.t.Errorf("requests %q, list %q, rejected %v; want %q, %q",
			formatRequests(out.Requests), formatList(out), out.Rejected, requests, list)
	}
	return out
}

// reject processes a response and checks its requests, and that it is rejected with an error that contains the text.
func (c sessionTest) reject(response xds.Response, requests, text string) {
	c.t.Helper()
	out := c.handle(response, requests, "-")
	wantRejected(c.t, out, text)
	if out.Rejected != nil && out.Requests[0].RejectReason == "" {
		c.t.Errorf("the rejection has no reason: %+v", out.Requests)
	}
}

// wantRejected fails the test unless an outcome has an error that contains the text.
func wantRejected(t *testing.T, out xds.Outcome, text string) {
	t.Helper()
	if out.Rejected == nil || !strings.Contains(out.Rejected.Error(), text) {
		t.Errorf("rejected: %v, want %q", out.Rejected, text)
	}
}

// The requests of the state-of-the-world variant: clusters before endpoints, versions and nonces as the protocol
// requires, a NACK with the version in force, and the first requests of a new stream.
func TestStateOfTheWorldRequests(t *testing.T) {
	c := sessionTest{t, xds.NewSession(false, nil, fetchTimeout)}
	c.open("C v n")
	c.handle(endpoints(t, false, "9", "x", "a", "1000"), "", "-") // received before its cluster: ignored
	c.handle(clusters(t, false, "1", "n1", "a", "b"), "C v1 nn1; E v n =a,b", "-")
	c.handle(endpoints(t, false, "1", "n2", "a", "1000", "1001"), "E v1 nn2 =a,b", "-")
	c.handle(endpoints(t, false, "2", "n3", "b", "2000"), "E v2 nn3 =a,b", "1000 1001 2000")
	c.reject(endpoints(t, false, "3", "n4", "a", "0"), "E v2 nn4 =a,b NACK", "port_value 0")
	// A valid response with the version that was rejected.
	c.handle(endpoints(t, false, "3", "n5", "a", "1000"), "E v3 nn5 =a,b", "1000 2000")
	// Cluster a stays in use until c has its endpoints.
	c.handle(clusters(t, false, "2", "n6", "b", "c"), "C v2 nn6; E v3 nn5 =a,b,c", "2000 1000")
	c.handle(endpoints(t, false, "4", "n7", "c", "3000"), "E v4 nn7 =a,b,c; E v4 nn7 =b,c", "2000 3000")
	c.open("C v n; E v n =b,c")
	c.handle(clusters(t, false, "2", "m1", "b", "c"), "C v2 nm1", "2000 3000")
	c.handle(clusters(t, false, "3", "m2"), "C v3 nm2; E v4 n", "")
}

// The requests of the incremental variant.
func TestIncrementalRequests(t *testing.T) {
	c := sessionTest{t, xds.NewSession(true, nil, fetchTimeout)}
	c.open("C v n")
	c.handle(clusters(t, true, "1", "n1", "a", "b"), "C v nn1; E v n +a,b", "-")
	c.handle(endpoints(t, true, "1", "n2", "a", "1000"), "E v nn2", "-")
	c.handle(endpoints(t, true, "1", "n3", "b", "2000"), "E v nn3", "1000 2000")
	unsubscribed := endpoints(t, true, "2", "n4", "z", "9000")
	unsubscribed.Removed = []string{"never"}
	c.handle(unsubscribed, "E v nn4", "1000 2000")
	c.handle(endpoints(t, true, "2", "n5", "a", "0"), "E v nn5 NACK", "-")
	c.handle(endpoints(t, true, "2", "n6", "a", "1001"), "E v nn6", "1001 2000")
	removal := xds.Response{Type: xds.ClusterType, Version: "2", Nonce: "n7", Removed: []string{"a"}}
	c.handle(removal, "C v nn7; E v nn6 -a", "2000")
	c.open("C v n knows b; E v n +b knows b")
	mislabelled := endpoints(t, true, "3", "m1", "b", "2000")
	mislabelled.Changed[0].Name = "c"
	c.reject(mislabelled, "E v nm1 NACK", "its body has the name \"b\"")
}

// Clusters that are not subscribed to are ignored. Resources that are inconsistent, duplicate, of the wrong type or
// over the limit are rejected, and a response of an unknown type is ignored with a note.
func TestInconsistentResponsesAreRejected(t *testing.T) {
	c := sessionTest{t, xds.NewSession(false, []string{"a"}, fetchTimeout)}
	c.open("C v n =a")
	c.handle(clusters(t, false, "1", "n1", "a", "other"), "C v1 nn1 =a; E v n =a", "-")
	c.handle(endpoints(t, false, "1", "n2", "a", "1000"), "E v1 nn2 =a", "1000")

	c = sessionTest{t, xds.NewSession(false, nil, fetchTimeout)}
	c.s.OpenStream(sec)
	c.handle(clusters(t, false, "1", "n1", "a", "b"), "C v1 nn1; E v n =a,b", "-")
	c.handle(endpoints(t, false, "1", "n2", "a", "1000"), "E v1 nn2 =a,b", "-")
	c.reject(endpoints(t, false, "2", "n3", "b", "1000"), "E v1 nn3 =a,b NACK", "is in clusters \"a\" and \"b\"")
	twice := clusters(t, false, "2", "n4", "a", "a")
	c.reject(twice, "C v1 nn4 NACK", "appears twice in the response")
	wrong := endpoints(t, false, "2", "n5", "a")
	wrong.Type = xds.ClusterType
	c.reject(wrong, "C v1 nn5 NACK", "instead of \"type.googleapis.com/envoy.config.cluster.v3.Cluster\"")
	var many []string
	for i := range xds.MaxClusters + 1 {
		many = append(many, fmt.Sprint("c", i))
	}
	c.reject(clusters(t, false, "2", "n6", many...), "C v1 nn6 NACK", "exceed the limit of 4096")
	listener := xds.Response{Type: "type.googleapis.com/envoy.config.listener.v3.Listener"}
	if out := c.s.HandleResponse(sec, listener); len(out.Notes) != 1 || len(out.Requests) > 0 {
		t.Errorf("a response of an unknown type: got %+v, want one note and no requests", out)
	}
}

// First responses and first endpoints are reported as overdue after the fetch timeout, and the session then stops
// waiting for them.
func TestOverdueResponsesAreReported(t *testing.T) {
	s := xds.NewSession(false, nil, fetchTimeout)
	s.OpenStream(sec)
	if s.NextDeadline() != sec+int64(fetchTimeout) {
		t.Errorf("the next deadline is %d, want fetchTimeout after the start of the stream", s.NextDeadline())
	}
	overdue := s.Tick(sec + int64(fetchTimeout))
	wantRejected(t, overdue, "no response")
	if overdue.List != nil {
		t.Errorf("without any response: got %+v, want no list", overdue)
	}
	if o := s.Tick(sec + 2*int64(fetchTimeout)); o.Rejected != nil || s.NextDeadline() != 0 {
		t.Errorf("the overdue response was reported again, or a deadline is pending: %+v", o)
	}
	now := 100 * sec
	s.HandleResponse(now, clusters(t, false, "1", "n1", "a", "b"))
	if o := s.HandleResponse(now, endpoints(t, false, "1", "n2", "a", "1000")); o.List != nil {
		t.Errorf("while endpoints are missing: got %+v, want no list", o)
	}
	o := s.Tick(now + int64(fetchTimeout))
	if formatList(o) != "1000" || o.Rejected == nil || !strings.Contains(o.Rejected.Error(), "no endpoints of cluster \"b\"") {
		t.Errorf("after the fetch timeout: list %q, rejected: %v; want \"1000\" and an error for cluster b",
			formatList(o), o.Rejected)
	}
	// If no endpoints were ever received, no list is reported.
	s = xds.NewSession(false, nil, fetchTimeout)
	s.OpenStream(now)
	s.HandleResponse(now, clusters(t, false, "1", "n1", "a"))
	if o := s.Tick(now + int64(fetchTimeout)); o.List != nil || o.Rejected == nil {
		t.Errorf("without any endpoints: got %+v, want no list and a rejection", o)
	}
}

// A resource with a time to live expires, unless there are heartbeats.
func TestResourceWithTimeToLiveExpires(t *testing.T) {
	for _, incremental := range []bool{false, true} {
		t.Run(variantName(incremental), func(t *testing.T) {
			s := xds.NewSession(incremental, nil, fetchTimeout)
			s.OpenStream(sec)
			s.HandleResponse(sec, clusters(t, incremental, "1", "n1", "a", "b"))
			s.HandleResponse(sec, endpoints(t, incremental, "1", "n2", "a", "1000"))
			// sendWithTTL sends cluster b's endpoints with a time to live, or a heartbeat if there is no body.
			sendWithTTL := func(now int64, body *anypb.Any) xds.Outcome {
				t.Helper()
				r := xds.Response{Type: xds.EndpointType, Version: "2", Nonce: "n3"}
				wrapper := &discoveryv3.Resource{Name: "b", Version: "2", Resource: body, Ttl: durationpb.New(5 * time.Second)}
				if incremental {
					r.Changed = append(r.Changed, wrapper)
				} else {
					r.Resources = append(r.Resources, pack(t, wrapper))
				}
				return s.HandleResponse(now, r)
			}
			if out := sendWithTTL(sec, pack(t, xdsstandin.Assignment("b", nodes("2000")))); formatList(out) != "1000 2000" {
				t.Errorf("resource with a time to live: list %q, rejected: %v; want \"1000 2000\"", formatList(out), out.Rejected)
			}
			if out := sendWithTTL(5*sec, nil); out.Rejected != nil || formatList(out) != "1000 2000" {
				t.Errorf("after a heartbeat: list %q, rejected: %v; want \"1000 2000\"", formatList(out), out.Rejected)
			}
			if s.NextDeadline() != 10*sec {
				t.Errorf("the next deadline is %d, want 10 s", s.NextDeadline())
			}
			if out := s.Tick(9 * sec); out.List != nil {
				t.Errorf("before the resource expires: got %+v, want no list", out)
			}
			if out := s.Tick(10 * sec); formatList(out) != "1000" || len(out.Notes) != 1 {
				t.Errorf("when the resource expires: list %q, notes %v; want \"1000\", one note", formatList(out), out.Notes)
			}
			if out := sendWithTTL(11*sec, nil); len(out.Notes) != 1 || formatList(out) != "1000" {
				t.Errorf("after a heartbeat for an expired resource: list %q, notes %v; want \"1000\", one note",
					formatList(out), out.Notes)
			}
		})
	}
}

// An assignment that is not updated for its endpoint_stale_after makes the list stale, until it is updated.
func TestAssignmentTurnsStale(t *testing.T) {
	s := xds.NewSession(false, nil, fetchTimeout)
	s.OpenStream(sec)
	s.HandleResponse(sec, clusters(t, false, "1", "n1", "a"))
	a := xdsstandin.Assignment("a", nodes("1000"))
	a.Policy = dropPolicy(0)
	a.Policy.EndpointStaleAfter = durationpb.New(10 * time.Second)
	r := xds.Response{Type: xds.EndpointType, Version: "1", Nonce: "n2", Resources: []*anypb.Any{pack(t, a)}}
	if out := s.HandleResponse(sec, r); out.List.Stale || s.NextDeadline() != 11*sec {
		t.Errorf("new assignment: got list %+v, want it not stale, and the next deadline at 11 s", out.List)
	}
	if out := s.Tick(11 * sec); !out.List.Stale || s.NextDeadline() != 0 {
		t.Errorf("after endpoint_stale_after: got list %+v, want it stale, and no deadline", out.List)
	}
	if out := s.HandleResponse(12*sec, r); out.List.Stale {
		t.Errorf("after an update: got list %+v, want it not stale", out.List)
	}
}
