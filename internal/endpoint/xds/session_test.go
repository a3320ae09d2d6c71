package xds_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
	"irispost/internal/xdsstandin"
)

const (
	sec   = int64(time.Second)
	fetch = 15 * time.Second
)

func pack(t testing.TB, m proto.Message) *anypb.Any {
	a, err := anypb.New(m)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func nodes(addrs ...string) (list []endpoint.Node) {
	for _, a := range addrs {
		list = append(list, endpoint.Node{Addr: "127.0.0.1:" + a, Shard: int(a[0] - '0')})
	}
	return list
}

// clusters and endpoints make updates in either form.
func clusters(t testing.TB, delta bool, version, nonce string, names ...string) xds.Response {
	u := xds.Response{Type: xds.ClusterType, Version: version, Nonce: nonce}
	for _, n := range names {
		add(t, &u, delta, n, pack(t, xdsstandin.Cluster(n)))
	}
	return u
}

func endpoints(t testing.TB, delta bool, version, nonce, name string, addrs ...string) xds.Response {
	u := xds.Response{Type: xds.EndpointType, Version: version, Nonce: nonce}
	add(t, &u, delta, name, pack(t, xdsstandin.Assignment(name, nodes(addrs...))))
	return u
}

func add(t testing.TB, u *xds.Response, delta bool, name string, body *anypb.Any) {
	if delta {
		u.Changed = append(u.Changed, &discoveryv3.Resource{Name: name, Version: u.Version, Resource: body})
	} else {
		u.Resources = append(u.Resources, body)
	}
}

// addrs are a list's ports, or "-" where there is no list.
func addrs(o xds.Outcome) string {
	if o.List == nil {
		return "-"
	}
	var out []string
	for _, n := range o.List.Nodes {
		out = append(out, strings.TrimPrefix(n.Addr, "127.0.0.1:"))
	}
	return strings.Join(out, " ")
}

// asked shows requests as short words.
func asked(list []xds.Request) string {
	var out []string
	for _, r := range list {
		kind := map[string]string{xds.ClusterType: "C", xds.EndpointType: "E"}[r.Type]
		word := fmt.Sprintf("%s v%s n%s", kind, r.Version, r.Nonce)
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
			word += " REFUSED"
		}
		out = append(out, word)
	}
	return strings.Join(out, "; ")
}

type check struct {
	t *testing.T
	s *xds.Session
}

func (c check) update(u xds.Response, requests, list string) xds.Outcome {
	c.t.Helper()
	o := c.s.HandleResponse(sec, u)
	if asked(o.Requests) != requests || addrs(o) != list {
		c.t.Errorf("asked %q, list %q, refused %v; wanted %q, %q", asked(o.Requests), addrs(o), o.Rejected, requests, list)
	}
	return o
}

// The whole form, word by word: clusters before endpoints, versions and nonces as the protocol has them, a refusal with the
// version in force, and what a new stream begins with.
func TestWholeForm(t *testing.T) {
	c := check{t, xds.NewSession(false, nil, fetch)}
	if got := asked(c.s.OpenStream(sec)); got != "C v n" {
		t.Errorf("opens with %q", got)
	}
	c.update(endpoints(t, false, "9", "x", "a", "1000"), "", "-") // before its cluster: nobody asked for it
	c.update(clusters(t, false, "1", "n1", "a", "b"), "C v1 nn1; E v n =a,b", "-")
	c.update(endpoints(t, false, "1", "n2", "a", "1000", "1001"), "E v1 nn2 =a,b", "-")
	c.update(endpoints(t, false, "2", "n3", "b", "2000"), "E v2 nn3 =a,b", "1000 1001 2000")
	bad := endpoints(t, false, "3", "n4", "a", "0")
	o := c.update(bad, "E v2 nn4 =a,b REFUSED", "-")
	if o.Rejected == nil || !strings.Contains(o.Rejected.Error(), "port_value 0") || o.Requests[0].RejectReason == "" {
		t.Errorf("%v", o.Rejected)
	}
	c.update(endpoints(t, false, "3", "n5", "a", "1000"), "E v3 nn5 =a,b", "1000 2000")         // good, with the version that was refused
	c.update(clusters(t, false, "2", "n6", "b", "c"), "C v2 nn6; E v3 nn5 =a,b,c", "2000 1000") // a stays until c has its endpoints
	c.update(endpoints(t, false, "4", "n7", "c", "3000"), "E v4 nn7 =a,b,c; E v4 nn7 =b,c", "2000 3000")
	if got := asked(c.s.OpenStream(sec)); got != "C v n; E v n =b,c" {
		t.Errorf("opens anew with %q", got)
	}
	c.update(clusters(t, false, "2", "m1", "b", "c"), "C v2 nm1", "2000 3000")
	c.update(clusters(t, false, "3", "m2"), "C v3 nm2; E v4 n", "")
}

