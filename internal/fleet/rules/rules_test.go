package rules

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

	"irispost/internal/listing"
)

// sameSeeds has checks draw the same each time.
func sameSeeds(t *testing.T) {
	flag.Set("rapid.nofailfile", "true")
	if err := flag.Set("rapid.seed", "7"); err != nil {
		t.Fatal(err)
	}
}

// some draws rules of few values, so that two of them often agree on some and differ on others.
func some(t *rapid.T) *Rules {
	amount := func(name string) float64 { return rapid.SampledFrom([]float64{0, 1, 2, 10}).Draw(t, name) }
	span := func(name string) int64 { return rapid.SampledFrom([]int64{0, 5, 9}).Draw(t, name) }
	yes := func(name string) bool { return rapid.Bool().Draw(t, name) }
	r := &Rules{Needs: 1, Shards: rapid.SampledFrom([]int{2, 2, 2, 3}).Draw(t, "shards"), Mean: amount("mean"), Plans: map[string]Plan{},
		Products: map[string]Product{}, Nodes: map[string]Node{},
		Cold:    Cold{From: amount("from"), Time: span("time"), Multiple: amount("multiple"), Window: span("window"), Units: amount("units")},
		Further: Further{Window: span("window"), Free: amount("free"), Share: amount("share")},
		Sending: Sending{Most: rapid.IntRange(1, 3).Draw(t, "most"), SecondCopies: yes("copies"), CallingOff: yes("off"),
			Advice: yes("advice"), AdviceMost: span("advice"), KeyRest: span("rest")},
		Floor: Floor{For: span("for"), Limits: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "part"), Writes: yes("writes")}}
	r.Plans["gold"] = Plan{Weight: 1, Limit: amount("limit"), Burst: amount("burst"), Slack: amount("slack")}
	for _, name := range []string{"silver", "iron"} {
		if yes(name) {
			r.Plans[name] = Plan{Weight: 2, Rate: amount("rate"), Reserve: amount("reserve"), Limit: amount("limit"), Burst: amount("burst")}
		}
	}
	for _, name := range []string{"read", "write"} {
		if rapid.IntRange(0, 4).Draw(t, name) > 0 {
			r.Products[name] = Product{Kind: rapid.SampledFrom([]Kind{Anywhere, AtAll, AtZone, AtShard, Once}).Draw(t, "kind"), Goal: 1 + span("goal"),
				Patience: 20, Window: span("window"), InTurn: yes("turn")}
		}
	}
	owned := map[int]bool{}
	for _, addr := range []string{"a", "b", "c", "d"} {
		if yes(addr) {
			n := Node{Shard: rapid.IntRange(0, 1).Draw(t, "shard"), Born: span("born"), Zone: rapid.SampledFrom([]string{"", "z"}).Draw(t, "zone"),
				Standing: rapid.SampledFrom([]listing.Standing{0, 0, 0, listing.Draining, listing.Gone, listing.Unwell}).Draw(t, "standing")}
			if owned[n.Shard] && n.Standing == listing.Ready {
				n.Standing = listing.Draining
			}
			owned[n.Shard] = owned[n.Shard] || n.Standing == listing.Ready
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

func (r *Rules) may(a act) bool {
	p, plan := r.Plans[a.plan]
	q, product := r.Products[a.product]
	n, node := r.Nodes[a.node]
	if !plan || !product || !node || n.Standing != listing.Ready || n.Shard != a.shard || n.Born > a.born {
		return false
	}
	if p.Limit > 0 && a.rate > p.Limit || a.number >= r.Sending.Most {
		return false
	}
	if a.again && (q.Kind == Once || q.Kind == AtZone && !a.zone || q.Kind == AtShard && !a.same) {
		return false
	}
	return true
}

func TestLawsOfTheMeet(t *testing.T) {
	sameSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := some(t), some(t), some(t)
		m := Meet(a, b)
		same := func(law string, x, y *Rules) {
			if x.Digest() != y.Digest() {
				t.Fatalf("%s:\n%s\n%s", law, x.Canonical(), y.Canonical())
			}
		}
		same("commutative", m, Meet(b, a))
		same("idempotent", Meet(m, m), m)
		same("associative", Meet(m, c), Meet(a, Meet(b, c)))
		same("absorbs what it is made of", Meet(m, a), m)
		for name, r := range map[string]*Rules{"a": a, "b": b} {
			if list := Beyond(m, r); len(list) > 0 {
				t.Fatalf("the meet is looser than %s: %v", name, list)
			}
			if list := Beyond(r.Lapsed(), r); len(list) > 0 {
				t.Fatalf("the floor of %s is looser: %v", name, list)
			}
			if list := Beyond(r.Nothing(), r); len(list) > 0 {
				t.Fatalf("nothing is looser than %s: %v", name, list)
			}
		}
		if floors, of := Meet(a.Lapsed(), b.Lapsed()), m; len(Beyond(floors, of)) > 0 {
			t.Fatalf("both floors allow what both versions do not: %v", Beyond(floors, of))
		}
		if len(Beyond(a, b)) == 0 && len(Beyond(b, c)) == 0 && len(Beyond(a, c)) > 0 {
			t.Fatalf("a is within b and b within c, and a not within c: %v", Beyond(a, c))
		}
		if !slices.Equal(Contradict(a, b), Contradict(b, a)) || len(Contradict(a, a)) > 0 {
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
			if a.may(x) && !b.may(x) && len(Beyond(a, b)) == 0 && a.Shards == b.Shards {
				t.Fatalf("a allows %+v, b does not, and nothing is beyond", x)
			}
		}
		for shard := range 2 {
			if p, q := a.Owner(shard), b.Owner(shard); p != q && m.Owner(shard) != "" {
				t.Fatalf("shard %d is served by %q, of %q and %q", shard, m.Owner(shard), p, q)
			}
		}
	})
}

