package delta

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"
	"pgregory.net/rapid"
)

const most = 1 << 22

// text is a content of so many lines, of which one is changed.
func text(lines, changed int) []byte {
	chance := rand.New(rand.NewPCG(7, 1))
	var b strings.Builder
	for i := range lines {
		zone := chance.IntN(7)
		if i == changed {
			zone = 99
		}
		fmt.Fprintf(&b, `"10.%d.%d.%d:7000":{"zone":"z%d","born":%d},`, chance.IntN(255), chance.IntN(255), chance.IntN(255), zone, chance.Int64())
	}
	return []byte(b.String())
}

// Whatever the base and the content, what comes out is the content; from any other base, cut off, with a bit spoilt, doubled or with
// something behind it comes an error or, of a spoilt one, at most so much.
func TestAnyContentFromAnyBase(t *testing.T) {
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.seed", "7") // the same each time
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.OneOf(rapid.SliceOfN(rapid.Byte(), 0, 40), rapid.Custom(func(t *rapid.T) []byte {
			return bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "unit"), rapid.IntRange(0, 4000).Draw(t, "times"))
		}))
		pieces := rapid.SliceOfN(piece, 0, 8)
		base := slices.Concat(pieces.Draw(t, "base")...)
		content := slices.Concat(pieces.Draw(t, "content")...)
		if rapid.Bool().Draw(t, "alike") {
			at := rapid.IntRange(0, len(base)).Draw(t, "at")
			content = slices.Concat(base[:at], piece.Draw(t, "new"), base[at:])
		}
		coded, err := Encode(base, content)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(base, coded, len(content))
		if err != nil || !bytes.Equal(got, content) {
			t.Fatalf("%d bytes of %d: %v", len(got), len(content), err)
		}
		cut := rapid.IntRange(0, len(coded)-1).Draw(t, "cut")
		if _, err := Decode(base, coded[:cut], most); err == nil {
			t.Fatalf("cut off after %d of %d", cut, len(coded))
		}
		if _, err := Decode(base, slices.Concat(coded, coded), most); !errors.Is(err, ErrTrailingData) {
			t.Fatalf("doubled: %v", err)
		}
		if other := append([]byte{1}, base...); len(base) > 0 {
			if _, err := Decode(other, coded, most); !errors.Is(err, ErrWrongBase) {
				t.Fatalf("another base: %v", err)
			}
			if _, err := Decode(nil, coded, most); !errors.Is(err, ErrWrongBase) {
				t.Fatalf("no base: %v", err)
			}
		}
		spoilt := bytes.Clone(coded)
		spoilt[rapid.IntRange(0, len(coded)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, err := Decode(base, spoilt, most); err == nil && len(got) > most {
			t.Fatalf("%d bytes of a spoilt one", len(got))
		}
	})
}

func TestWhatIsWrongIsSaid(t *testing.T) {
	base, content := text(500, -1), text(500, 250)
	delta, _ := Encode(base, content)
	whole, _ := Encode(nil, content)
	endless := []byte{0x28, 0xb5, 0x2f, 0xfd, 0, 0x58} // no size said, a window of 2 MiB
	for range 20_000 {                                 // 128 KiB of one byte each: 2.4 GiB
		endless = append(endless, 0x02, 0x00, 0x10, 'x')
	}
	endless = append(endless, 0x01, 0, 0)
	said, _ := zstd.NewWriter(nil)
	for name, c := range map[string]struct {
		base, coded []byte
		want        error
	}{
		"nothing":              {nil, nil, ErrTruncated},
		"nothing, of a delta":  {base, nil, ErrTruncated},
		"a delta's head alone": {base, delta[:head], ErrTruncated},
		"half a head":          {base, delta[:20], ErrTruncated},
		"half a delta":         {base, delta[:len(delta)-1], ErrTruncated},
		"half a frame":         {nil, whole[:len(whole)/2], ErrTruncated},
		"text":                 {nil, []byte("no keeper leads, ask again later"), ErrFormat},
		"text, of a delta":     {base, []byte("no keeper leads, ask again later, and again, and again"), ErrFormat},
		"whole, of a delta":    {base, whole, ErrFormat},
		"a delta, of a whole":  {nil, delta, ErrWrongBase},
		"from another base":    {content, delta, ErrWrongBase},
		"doubled":              {base, slices.Concat(delta, delta), ErrTrailingData},
		"whole, doubled":       {nil, slices.Concat(whole, whole), ErrTrailingData},
		"more than it says":    {nil, endless, ErrTooLarge},
		"more, and says so":    {nil, said.EncodeAll(make([]byte, 2*most), nil), ErrTooLarge},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := Decode(c.base, c.coded, most)
		runtime.ReadMemStats(&after)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, not %v", name, err, c.want)
		}
		if spent := after.TotalAlloc - before.TotalAlloc; spent > 16*most {
			t.Errorf("%s: %d bytes were allocated", name, spent)
		}
	}
}

// A change of one line costs little, whatever lies around it.
func TestDeltaIsSmall(t *testing.T) {
	for _, lines := range []int{100, 2000, 30_000} {
		base, content := text(lines, -1), text(lines, lines/2)
		coded, err := Encode(base, content)
		if err != nil || len(coded) > head+200+len(content)/1000 {
			t.Errorf("%d lines: a delta of %d bytes, %v", lines, len(coded), err)
		}
		if got, err := Decode(base, coded, len(content)); err != nil || !bytes.Equal(got, content) {
			t.Errorf("%d lines: %d bytes, %v", lines, len(got), err)
		}
		t.Logf("%d bytes: %d", len(content), len(coded))
	}
}

func BenchmarkDelta(b *testing.B) {
	base, content := text(2500, -1), text(2500, 1200)
	coded, _ := Encode(base, content)
	whole, _ := Encode(nil, content)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Encode(base, content)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Decode(base, coded, most)
		}
	})
	b.Run("decode whole", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Decode(nil, whole, most)
		}
	})
}