// The incremental form, word by word.
func TestIncrementalForm(t *testing.T) {
	c := check{t, xds.NewSession(true, nil, fetch)}
	if got := asked(c.s.OpenStream(sec)); got != "C v n" {
		t.Errorf("opens with %q", got)
	}
	c.update(clusters(t, true, "1", "n1", "a", "b"), "C v nn1; E v n +a,b", "-")
	c.update(endpoints(t, true, "1", "n2", "a", "1000"), "E v nn2", "-")
	c.update(endpoints(t, true, "1", "n3", "b", "2000"), "E v nn3", "1000 2000")
	unseen := endpoints(t, true, "2", "n4", "z", "9000")
	unseen.Removed = []string{"never"}
	c.update(unseen, "E v nn4", "1000 2000")
	c.update(endpoints(t, true, "2", "n5", "a", "0"), "E v nn5 REFUSED", "-")
	c.update(endpoints(t, true, "2", "n6", "a", "1001"), "E v nn6", "1001 2000")
	gone := xds.Response{Type: xds.ClusterType, Version: "2", Nonce: "n7", Removed: []string{"a"}}
	c.update(gone, "C v nn7; E v nn6 -a", "2000")
	if got := asked(c.s.OpenStream(sec)); got != "C v n knows b; E v n +b knows b" {
		t.Errorf("opens anew with %q", got)
	}
	lied := endpoints(t, true, "3", "m1", "b", "2000")
	lied.Changed[0].Name = "c"
	if o := c.update(lied, "E v nm1 REFUSED", "-"); !strings.Contains(o.Rejected.Error(), "calls itself \"b\"") {
		t.Error(o.Rejected)
	}
}

// Clusters that are asked for by name, and the bounds on what fits together.
func TestNamesAndBounds(t *testing.T) {
	c := check{t, xds.NewSession(false, []string{"a"}, fetch)}
	if got := asked(c.s.OpenStream(sec)); got != "C v n =a" {
		t.Errorf("opens with %q", got)
	}
	c.update(clusters(t, false, "1", "n1", "a", "other"), "C v1 nn1 =a; E v n =a", "-")
	c.update(endpoints(t, false, "1", "n2", "a", "1000"), "E v1 nn2 =a", "1000")

	c = check{t, xds.NewSession(false, nil, fetch)}
	c.s.OpenStream(sec)
	c.update(clusters(t, false, "1", "n1", "a", "b"), "C v1 nn1; E v n =a,b", "-")
	c.update(endpoints(t, false, "1", "n2", "a", "1000"), "E v1 nn2 =a,b", "-")
	o := c.update(endpoints(t, false, "2", "n3", "b", "1000"), "E v1 nn3 =a,b REFUSED", "-")
	if o.Rejected == nil || !strings.Contains(o.Rejected.Error(), "is in clusters \"a\" and \"b\"") {
		t.Error(o.Rejected)
	}
	twice := clusters(t, false, "2", "n4", "a", "a")
	if o := c.update(twice, "C v1 nn4 REFUSED", "-"); !strings.Contains(o.Rejected.Error(), "there twice") {
		t.Error(o.Rejected)
	}
	wrong := xds.Response{Type: xds.ClusterType, Version: "2", Nonce: "n5", Resources: endpoints(t, false, "", "", "a").Resources}
	if o := c.update(wrong, "C v1 nn5 REFUSED", "-"); !strings.Contains(o.Rejected.Error(), "was asked for") {
		t.Error(o.Rejected)
	}
	var many []string
	for i := range xds.MaxClusters + 1 {
		many = append(many, fmt.Sprint("c", i))
	}
	if o := c.update(clusters(t, false, "2", "n6", many...), "C v1 nn6 REFUSED", "-"); !strings.Contains(o.Rejected.Error(), "more than 4096") {
		t.Error(o.Rejected)
	}
	if o := c.s.HandleResponse(sec, xds.Response{Type: "type.googleapis.com/envoy.config.listener.v3.Listener"}); len(o.Notes) != 1 || len(o.Requests) > 0 {
		t.Errorf("%+v", o)
	}
}

