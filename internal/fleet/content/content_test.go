package content

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
	"pgregory.net/rapid"
)

// plain is versions' contents as they are, by number; each differs a little from the one before.
var plain = func() (list [][]byte) {
	chance := rand.New(rand.NewPCG(7, 3))
	lines := make([]string, 60)
	for i := range lines {
		lines[i] = fmt.Sprintf(`"10.0.0.%d:7000":{"born":%d}`, i, chance.Int64())
	}
	for n := range 12 {
		lines[chance.IntN(len(lines))] = fmt.Sprintf(`"10.0.1.%d:7000":{"born":%d}`, n, chance.Int64())
		list = append(list, []byte(strings.Join(lines, ",")))
	}
	return list
}()

var digests = func() (list []string) {
	for _, b := range plain {
		list = append(list, configversion.DigestOf(b))
	}
	return list
}()

// keeper answers as one does that has some of the contents.
type keeper struct {
	shelf *DeltaCache
	has   map[string][]byte
	made  int
}

func (k *keeper) content(digest string) (Content, bool) {
	if c, there := k.shelf.Content(digest); there {
		return c, true
	}
	if b := k.has[digest]; b != nil {
		return k.shelf.AddContent(digest, b), true
	}
	return Content{}, false
}

func (k *keeper) answer(r Request) (coding string, coded []byte, there bool) {
	c, there := k.content(r.Digest)
	if !there {
		return "", nil, false
	}
	base, _ := k.content(r.Base)
	p := k.shelf.KeyFor(r.Digest, r.Base, r.BaseHash())
	coded, there = k.shelf.Encoded(p)
	if !there {
		if p.Base == "" {
			base.Bytes = nil
		}
		coded, _ = delta.Encode(base.Bytes, c.Bytes)
		k.shelf.AddEncoded(p, coded)
		k.made++
	}
	if p.Base == "" {
		return EncodingZstd, coded, true
	}
	return EncodingDelta, coded, true
}

// play draws any order of changes, losses, spoilt and mixed up answers, and starts with what the disk had then, or something else. Whatever
// is held of a version has to be the version, byte for byte; what was fetched without a fault has to come as a delta where a base was there.
func play(t *rapid.T, flaws InjectedFaults) error {
	keepers := []*keeper{}
	for range 2 {
		keepers = append(keepers, &keeper{shelf: NewDeltaCache(), has: map[string][]byte{}})
	}
	hold := NewCache(nil, flaws)
	var spool []byte
	var earlier []struct {
		coding string
		coded  []byte
	}
	inForce, newest := 0, 0
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0, 1: // a change, in force or taken back
			if newest < len(plain)-1 {
				newest++
			}
		case 2:
			inForce = newest
		case 3: // a keeper joins, forgets, or has a later version
			k := keepers[rapid.IntRange(0, 1).Draw(t, "keeper")]
			k.has, k.shelf = map[string][]byte{}, NewDeltaCache()
			for n := rapid.IntRange(0, newest).Draw(t, "from"); n <= newest; n++ {
				k.has[digests[n]] = plain[n]
			}
		case 4: // a start, with what is on the disk: nothing, the last content, an older one, another fleet's
			hold = NewCache(rapid.SampledFrom([][]byte{nil, spool, plain[0], []byte("of another fleet")}).Draw(t, "spool"), flaws)
		default:
			names := []string{digests[inForce]}
			if newest != inForce {
				names = append(names, digests[newest])
			}
			hold.Retain(names...)
			for _, d := range names {
				f := hold.Fetch(d, len(keepers))
				for asked := 0; f.State() == StateInProgress; asked++ {
					if asked > 2*len(keepers) {
						return fmt.Errorf("asked %d times for one content", asked)
					}
					r := f.NextRequest()
					coding, coded, there := keepers[r.Replica].answer(r)
					fault := rapid.IntRange(0, 9).Draw(t, "fault")
					if !there || fault == 0 {
						f.HandleFailure()
						continue
					}
					earlier = append(earlier, struct {
						coding string
						coded  []byte
					}{coding, coded})
					clean := fault > 4
					switch fault {
					case 1: // a bit
						coded = bytes.Clone(coded)
						coded[rapid.IntRange(0, len(coded)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
					case 2:
						coded = coded[:rapid.IntRange(0, len(coded)-1).Draw(t, "cut")]
					case 3:
						coded = slices.Concat(coded, coded)
					case 4: // an earlier answer, or one to another ask
						o := rapid.SampledFrom(earlier).Draw(t, "late")
						coding, coded = o.coding, o.coded
					}
					_, known := keepers[r.Replica].content(r.Base)
					if err := f.HandleResponse(r, coding, coded); clean && err != nil {
						return fmt.Errorf("refused without a fault: %w", err)
					}
					if clean && known && r.Base != r.Digest && coding != EncodingDelta {
						return fmt.Errorf("whole, where base %.8s was there", r.Base)
					}
				}
				if f.State() == StateDone {
					spool = hold.Content(d)
				}
			}
		}
		if held := hold.Digests(); len(held) > 3 {
			return fmt.Errorf("%d contents are held", len(held))
		}
		for n, d := range digests {
			if c := hold.Content(d); c != nil && !bytes.Equal(c, plain[n]) {
				return fmt.Errorf("what is held of version %d is another", n)
			}
		}
	}
	return nil
}

