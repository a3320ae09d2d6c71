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

const maxTestBytes = 1 << 22

// nodeList returns a content with the given number of lines. The line with index changed differs from the default; -1:
// none does.
func nodeList(lines, changed int) []byte {
	random := rand.New(rand.NewPCG(7, 1))
	var b strings.Builder
	for i := range lines {
		zone := random.IntN(7)
		if i == changed {
			zone = 99
		}
		fmt.Fprintf(&b, `"10.%d.%d.%d:7000":{"zone":"z%d","born":%d},`,
			random.IntN(255), random.IntN(255), random.IntN(255), zone, random.Int64())
	}
	return []byte(b.String())
}

// mustEncode calls Encode and fails the test or benchmark on an error.
func mustEncode(tb testing.TB, base, content []byte) []byte {
	tb.Helper()
	encoded, err := Encode(base, content)
	if err != nil {
		tb.Fatal(err)
	}
	return encoded
}

// useFixedSeed makes rapid draw the same values in each run and write no files.
func useFixedSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "7"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

func TestDecodeReturnsAnyContentFromItsBaseOnly(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		base, content := drawBaseAndContent(t)
		encoded, err := Encode(base, content)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(base, encoded, len(content))
		if err != nil || !bytes.Equal(decoded, content) {
			t.Fatalf("decoded %d bytes, want the %d bytes that were encoded; error %v", len(decoded), len(content), err)
		}
		checkDamagedData(t, base, encoded)
		if len(base) == 0 {
			return
		}
		for name, other := range map[string][]byte{"another base": slices.Concat([]byte{1}, base), "no base": nil} {
			if _, err := Decode(other, encoded, maxTestBytes); !errors.Is(err, ErrWrongBase) {
				t.Fatalf("decoded with %s: got error %v, want ErrWrongBase", name, err)
			}
		}
	})
}

// drawBaseAndContent draws a base and a content, which often have much in common.
func drawBaseAndContent(t *rapid.T) (base, content []byte) {
	repeated := rapid.Custom(func(t *rapid.T) []byte {
		unit := rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "unit")
		return bytes.Repeat(unit, rapid.IntRange(0, 4000).Draw(t, "times"))
	})
	piece := rapid.OneOf(rapid.SliceOfN(rapid.Byte(), 0, 40), repeated)
	pieces := rapid.SliceOfN(piece, 0, 8)
	base = slices.Concat(pieces.Draw(t, "base")...)
	content = slices.Concat(pieces.Draw(t, "content")...)
	if rapid.Bool().Draw(t, "alike") {
		at := rapid.IntRange(0, len(base)).Draw(t, "at")
		content = slices.Concat(base[:at], piece.Draw(t, "new"), base[at:])
	}
	return base, content
}

// checkDamagedData checks that truncated and repeated data is rejected. Data with one flipped bit may be decoded to
// anything, but not to more than the allowed size.
func checkDamagedData(t *rapid.T, base, encoded []byte) {
	end := rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")
	if _, err := Decode(base, encoded[:end], maxTestBytes); err == nil {
		t.Fatalf("data truncated to %d of %d bytes was decoded, want an error", end, len(encoded))
	}
	if _, err := Decode(base, slices.Concat(encoded, encoded), maxTestBytes); !errors.Is(err, ErrTrailingData) {
		t.Fatalf("repeated data: got error %v, want ErrTrailingData", err)
	}
	corrupt := bytes.Clone(encoded)
	corrupt[rapid.IntRange(0, len(encoded)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
	if decoded, err := Decode(base, corrupt, maxTestBytes); err == nil && len(decoded) > maxTestBytes {
		t.Fatalf("corrupt data was decoded to %d bytes, over the allowed size", len(decoded))
	}
}

func TestDecodeNamesTheErrorWithoutUnpackingMuch(t *testing.T) {
	base, content := nodeList(500, -1), nodeList(500, 250)
	delta := mustEncode(t, base, content)
	complete := mustEncode(t, nil, content)
	withSize, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		base, encoded []byte
		want          error
	}{
		"nothing":                      {nil, nil, ErrTruncated},
		"nothing of a delta":           {base, nil, ErrTruncated},
		"a delta's header alone":       {base, delta[:headerBytes], ErrTruncated},
		"half a header":                {base, delta[:20], ErrTruncated},
		"half a delta":                 {base, delta[:len(delta)-1], ErrTruncated},
		"half a frame":                 {nil, complete[:len(complete)/2], ErrTruncated},
		"text":                         {nil, []byte("no keeper leads, ask again later"), ErrFormat},
		"text for a delta":             {base, []byte("no keeper leads, ask again later, and again, and again"), ErrFormat},
		"a frame for a delta":          {base, complete, ErrFormat},
		"a delta for a frame":          {nil, delta, ErrWrongBase},
		"a delta from another base":    {content, delta, ErrWrongBase},
		"a delta twice":                {base, slices.Concat(delta, delta), ErrTrailingData},
		"a frame twice":                {nil, slices.Concat(complete, complete), ErrTrailingData},
		"too large, size not declared": {nil, frameOver2GiB(), ErrTooLarge},
		"too large, size declared":     {nil, withSize.EncodeAll(make([]byte, 2*maxTestBytes), nil), ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := Decode(c.base, c.encoded, maxTestBytes)
			runtime.ReadMemStats(&after)
			if !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 16*maxTestBytes {
				t.Errorf("%d bytes were allocated, want at most 16 times the allowed size", allocated)
			}
		})
	}
}

// frameOver2GiB returns a frame without a declared size, of 20,000 blocks that each repeat one byte for 128 KiB.
func frameOver2GiB() []byte {
	frame := []byte{0x28, 0xb5, 0x2f, 0xfd, 0, 0x58} // magic number and header, with a window of 2 MiB
	for range 20_000 {
		frame = append(frame, 0x02, 0x00, 0x10, 'x')
	}
	return append(frame, 0x01, 0, 0)
}

func TestDeltaOfOneChangedLineIsSmall(t *testing.T) {
	for _, lines := range []int{100, 2000, 30_000} {
		base, content := nodeList(lines, -1), nodeList(lines, lines/2)
		encoded := mustEncode(t, base, content)
		if len(encoded) > headerBytes+200+len(content)/1000 {
			t.Errorf("%d lines: the delta takes %d bytes, over the limit", lines, len(encoded))
		}
		if decoded, err := Decode(base, encoded, len(content)); err != nil || !bytes.Equal(decoded, content) {
			t.Errorf("%d lines: decoded %d bytes, want those that were encoded; error %v", lines, len(decoded), err)
		}
		t.Logf("content of %d bytes: delta of %d bytes", len(content), len(encoded))
	}
}

func BenchmarkDelta(b *testing.B) {
	base, content := nodeList(2500, -1), nodeList(2500, 1200)
	delta := mustEncode(b, base, content)
	complete := mustEncode(b, nil, content)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			mustEncode(b, base, content)
		}
	})
	for _, c := range []struct {
		name          string
		base, encoded []byte
	}{{"decode", base, delta}, {"decode whole", nil, complete}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(c.base, c.encoded, maxTestBytes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