// What is waited for is not waited for longer than the fetch time, and is told as late.
func TestFetchTime(t *testing.T) {
	s := xds.NewSession(false, nil, fetch)
	s.OpenStream(sec)
	if s.NextDeadline() != sec+int64(fetch) {
		t.Errorf("wakes at %d", s.NextDeadline())
	}
	if o := s.Tick(sec + int64(fetch)); o.Rejected == nil || !strings.Contains(o.Rejected.Error(), "no answer") || o.List != nil {
		t.Errorf("%+v", o)
	}
	if o := s.Tick(sec + 2*int64(fetch)); o.Rejected != nil || s.NextDeadline() != 0 {
		t.Errorf("told again: %+v", o)
	}
	now := 100 * sec
	s.HandleResponse(now, clusters(t, false, "1", "n1", "a", "b"))
	if o := s.HandleResponse(now, endpoints(t, false, "1", "n2", "a", "1000")); o.List != nil {
		t.Errorf("%+v", o)
	}
	o := s.Tick(now + int64(fetch))
	if addrs(o) != "1000" || o.Rejected == nil || !strings.Contains(o.Rejected.Error(), "no endpoints of cluster \"b\"") {
		t.Errorf("%q, %v", addrs(o), o.Rejected)
	}
	// Endpoints that have never come are not known to be none.
	s = xds.NewSession(false, nil, fetch)
	s.OpenStream(now)
	s.HandleResponse(now, clusters(t, false, "1", "n1", "a"))
	if o := s.Tick(now + int64(fetch)); o.List != nil || o.Rejected == nil {
		t.Errorf("%+v", o)
	}
}

// A resource with a time to live goes when it passes, unless there are signs of life; endpoint_stale_after makes old.
func TestTimesToLive(t *testing.T) {
	for _, delta := range []bool{false, true} {
		s := xds.NewSession(delta, nil, fetch)
		s.OpenStream(sec)
		s.HandleResponse(sec, clusters(t, delta, "1", "n1", "a", "b"))
		s.HandleResponse(sec, endpoints(t, delta, "1", "n2", "a", "1000"))
		live := func(now int64, body *anypb.Any) xds.Outcome {
			u := xds.Response{Type: xds.EndpointType, Version: "2", Nonce: "n3"}
			r := &discoveryv3.Resource{Name: "b", Version: "2", Resource: body, Ttl: durationpb.New(5 * time.Second)}
			if delta {
				u.Changed = append(u.Changed, r)
			} else {
				u.Resources = append(u.Resources, pack(t, r))
			}
			return s.HandleResponse(now, u)
		}
		if o := live(sec, pack(t, xdsstandin.Assignment("b", nodes("2000")))); addrs(o) != "1000 2000" {
			t.Errorf("%q, %v", addrs(o), o.Rejected)
		}
		if o := live(5*sec, nil); o.Rejected != nil || addrs(o) != "1000 2000" {
			t.Errorf("a sign of life: %q, %v", addrs(o), o.Rejected)
		}
		if s.NextDeadline() != 10*sec {
			t.Errorf("wakes at %d", s.NextDeadline())
		}
		if o := s.Tick(9 * sec); o.List != nil {
			t.Errorf("%+v", o)
		}
		if o := s.Tick(10 * sec); addrs(o) != "1000" || len(o.Notes) != 1 {
			t.Errorf("%q, %v", addrs(o), o.Notes)
		}
		if o := live(11*sec, nil); len(o.Notes) != 1 || addrs(o) != "1000" {
			t.Errorf("a sign of life of one that is gone: %q, %v", addrs(o), o.Notes)
		}
	}
	s := xds.NewSession(false, nil, fetch)
	s.OpenStream(sec)
	s.HandleResponse(sec, clusters(t, false, "1", "n1", "a"))
	a := xdsstandin.Assignment("a", nodes("1000"))
	a.Policy = drops(0)
	a.Policy.EndpointStaleAfter = durationpb.New(10 * time.Second)
	u := xds.Response{Type: xds.EndpointType, Version: "1", Nonce: "n2", Resources: []*anypb.Any{pack(t, a)}}
	if o := s.HandleResponse(sec, u); o.List.Stale || s.NextDeadline() != 11*sec {
		t.Errorf("%+v", o.List)
	}
	if o := s.Tick(11 * sec); !o.List.Stale || s.NextDeadline() != 0 {
		t.Errorf("%+v", o.List)
	}
	if o := s.HandleResponse(12*sec, u); o.List.Stale {
		t.Errorf("%+v", o.List)
	}
}