func TestReading(t *testing.T) {
	sameSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		r := some(t)
		back, err := Read(r.Canonical())
		if err != nil || !reflect.DeepEqual(back, r) || back.Digest() != r.Digest() {
			t.Fatalf("%v: %s", err, r.Canonical())
		}
		v := &Version{Number: 3, Digest: r.Digest(), Rules: r.Canonical()}
		if _, err := v.Open(); err != nil {
			t.Fatal(err)
		}
		other := some(t)
		if other.Digest() != r.Digest() {
			if _, err := (&Version{Digest: other.Digest(), Rules: r.Canonical()}).Open(); err == nil {
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
	good := func() *Rules {
		return &Rules{Needs: 1, Shards: 2, Mean: 1, Plans: map[string]Plan{"gold": {Weight: 1}}, Products: map[string]Product{"read": {Kind: Anywhere, Goal: 1,
			Patience: 2}}, Nodes: map[string]Node{"a": {}, "b": {Shard: 1}}, Sending: Sending{Most: 3}}
	}
	if err := good().Check(); err != nil {
		t.Fatal(err)
	}
	for word, spoil := range map[string]func(*Rules){
		"both ready":   func(r *Rules) { r.Nodes["b"] = Node{} },
		"no shard":     func(r *Rules) { r.Nodes["b"] = Node{Shard: 2} },
		"no kind":      func(r *Rules) { r.Products["read"] = Product{Kind: "sometimes", Goal: 1, Patience: 2} },
		"patience":     func(r *Rules) { r.Products["read"] = Product{Kind: Anywhere, Goal: 3, Patience: 2} },
		"no plan":      func(r *Rules) { r.Plans = nil },
		"no amount":    func(r *Rules) { r.Plans["gold"] = Plan{Weight: 1, Limit: -1} },
		"not above 0":  func(r *Rules) { r.Plans["gold"] = Plan{} },
		"at least 1":   func(r *Rules) { r.Shards = 0 },
		"of the limit": func(r *Rules) { r.Floor.Limits = 1.5 },
	} {
		r := good()
		spoil(r)
		if err := r.Check(); err == nil || !strings.Contains(err.Error(), word) {
			t.Errorf("%s: %v", word, err)
		}
	}
	var newer *NewerError
	if _, err := Read([]byte(`{"needs": 2, "moons": 4}`)); !errors.As(err, &newer) || newer.Needs != 2 {
		t.Errorf("rules for a newer program: %v", err)
	}
	if _, err := Read([]byte(`{"needs": 1, "moons": 4}`)); err == nil || !strings.Contains(err.Error(), "moons") {
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
		micro(&r.Cold.Time, &r.Cold.Window, &r.Further.Window, &r.Sending.AdviceMost, &r.Sending.KeyRest)
		for name, p := range r.Products {
			micro(&p.Goal, &p.Patience, &p.Window)
			r.Products[name] = p
		}
		terms := r.Terms(other.Terms(map[string]string{"gateways": "7", "plans.9.name": "old"}))
		if terms["gateways"] != "7" || terms["plans.9.name"] != "" {
			t.Fatalf("%v", terms)
		}
		again := &Rules{Needs: r.Needs, Shards: r.Shards, Mean: r.Mean, Floor: r.Floor, Nodes: r.Nodes}
		again.Agree(terms)
		if again.Digest() != r.Digest() {
			t.Fatalf("%s\n%s", r.Canonical(), again.Canonical())
		}
	})
	for name, v := range (&Rules{Shards: 1}).Nothing().Terms(nil) {
		if strings.HasPrefix(v, "-") || strings.Contains(v, "Inf") {
			t.Errorf("%s is %s", name, v)
		}
	}
}

// A version whose bytes are others than its digest names is not opened, canonical or not.
func TestOpenChecksTheBytes(t *testing.T) {
	b := sized(3)
	v := &Version{Number: 1, Digest: Sum(b), Rules: b}
	if _, err := v.Open(); err != nil {
		t.Fatal(err)
	}
	for name, o := range map[string]*Version{"spoilt": {Digest: v.Digest, Rules: bytes.Replace(b, []byte("7000"), []byte("7001"), 1)}, "another writing": {Digest: v.Digest, Rules: append([]byte(" "), b...)},
		"head alone": v.Head()} {
		if _, err := o.Open(); err == nil || !strings.Contains(err.Error(), "have the digest") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// sized is the canonical form with so many nodes.
func sized(nodes int) []byte {
	r := &Rules{Needs: 1, Shards: nodes, Mean: 1, Plans: map[string]Plan{"gold": {Weight: 1}}, Sending: Sending{Most: 1}, Nodes: map[string]Node{}}
	for i := range nodes {
		r.Nodes[fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)] = Node{Name: fmt.Sprintf("node-%d", i), Zone: fmt.Sprint("z", i%7), Shard: i, Born: 1764650723000000000 + int64(i)}
	}
	return r.Canonical()
}

func BenchmarkOpen(b *testing.B) {
	rules := sized(1800)
	digest := Sum(rules)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := (&Version{Digest: digest, Rules: rules}).Open(); err != nil {
			b.Fatal(err)
		}
	}
}
