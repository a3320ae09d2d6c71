package snapshot

import (
	"bytes"
	"math"
	"testing"
)

type item struct {
	name string
	next *item
}

type graph struct {
	on     bool
	small  int8
	big    uint64
	share  float64
	words  map[string]string
	items  []*item
	byItem map[*item][]int
	none   map[int]int
	empty  []int
	nested struct{ at [2]int64 }
	self   *graph
}

func sample() *graph {
	a, b := &item{name: "a"}, &item{name: "b"}
	a.next, b.next = b, a
	g := &graph{on: true, small: -7, big: math.MaxUint64, share: math.Inf(1), words: map[string]string{"x": "y", "": "z"},
		items: []*item{a, b, a, nil}, byItem: map[*item][]int{a: {1, 2}, b: nil}, empty: []int{}}
	g.nested.at = [2]int64{-1, math.MinInt64}
	g.self = g
	return g
}

func encodedSample(t *testing.T) []byte {
	t.Helper()
	encoded, err := Take(sample(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func TestRestoredGraphIsEqual(t *testing.T) {
	g, err := Restore[graph](encodedSample(t), nil)
	if err != nil {
		t.Fatal(err)
	}
	a, b := g.items[0], g.items[1]
	for property, ok := range map[string]bool{
		"numbers":        g.on && g.small == -7 && g.big == math.MaxUint64 && math.IsInf(g.share, 1),
		"a nested array": g.nested.at == [2]int64{-1, math.MinInt64},
		"texts":          len(g.words) == 2 && g.words["x"] == "y" && g.words[""] == "z",
		"a ring":         a.name == "a" && a.next == b && b.next == a,
		"one object":     g.items[2] == a && g.items[3] == nil && g.self == g,
		"keys":           len(g.byItem) == 2 && len(g.byItem[a]) == 2,
		"nil and empty":  g.none == nil && g.empty != nil,
	} {
		if !ok {
			t.Errorf("%s: not as encoded, got %+v", property, g)
		}
	}
}

func TestDamagedAndOtherSnapshotsAreRejected(t *testing.T) {
	encoded := encodedSample(t)
	for i := range encoded {
		flipped := bytes.Clone(encoded)
		flipped[i] ^= 4
		if _, err := Restore[graph](flipped, nil); err == nil {
			t.Fatalf("a snapshot with byte %d changed was accepted, want an error", i)
		}
		if _, err := Restore[graph](encoded[:i], nil); err == nil {
			t.Fatalf("a snapshot truncated to %d bytes was accepted, want an error", i)
		}
	}
	if _, err := Restore[item](encoded, nil); err == nil {
		t.Error("a snapshot of another type was accepted, want an error")
	}
	if _, err := Take(&struct{ f func() }{}, nil); err == nil {
		t.Error("a function was encoded, want an error")
	}
}
