package configversion

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/endpoint"
)

// sameSeeds has checks draw the same each time.
func sameSeeds(t *testing.T) {
	flag.Set("rapid.nofailfile", "true")
	if err := flag.Set("rapid.seed", "7"); err != nil {
		t.Fatal(err)
	}
}

// some draws rules of few values, so that two of them often agree on some and differ on others.
func some(t *rapid.T) *Config {
	amount := func(name string) float64 { return rapid.SampledFrom([]float64{0, 1, 2, 10}).Draw(t, name) }
	span := func(name string) int64 { return rapid.SampledFrom([]int64{0, 5, 9}).Draw(t, name) }
	yes := func(name string) bool { return rapid.Bool().Draw(t, name) }
	r := &Config{RequiredFormat: 1, Shards: rapid.SampledFrom([]int{2, 2, 2, 3}).Draw(t, "shards"), MeanRequestUnits: amount("mean"), ServiceLevels: map[string]ServiceLevel{},
		RequestClasses: map[string]RequestClass{}, Nodes: map[string]Node{},
		SlowStart:   SlowStart{InitialShare: amount("from"), Duration: span("time"), FairShareMultiple: amount("multiple"), Window: span("window"), MinimumUnits: amount("units")},
		RetryBudget: RetryBudget{Window: span("window"), FreeRetries: amount("free"), RequestShare: amount("share")},
		Dispatch: DispatchPolicy{MaxAttempts: rapid.IntRange(1, 3).Draw(t, "most"), Hedging: yes("copies"), Cancellation: yes("off"),
			RetryAfter: yes("advice"), MaxRetryAfter: span("advice"), KeyCooldown: span("rest")},
		FallbackPolicy: FallbackPolicy{Duration: span("for"), LimitFraction: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "part"), AllowWrites: yes("writes")}}
	r.ServiceLevels["gold"] = ServiceLevel{Weight: 1, RateLimit: amount("limit"), Burst: amount("burst"), Slack: amount("slack")}
	for _, name := range []string{"silver", "iron"} {
		if yes(name) {
			r.ServiceLevels[name] = ServiceLevel{Weight: 2, NominalRate: amount("rate"), Reserve: amount("reserve"), RateLimit: amount("limit"), Burst: amount("burst")}
		}
	}
	for _, name := range []string{"read", "write"} {
		if rapid.IntRange(0, 4).Draw(t, name) > 0 {
			r.RequestClasses[name] = RequestClass{Idempotency: rapid.SampledFrom([]Idempotency{Idempotent, KeyedAllNodes, KeyedSameZone, KeyedSameShard, NonIdempotent}).Draw(t, "kind"), LatencyObjective: 1 + span("goal"),
				ClientTimeout: 20, DedupWindow: span("window"), Ordered: yes("turn")}
		}
	}
	owned := map[int]bool{}
	for _, addr := range []string{"a", "b", "c", "d"} {
		if yes(addr) {
			n := Node{Shard: rapid.IntRange(0, 1).Draw(t, "shard"), StartedAt: span("born"), Zone: rapid.SampledFrom([]string{"", "z"}).Draw(t, "zone"),
				Health: rapid.SampledFrom([]endpoint.Health{0, 0, 0, endpoint.Draining, endpoint.Removed, endpoint.Unhealthy}).Draw(t, "standing")}
			if owned[n.Shard] && n.Health == endpoint.Ready {
				n.Health = endpoint.Draining
			}
			owned[n.Shard] = owned[n.Shard] || n.Health == endpoint.Ready
			r.Nodes[addr] = n
		}
	}
	return r
}

// act is one thing that a gateway may do; may tells from the rules alone whether they allow it. It shares nothing with Meet
// and Beyond.
type act struct {
	plan, product, node string
	shard               int
	rate                float64 // units a second so far, of the plan's volume
	again               bool    // it may have run before
	zone, same          bool    // that was in the same zone, at the same shard
	born                int64   // of the node, as the sender believes
	number              int
}

func (r *Config) may(a act) bool {
	p, plan := r.ServiceLevels[a.plan]
	q, product := r.RequestClasses[a.product]
	n, node := r.Nodes[a.node]
	if !plan || !product || !node || n.Health != endpoint.Ready || n.Shard != a.shard || n.StartedAt > a.born {
		return false
	}
	if p.RateLimit > 0 && a.rate > p.RateLimit || a.number >= r.Dispatch.MaxAttempts {
		return false
	}
	if a.again && (q.Idempotency == NonIdempotent || q.Idempotency == KeyedSameZone && !a.zone || q.Idempotency == KeyedSameShard && !a.same) {
		return false
	}
	return true
}

