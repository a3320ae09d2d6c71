package configversion

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestIntersectAndExceedsObeyTheLawsOfAnOrder(t *testing.T) {
	useFixedSeed(t)
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
				t.Fatalf("the intersection serves shard %d by %q, but the sides by %q and %q", shard, owner, ownerA, ownerB)
			}
		}
	})
}

func checkIntersectionLaws(t *rapid.T, a, b, c *Config) {
	both := Intersect(a, b)
	checkEqual := func(law string, x, y *Config) {
		if x.Digest() != y.Digest() {
			t.Fatalf("not %s: got\n%s\nwant\n%s", law, x.Canonical(), y.Canonical())
		}
	}
	checkEqual("commutative", both, Intersect(b, a))
	checkEqual("idempotent", Intersect(both, both), both)
	checkEqual("associative", Intersect(both, c), Intersect(a, Intersect(b, c)))
	checkEqual("absorptive", Intersect(both, a), both)
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
		t.Fatalf("the intersection of the fallbacks exceeds the intersection of the configurations: %v", list)
	}
}

func checkExceedsLaws(t *rapid.T, a, b, c *Config) {
	if len(Exceeds(a, b)) == 0 && len(Exceeds(b, c)) == 0 && len(Exceeds(a, c)) > 0 {
		t.Fatalf("a does not exceed b and b does not exceed c, but a exceeds c: %v", Exceeds(a, c))
	}
	if !slices.Equal(Conflicts(a, b), Conflicts(b, a)) {
		t.Fatalf("Conflicts is not symmetric: %v and %v", Conflicts(a, b), Conflicts(b, a))
	}
	if list := Conflicts(a, a); len(list) > 0 {
		t.Fatalf("a configuration conflicts with itself: %v", list)
	}
}

// checkAttempt compares Intersect and Exceeds with what the configurations allow for one attempt.
func checkAttempt(t *rapid.T, a, b *Config, x attempt) {
	inBoth := a.allows(x) && b.allows(x)
	if Intersect(a, b).allows(x) && !inBoth {
		t.Fatalf("the intersection allows %+v, which one side forbids", x)
	}
	if a.allows(x) && !b.allows(x) && len(Exceeds(a, b)) == 0 && a.Shards == b.Shards {
		t.Fatalf("a allows %+v and b forbids it, but Exceeds(a, b) is empty", x)
	}
}
