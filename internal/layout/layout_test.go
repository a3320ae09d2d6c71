package layout

import (
	"errors"
	"flag"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestParseCleansAndBoundsPaths(t *testing.T) {
	for _, c := range []struct {
		in, out string
		err     error
	}{
		{"/", "/", nil},
		{"", "/", nil},
		{".", "/", nil},
		{"/v", "/v", nil},
		{"v/a//b/./c/", "/v/a/b/c", nil},
		{"/v/a/../b", "/v/b", nil},
		{"/v/..", "", ErrOutsideVolume},
		{"/v/../w/x", "", ErrOutsideVolume},
		{"/v/a/../../w", "", ErrOutsideVolume},
		{"..", "", ErrOutsideVolume},
		{"/v/a\x00b", "", ErrInvalidName},
		{"/v/" + strings.Repeat("x", 256), "", ErrInvalidName},
		{"/v/" + strings.Repeat("x/", 2100), "", ErrTooLong},
	} {
		p, err := Parse(c.in)
		if !errors.Is(err, c.err) || err == nil && p.String() != c.out {
			t.Errorf("path %.40q: got %q and error %v, want the path or error of the case", c.in, p.String(), err)
		}
	}
}

func drawRecord(t *rapid.T) *Record {
	r := &Record{
		Version:     rapid.Uint64Min(1).Draw(t, "version"),
		Kind:        Kind(rapid.IntRange(0, 1).Draw(t, "kind")),
		State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
		Mode:        rapid.Uint32().Draw(t, "mode"),
		Size:        rapid.Uint64().Draw(t, "size"),
		Modified:    rapid.Int64().Draw(t, "modified"),
		ExtentSize:  rapid.Uint32().Draw(t, "extent size"),
		PeerVersion: rapid.Uint64().Draw(t, "peer version"),
		ChangeID:    rapid.String().Draw(t, "change ID"),
		MovePeer:    rapid.String().Draw(t, "move peer"),
		LastMoveID:  rapid.String().Draw(t, "last move ID"),
	}
	for range rapid.IntRange(0, 5).Draw(t, "extents") {
		r.Extents = append(r.Extents, Extent{rapid.IntRange(0, 1<<30).Draw(t, "shard"), rapid.String().Draw(t, "object")})
	}
	return r
}

// Decode returns the record that was encoded. It rejects an encoded record with a changed byte, or truncated
// anywhere.
func TestDecodeReturnsTheRecordOrFails(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		r := drawRecord(t)
		b := r.Encode()
		if got, err := Decode(b, r.Version); err != nil || !reflect.DeepEqual(got, r) {
			t.Fatalf("decoded record: got %+v, %v, want %+v", got, err, r)
		}
		if _, err := Decode(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")], 1); err == nil {
			t.Fatal("a truncated record was accepted, want an error")
		}
		b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		if _, err := Decode(b, 1); err == nil {
			t.Fatal("a record with a changed byte was accepted, want an error")
		}
	})
}

// The pieces cover each byte exactly once and in order, and no piece crosses the boundary of an extent.
func TestSplitByExtentCoversEachByteOnce(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		offset, length := rapid.Uint64Range(0, 1<<40).Draw(t, "offset"), rapid.IntRange(0, 1<<20).Draw(t, "length")
		extent := rapid.Uint32Range(4096, 1<<20).Draw(t, "extent")
		covered := 0
		for _, p := range SplitByExtent(offset, length, extent) {
			if p.DataOffset != covered || p.Length <= 0 ||
				uint64(p.ExtentIndex)*uint64(extent)+p.ExtentOffset != offset+uint64(covered) ||
				p.ExtentOffset+uint64(p.Length) > uint64(extent) {
				t.Fatalf("got piece %+v, want one at byte %d of the data that lies within one extent", p, covered)
			}
			covered += p.Length
		}
		if covered != length {
			t.Fatalf("the pieces cover %d bytes, want %d", covered, length)
		}
	})
}

// When a shard is added, a record either stays or moves to the new shard, and every shard gets its share of the
// records.
func TestHomeShardMovesOnlyToNewShards(t *testing.T) {
	recordsByShard := make([]int, 8)
	for i := range 8000 {
		name := strings.Repeat("x", i%7) + string(rune('a'+i%26)) + strings.Repeat("y", i/26%99) + string(rune('a'+i/2574))
		p := Path{Volume: "v", Rel: name}
		a, b := p.HomeShard(7), p.HomeShard(8)
		if a != b && b != 7 {
			t.Fatalf("%s moves from shard %d to %d, want it to stay or to move to shard 7", p, a, b)
		}
		recordsByShard[b]++
	}
	for shard, n := range recordsByShard {
		if n < 500 {
			t.Errorf("shard %d holds %d of 8000 records, want at least 500", shard, n)
		}
	}
}

// Merge returns the extents that are no longer referenced, and nothing else.
func TestMergeReturnsReplacedExtents(t *testing.T) {
	r := &Record{Size: 10, Extents: []Extent{{0, "a"}, {}, {1, "c"}}}
	replaced := r.Merge(map[int]Extent{0: {2, "x"}, 3: {0, "z"}}, 400)
	if !reflect.DeepEqual(replaced, []Extent{{0, "a"}}) || r.Size != 400 ||
		!reflect.DeepEqual(r.Extents, []Extent{{2, "x"}, {}, {1, "c"}, {0, "z"}}) {
		t.Errorf("got replaced extents %v and record %+v, want [{0 a}] and the merged extents with size 400", replaced, r)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add((&Record{ChangeID: "m", Extents: []Extent{{1, "o"}}}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Decode(b, 1); err == nil && string(r.Encode()) != string(b) {
			t.Errorf("%x was decoded, but encodes to other bytes, want the same", b)
		}
	})
}

// fixSeed makes rapid draw the same values in every run and write no failure files.
func fixSeed(t *testing.T) {
	t.Helper()
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.seed", "7"); err != nil {
		t.Fatal(err)
	}
}