func TestLawsOfTheMeet(t *testing.T) {
	sameSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := some(t), some(t), some(t)
		m := Intersect(a, b)
		same := func(law string, x, y *Config) {
			if x.Digest() != y.Digest() {
				t.Fatalf("%s:\n%s\n%s", law, x.Canonical(), y.Canonical())
			}
		}
		same("commutative", m, Intersect(b, a))
		same("idempotent", Intersect(m, m), m)
		same("associative", Intersect(m, c), Intersect(a, Intersect(b, c)))
		same("absorbs what it is made of", Intersect(m, a), m)
		for name, r := range map[string]*Config{"a": a, "b": b} {
			if list := Exceeds(m, r); len(list) > 0 {
				t.Fatalf("the meet is looser than %s: %v", name, list)
			}
			if list := Exceeds(r.Fallback(), r); len(list) > 0 {
				t.Fatalf("the floor of %s is looser: %v", name, list)
			}
			if list := Exceeds(r.DenyAll(), r); len(list) > 0 {
				t.Fatalf("nothing is looser than %s: %v", name, list)
			}
		}
		if floors, of := Intersect(a.Fallback(), b.Fallback()), m; len(Exceeds(floors, of)) > 0 {
			t.Fatalf("both floors allow what both versions do not: %v", Exceeds(floors, of))
		}
		if len(Exceeds(a, b)) == 0 && len(Exceeds(b, c)) == 0 && len(Exceeds(a, c)) > 0 {
			t.Fatalf("a is within b and b within c, and a not within c: %v", Exceeds(a, c))
		}
		if !slices.Equal(Conflicts(a, b), Conflicts(b, a)) || len(Conflicts(a, a)) > 0 {
			t.Fatal("what contradicts depends on who asks")
		}
		for range 40 {
			x := act{plan: rapid.SampledFrom([]string{"gold", "silver", "iron"}).Draw(t, "p"), product: rapid.SampledFrom([]string{"read", "write"}).Draw(t, "q"),
				node: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "n"), shard: rapid.IntRange(0, 1).Draw(t, "s"),
				rate: rapid.SampledFrom([]float64{0.5, 1.5, 5, 20}).Draw(t, "r"), again: rapid.Bool().Draw(t, "again"), zone: rapid.Bool().Draw(t, "z"),
				same: rapid.Bool().Draw(t, "same"), born: rapid.SampledFrom([]int64{0, 5, 9}).Draw(t, "b"), number: rapid.IntRange(0, 2).Draw(t, "k")}
			if m.may(x) && !(a.may(x) && b.may(x)) {
				t.Fatalf("the meet allows %+v, which one does not", x)
			}
			if a.may(x) && !b.may(x) && len(Exceeds(a, b)) == 0 && a.Shards == b.Shards {
				t.Fatalf("a allows %+v, b does not, and nothing is beyond", x)
			}
		}
		for shard := range 2 {
			if p, q := a.ShardOwner(shard), b.ShardOwner(shard); p != q && m.ShardOwner(shard) != "" {
				t.Fatalf("shard %d is served by %q, of %q and %q", shard, m.ShardOwner(shard), p, q)
			}
		}
	})
}

func TestReading(t *testing.T) {
	sameSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		r := some(t)
		back, err := Parse(r.Canonical())
		if err != nil || !reflect.DeepEqual(back, r) || back.Digest() != r.Digest() {
			t.Fatalf("%v: %s", err, r.Canonical())
		}
		v := &Version{Number: 3, Digest: r.Digest(), Content: r.Canonical()}
		if _, err := v.Config(); err != nil {
			t.Fatal(err)
		}
		other := some(t)
		if other.Digest() != r.Digest() {
			if _, err := (&Version{Digest: other.Digest(), Content: r.Canonical()}).Config(); err == nil {
				t.Fatal("rules under another digest were opened")
			}
			if len(Diff(r, other)) == 0 {
				t.Fatal("other rules, and no difference")
			}
		} else if len(Diff(r, other)) > 0 {
			t.Fatal("the same rules, and a difference")
		}
	})
}