// Any order of good, wrong and odd updates, cuts and time: what is in force is always one good state, each update gets one
// answer with its nonce, and what is refused changes nothing.
func TestRandomUpdates(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		delta := seed%2 == 0
		s := xds.NewSession(delta, nil, fetch)
		now, last := sec, "-"
		s.OpenStream(now)
		for step := range 100 {
			now += int64(r.IntN(2_000_000_000))
			nonce := fmt.Sprint("n", step)
			names := []string{"a", "b", "c"}[:r.IntN(4)]
			name := string(rune('a' + r.IntN(3)))
			port := fmt.Sprint(int(name[0]-'a'+1)*1000 + r.IntN(3))
			var u xds.Response
			wrong := false
			switch r.IntN(8) {
			case 0:
				s.OpenStream(now)
				continue
			case 1:
				s.Tick(now)
				continue
			case 2, 3:
				u = clusters(t, delta, fmt.Sprint(step), nonce, names...)
				if delta {
					u.Removed = []string{name}
					u.Changed = slices.DeleteFunc(u.Changed, func(r *discoveryv3.Resource) bool { return r.Name == name })
				}
			case 4:
				u, wrong = endpoints(t, delta, fmt.Sprint(step), nonce, name, "0"), true
			case 5:
				u, wrong = clusters(t, delta, fmt.Sprint(step), nonce, "a"), true
				body := &anypb.Any{TypeUrl: xds.ClusterType, Value: []byte{0xff, 0xff}}
				add(t, &u, delta, "b", body)
			default:
				u = endpoints(t, delta, fmt.Sprint(step), nonce, name, port)
			}
			o := s.HandleResponse(now, u)
			answers := 0
			for _, q := range o.Requests {
				if q.Type == u.Type && q.Nonce == nonce && len(q.Subscribe)+len(q.Unsubscribe) == 0 {
					answers++
				}
				if (q.RejectReason != "") != (o.Rejected != nil) && q.Type == u.Type && q.Nonce == nonce {
					t.Fatalf("seed %d step %d: refused %v, answered %+v", seed, step, o.Rejected, q)
				}
			}
			unasked := len(o.Requests) == 0
			if !unasked && answers == 0 || wrong && !unasked && o.Rejected == nil || !wrong && o.Rejected != nil {
				t.Fatalf("seed %d step %d: %d answers, refused %v, wrong %v, %+v", seed, step, answers, o.Rejected, wrong, o.Requests)
			}
			if o.Rejected != nil && o.List != nil {
				t.Fatalf("seed %d step %d: a refused update gives a list, the last was %q", seed, step, last)
			}
			if o.List != nil {
				seen := map[string]bool{}
				for _, n := range o.List.Nodes {
					if seen[n.Addr] {
						t.Fatalf("seed %d step %d: %s twice", seed, step, n.Addr)
					}
					seen[n.Addr] = true
				}
				last = addrs(o)
			}
		}
	}
}

// Pauses double up to the most, spread over their upper half, and begin anew.
func TestPauses(t *testing.T) {
	p := xds.Backoff{Min: time.Second, Max: 10 * time.Second, Rand: rand.New(rand.NewPCG(1, 2))}
	for round := range 2 {
		for i, most := range []time.Duration{1, 2, 4, 8, 10, 10} {
			if d := p.Next(); d < most*time.Second/2 || d > most*time.Second {
				t.Errorf("round %d, pause %d is %v", round, i, d)
			}
		}
		p.Reset()
	}
}
