package configversion

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestIntersectAndExceedsObeyTheLawsOfAnOrder(t *testing.T) {
	drawTheSame(t)
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawConfig(t), drawConfig(t), drawConfig(t)
		checkIntersectionLaws(t, a, b, c)
		checkExceedsLaws(t, a, b, c)
		for range 40 {
			checkAttempt(t, a, b, drawAttempt(t))
		}
		both := Intersect(a, b)
		for shard := range 2 {
			ownerA, ownerB, owner := a.ShardOwner(shard), b.ShardOwner(shard), both.ShardOwner(shard)
			if ownerA != ownerB && owner != "" {
				t.Fatalf("shard %d is served by %q, of %q and %q", shard, owner, ownerA, ownerB)
			}
		}
	})
}

func checkIntersectionLaws(t *rapid.T, a, b, c *Config) {
	both := Intersect(a, b)
	checkEqual := func(law string, x, y *Config) {
		if x.Digest() != y.Digest() {
			t.Fatalf("%s:\n%s\n%s", law, x.Canonical(), y.Canonical())
		}
	}
	checkEqual("commutative", both, Intersect(b, a))
	checkEqual("idempotent", Intersect(both, both), both)
	checkEqual("associative", Intersect(both, c), Intersect(a, Intersect(b, c)))
	checkEqual("absorbs what it is made of", Intersect(both, a), both)
	for name, config := range map[string]*Config{"a": a, "b": b} {
		for what, within := range map[string]*Config{
			"intersection":  both,
			"fallback":      config.Fallback(),
			"denial of all": config.DenyAll(),
		} {
			if list := Exceeds(within, config); len(list) > 0 {
				t.Fatalf("the %s exceeds %s: %v", what, name, list)
			}
		}
	}
	if list := Exceeds(Intersect(a.Fallback(), b.Fallback()), both); len(list) > 0 {
		t.Fatalf("both fallbacks allow what not both versions do: %v", list)
	}
}

func checkExceedsLaws(t *rapid.T, a, b, c *Config) {
	if len(Exceeds(a, b)) == 0 && len(Exceeds(b, c)) == 0 && len(Exceeds(a, c)) > 0 {
		t.Fatalf("a does not exceed b, nor b c, but a exceeds c: %v", Exceeds(a, c))
	}
	if !slices.Equal(Conflicts(a, b), Conflicts(b, a)) {
		t.Fatalf("conflicts differ by side: %v and %v", Conflicts(a, b), Conflicts(b, a))
	}
	if list := Conflicts(a, a); len(list) > 0 {
		t.Fatalf("a conflicts with itself: %v", list)
	}
}

// checkAttempt compares what is allowed with the result of Intersect and Exceeds.
func checkAttempt(t *rapid.T, a, b *Config, x attempt) {
	inBoth := a.allows(x) && b.allows(x)
	if Intersect(a, b).allows(x) && !inBoth {
		t.Fatalf("the intersection allows %+v, which one side does not", x)
	}
	if a.allows(x) && !b.allows(x) && len(Exceeds(a, b)) == 0 && a.Shards == b.Shards {
		t.Fatalf("a allows %+v and b does not, and a does not exceed b", x)
	}
}