func TestEqualBytesOrNothing(t *testing.T) {
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.seed", "7") // the same each time
	rapid.Check(t, func(t *rapid.T) {
		if err := play(t, 0); err != nil {
			t.Fatal(err)
		}
	})
}

// Each defect has to be found by the same play.
func TestDefectsAreFound(t *testing.T) {
	for name, flaw := range map[string]InjectedFaults{"digest not checked": FaultNoDigestCheck, "another base than was named": FaultWrongBase, "an old spool acted on": FaultStaleCacheFile} {
		found := 0
		for seed := range 4000 {
			rapid.Custom(func(t *rapid.T) bool {
				if err := play(t, flaw); err != nil && found == 0 {
					found = seed + 1
					t.Log(name, "run", found, err)
				}
				return true
			}).Example(seed)
			if found > 0 {
				break
			}
		}
		if found == 0 {
			t.Errorf("%s: not found", name)
			continue
		}
		t.Logf("%-28s run %d", name, found)
	}
}

// What is asked for and what of, and what follows from each failure.
func TestWhatIsAskedFor(t *testing.T) {
	k := &keeper{shelf: NewDeltaCache(), has: map[string][]byte{}}
	for n, d := range digests {
		k.has[d] = plain[n]
	}
	hold := NewCache(plain[0], 0)
	get := func(n int, names ...int) Request {
		t.Helper()
		var list []string
		for _, n := range names {
			list = append(list, digests[n])
		}
		hold.Retain(list...)
		f := hold.Fetch(digests[n], 1)
		r := f.NextRequest()
		coding, coded, _ := k.answer(r)
		if err := f.HandleResponse(r, coding, coded); err != nil || f.State() != StateDone {
			t.Fatal(err)
		}
		return r
	}
	for _, c := range []struct {
		n     int
		names []int
		base  int
	}{{1, []int{1}, 0}, {2, []int{1, 2}, 1}, {3, []int{1, 3}, 1}, {4, []int{3, 4}, 3}, {6, []int{6}, 3}} { // of what is in force, not of what was announced
		if r := get(c.n, c.names...); r.Base != digests[c.base] {
			t.Errorf("version %d is asked for from %.8s, not %.8s", c.n, r.Base, digests[c.base])
		}
	}
	hold.Retain(digests[6], digests[7])
	f := hold.Fetch(digests[7], 2)
	bomb, _ := delta.Encode(plain[6], make([]byte, configversion.MaxContentBytes+1))
	for i, want := range []struct {
		base   string
		keeper int
		coding string
		coded  []byte
	}{{digests[6], 0, EncodingDelta, bomb}, {"", 0, EncodingZstd, bomb}, {"", 1, "gzip", nil}} {
		r := f.NextRequest()
		if f.State() != StateInProgress || r.Base != want.base || r.Replica != want.keeper {
			t.Fatalf("ask %d: %+v, %d", i, r, f.State())
		}
		if err := f.HandleResponse(r, want.coding, want.coded); err == nil {
			t.Errorf("ask %d: taken", i)
		} else {
			t.Log(err)
		}
	}
	if f.State() != StateFailed || hold.Content(digests[7]) != nil || hold.Content(digests[6]) == nil {
		t.Errorf("state %d, held %v", f.State(), hold.Digests())
	}
}

// A shelf stays within its bounds, and has what was asked for last.
func TestShelfIsBounded(t *testing.T) {
	s := NewDeltaCache()
	for n := range 1000 {
		b := bytes.Repeat([]byte{byte(n)}, 1<<20+n)
		d := fmt.Sprint(n)
		s.AddContent(d, b)
		s.AddEncoded(DeltaKey{d, "x"}, b)
		s.AddContent("used", []byte("x"))
	}
	if len(s.contents.items) > mostContents || s.contents.bytes > mostContentBytes || len(s.coded.items) > mostCoded || s.coded.bytes > mostCodedBytes {
		t.Errorf("%d contents of %d bytes, %d coded of %d", len(s.contents.items), s.contents.bytes, len(s.coded.items), s.coded.bytes)
	}
	if _, there := s.Content("used"); !there {
		t.Error("what was used last is gone")
	}
	if p := s.KeyFor("y", "used", sha256.Sum256([]byte("x"))); p.Base != "used" {
		t.Errorf("%+v", p)
	}
	if p := s.KeyFor("y", "used", sha256.Sum256([]byte("z"))); p.Base != "" {
		t.Errorf("another content under that name: %+v", p)
	}
}
