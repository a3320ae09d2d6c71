package snapshot

import (
	"bytes"
	"math"
	"testing"
)

type leaf struct {
	name string
	next *leaf
}

type tree struct {
	on     bool
	small  int8
	big    uint64
	share  float64
	words  map[string]string
	leaves []*leaf
	byLeaf map[*leaf][]int
	none   map[int]int
	empty  []int
	nested struct{ at [2]int64 }
	me     *tree
}

func sample() *tree {
	a, b := &leaf{name: "a"}, &leaf{name: "b"}
	a.next, b.next = b, a
	t := &tree{on: true, small: -7, big: math.MaxUint64, share: math.Inf(1), words: map[string]string{"x": "y", "": "z"},
		leaves: []*leaf{a, b, a, nil}, byLeaf: map[*leaf][]int{a: {1, 2}, b: nil}, empty: []int{}}
	t.nested.at = [2]int64{-1, math.MinInt64}
	t.me = t
	return t
}

func TestGraphsComeBack(t *testing.T) {
	b, err := Take(sample(), nil)
	if err != nil {
		t.Fatal(err)
	}
	g, err := Restore[tree](b, nil)
	if err != nil {
		t.Fatal(err)
	}
	x, y := g.leaves[0], g.leaves[1]
	if !g.on || g.small != -7 || g.big != math.MaxUint64 || !math.IsInf(g.share, 1) || g.words["x"] != "y" || g.words[""] != "z" ||
		len(g.words) != 2 || x.name != "a" || x.next != y || y.next != x || g.leaves[2] != x || g.leaves[3] != nil ||
		len(g.byLeaf[x]) != 2 || len(g.byLeaf) != 2 || g.none != nil || g.empty == nil || g.nested.at[1] != math.MinInt64 || g.me != g {
		t.Errorf("%+v", g)
	}
	for i := range b {
		bad := bytes.Clone(b)
		bad[i] ^= 4
		if _, err := Restore[tree](bad, nil); err == nil {
			t.Fatalf("byte %d flipped is believed", i)
		}
		if _, err := Restore[tree](b[:i], nil); err == nil {
			t.Fatalf("a snapshot cut at %d is believed", i)
		}
	}
	if _, err := Restore[leaf](b, nil); err == nil {
		t.Error("a snapshot of another type is read")
	}
	if _, err := Take(&struct{ f func() }{}, nil); err == nil {
		t.Error("a function is taken")
	}
}
