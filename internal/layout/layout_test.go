package layout

import (
	"errors"
	"flag"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		in, out string
		err     error
	}{
		{"/", "/", nil}, {"", "/", nil}, {".", "/", nil}, {"/v", "/v", nil}, {"v/a//b/./c/", "/v/a/b/c", nil},
		{"/v/a/../b", "/v/b", nil}, {"/v/..", "", ErrClimbs}, {"/v/../w/x", "", ErrClimbs}, {"/v/a/../../w", "", ErrClimbs},
		{"..", "", ErrClimbs}, {"/v/a\x00b", "", ErrInvalid}, {"/v/" + strings.Repeat("x", 256), "", ErrInvalid},
		{"/v/" + strings.Repeat("x/", 2100), "", ErrLong},
	} {
		p, err := Parse(c.in)
		if !errors.Is(err, c.err) || err == nil && p.String() != c.out {
			t.Errorf("%.40q is %q, %v", c.in, p.String(), err)
		}
	}
}

func records(t *rapid.T) *Record {
	r := &Record{Version: rapid.Uint64Min(1).Draw(t, "version"), Kind: Kind(rapid.IntRange(0, 1).Draw(t, "kind")),
		State: State(rapid.IntRange(0, 3).Draw(t, "state")), Mode: rapid.Uint32().Draw(t, "mode"), Size: rapid.Uint64().Draw(t, "size"),
		Modified: rapid.Int64().Draw(t, "at"), Extent: rapid.Uint32().Draw(t, "extent"), Expected: rapid.Uint64().Draw(t, "expected"),
		Mark: rapid.String().Draw(t, "mark"), Target: rapid.String().Draw(t, "target"), Origin: rapid.String().Draw(t, "origin")}
	for range rapid.IntRange(0, 5).Draw(t, "extents") {
		r.Extents = append(r.Extents, Extent{rapid.IntRange(0, 1<<30).Draw(t, "shard"), rapid.String().Draw(t, "object")})
	}
	return r
}

// A record comes back as it was; one with any byte changed, or cut anywhere, is refused.
func TestRecordsComeBackWholeOrNotAtAll(t *testing.T) {
	sameSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		r := records(t)
		b := r.Encode()
		if got, err := Decode(b, r.Version); err != nil || !reflect.DeepEqual(got, r) {
			t.Fatalf("%+v comes back as %+v, %v", r, got, err)
		}
		if _, err := Decode(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")], 1); err == nil {
			t.Fatal("a record that was cut is read")
		}
		b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		if _, err := Decode(b, 1); err == nil {
			t.Fatal("a record with a byte changed is read")
		}
	})
}

// Pieces cover each byte once, in order, and none crosses an extent's edge.
func TestPieces(t *testing.T) {
	sameSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		offset, length := rapid.Uint64Range(0, 1<<40).Draw(t, "offset"), rapid.IntRange(0, 1<<20).Draw(t, "length")
		extent := rapid.Uint32Range(4096, 1<<20).Draw(t, "extent")
		at := 0
		for _, p := range Pieces(offset, length, extent) {
			if p.From != at || p.Length <= 0 || uint64(p.Index)*uint64(extent)+p.Offset != offset+uint64(at) ||
				p.Offset+uint64(p.Length) > uint64(extent) {
				t.Fatalf("piece %+v at %d", p, at)
			}
			at += p.Length
		}
		if at != length {
			t.Fatalf("%d of %d bytes", at, length)
		}
	})
}

// When shards are added, a record moves to a new one or stays; each shard holds its part.
func TestHomesMoveOnlyToNewShards(t *testing.T) {
	count := make([]int, 8)
	for i := range 8000 {
		p := Path{"v", strings.Repeat("x", i%7) + string(rune('a'+i%26)) + strings.Repeat("y", i/26%99) + string(rune('a'+i/2574))}
		a, b := p.Home(7), p.Home(8)
		if a != b && b != 7 {
			t.Fatalf("%s moves from shard %d to %d", p, a, b)
		}
		count[b]++
	}
	for shard, n := range count {
		if n < 500 {
			t.Errorf("shard %d holds %d of 8000", shard, n)
		}
	}
}

// What loses in a merge is what is no longer referenced, and nothing else.
func TestMerge(t *testing.T) {
	r := &Record{Size: 10, Extents: []Extent{{0, "a"}, {}, {1, "c"}}}
	lost := r.Merge(map[int]Extent{0: {2, "x"}, 3: {0, "z"}}, 400)
	if !reflect.DeepEqual(lost, []Extent{{0, "a"}}) || r.Size != 400 ||
		!reflect.DeepEqual(r.Extents, []Extent{{2, "x"}, {}, {1, "c"}, {0, "z"}}) {
		t.Errorf("lost %v, record %+v", lost, r)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add((&Record{Mark: "m", Extents: []Extent{{1, "o"}}}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Decode(b, 1); err == nil && string(r.Encode()) != string(b) {
			t.Errorf("%x is read and written otherwise", b)
		}
	})
}

// sameSeeds has the checks draw the same each time.
func sameSeeds(t *testing.T) {
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.seed", "7"); err != nil {
		t.Fatal(err)
	}
}