func TestRefusedRules(t *testing.T) {
	good := func() *Config {
		return &Config{RequiredFormat: 1, Shards: 2, MeanRequestUnits: 1, ServiceLevels: map[string]ServiceLevel{"gold": {Weight: 1}}, RequestClasses: map[string]RequestClass{"read": {Idempotency: Idempotent, LatencyObjective: 1,
			ClientTimeout: 2}}, Nodes: map[string]Node{"a": {}, "b": {Shard: 1}}, Dispatch: DispatchPolicy{MaxAttempts: 3}}
	}
	if err := good().Validate(); err != nil {
		t.Fatal(err)
	}
	for word, spoil := range map[string]func(*Config){
		"both ready": func(r *Config) { r.Nodes["b"] = Node{} },
		"no shard":   func(r *Config) { r.Nodes["b"] = Node{Shard: 2} },
		"no kind": func(r *Config) {
			r.RequestClasses["read"] = RequestClass{Idempotency: "sometimes", LatencyObjective: 1, ClientTimeout: 2}
		},
		"patience": func(r *Config) {
			r.RequestClasses["read"] = RequestClass{Idempotency: Idempotent, LatencyObjective: 3, ClientTimeout: 2}
		},
		"no plan":      func(r *Config) { r.ServiceLevels = nil },
		"no amount":    func(r *Config) { r.ServiceLevels["gold"] = ServiceLevel{Weight: 1, RateLimit: -1} },
		"not above 0":  func(r *Config) { r.ServiceLevels["gold"] = ServiceLevel{} },
		"at least 1":   func(r *Config) { r.Shards = 0 },
		"of the limit": func(r *Config) { r.FallbackPolicy.LimitFraction = 1.5 },
	} {
		r := good()
		spoil(r)
		if err := r.Validate(); err == nil || !strings.Contains(err.Error(), word) {
			t.Errorf("%s: %v", word, err)
		}
	}
	var newer *UnsupportedFormatError
	if _, err := Parse([]byte(`{"needs": 2, "moons": 4}`)); !errors.As(err, &newer) || newer.RequiredFormat != 2 {
		t.Errorf("rules for a newer program: %v", err)
	}
	if _, err := Parse([]byte(`{"needs": 1, "moons": 4}`)); err == nil || !strings.Contains(err.Error(), "moons") {
		t.Errorf("a part that is not known: %v", err)
	}
}

// What rules are in the module's form says the same again, whatever a gateway's own values were.
func TestTermsSayTheSame(t *testing.T) {
	sameSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		r, other := some(t), some(t)
		micro := func(list ...*int64) {
			for _, ns := range list {
				*ns *= 1000
			}
		}
		micro(&r.SlowStart.Duration, &r.SlowStart.Window, &r.RetryBudget.Window, &r.Dispatch.MaxRetryAfter, &r.Dispatch.KeyCooldown)
		for name, p := range r.RequestClasses {
			micro(&p.LatencyObjective, &p.ClientTimeout, &p.DedupWindow)
			r.RequestClasses[name] = p
		}
		terms := r.Settings(other.Settings(map[string]string{"gateways": "7", "plans.9.name": "old"}))
		if terms["gateways"] != "7" || terms["plans.9.name"] != "" {
			t.Fatalf("%v", terms)
		}
		again := &Config{RequiredFormat: r.RequiredFormat, Shards: r.Shards, MeanRequestUnits: r.MeanRequestUnits, FallbackPolicy: r.FallbackPolicy, Nodes: r.Nodes}
		again.SetFromSettings(terms)
		if again.Digest() != r.Digest() {
			t.Fatalf("%s\n%s", r.Canonical(), again.Canonical())
		}
	})
	for name, v := range (&Config{Shards: 1}).DenyAll().Settings(nil) {
		if strings.HasPrefix(v, "-") || strings.Contains(v, "Inf") {
			t.Errorf("%s is %s", name, v)
		}
	}
}

// A version whose bytes are others than its digest names is not opened, canonical or not.
func TestOpenChecksTheBytes(t *testing.T) {
	b := sized(3)
	v := &Version{Number: 1, Digest: DigestOf(b), Content: b}
	if _, err := v.Config(); err != nil {
		t.Fatal(err)
	}
	for name, o := range map[string]*Version{"spoilt": {Digest: v.Digest, Content: bytes.Replace(b, []byte("7000"), []byte("7001"), 1)}, "another writing": {Digest: v.Digest, Content: append([]byte(" "), b...)},
		"head alone": v.Header()} {
		if _, err := o.Config(); err == nil || !strings.Contains(err.Error(), "have the digest") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// sized is the canonical form with so many nodes.
func sized(nodes int) []byte {
	r := &Config{RequiredFormat: 1, Shards: nodes, MeanRequestUnits: 1, ServiceLevels: map[string]ServiceLevel{"gold": {Weight: 1}}, Dispatch: DispatchPolicy{MaxAttempts: 1}, Nodes: map[string]Node{}}
	for i := range nodes {
		r.Nodes[fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)] = Node{Name: fmt.Sprintf("node-%d", i), Zone: fmt.Sprint("z", i%7), Shard: i, StartedAt: 1764650723000000000 + int64(i)}
	}
	return r.Canonical()
}

func BenchmarkOpen(b *testing.B) {
	rules := sized(1800)
	digest := DigestOf(rules)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := (&Version{Digest: digest, Content: rules}).Config(); err != nil {
			b.Fatal(err)
		}
	}
}
