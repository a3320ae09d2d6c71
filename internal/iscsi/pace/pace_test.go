package pace

import (
	"flag"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Random arrivals, ends, leaves and closings: nothing is lost or comes twice, the bounds hold, the order within a session
// is kept, and nothing waits while there is room.
func TestModel(t *testing.T) {
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.seed", "7"); err != nil { // the same verdict every time
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Least: 2, Most: rapid.IntRange(2, 64).Draw(t, "most"), Start: rapid.IntRange(1, 16).Draw(t, "start"), Inside: 32,
			Bytes: rapid.IntRange(1, 1000).Draw(t, "bytes"), Quantum: rapid.IntRange(1, 200).Draw(t, "quantum")}
		p := New(terms)
		var sessions []*Session
		waits := map[*Session][]*Item{}
		inside := map[*Item]bool{}
		var out []*Item
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				sessions = append(sessions, p.Join())
			case 1, 2, 3:
				if len(sessions) > 0 {
					s := rapid.SampledFrom(sessions).Draw(t, "session")
					i := &Item{Cost: rapid.IntRange(0, 400).Draw(t, "cost")}
					s.Want(i)
					waits[s] = append(waits[s], i)
				}
			case 4, 5, 6:
				if len(out) > 0 {
					k := rapid.IntRange(0, len(out)-1).Draw(t, "which")
					p.Done(out[k], End(rapid.IntRange(0, 2).Draw(t, "end")))
					delete(inside, out[k])
					out = append(out[:k], out[k+1:]...)
				}
			case 7:
				if len(sessions) > 0 {
					k := rapid.IntRange(0, len(sessions)-1).Draw(t, "session")
					s := sessions[k]
					if rest := s.Leave(); len(rest) != len(waits[s]) {
						t.Fatalf("%d come back of %d that wait", len(rest), len(waits[s]))
					}
					delete(waits, s)
					sessions = append(sessions[:k], sessions[k+1:]...)
				}
			case 8:
				if len(sessions) > 0 {
					s := rapid.SampledFrom(sessions).Draw(t, "session")
					if len(waits[s]) > 0 {
						k := rapid.IntRange(0, len(waits[s])-1).Draw(t, "drop")
						if !s.Drop(waits[s][k]) || s.Drop(&Item{}) {
							t.Fatal("a command that waits is not found, or one that does not is")
						}
						waits[s] = append(waits[s][:k:k], waits[s][k+1:]...)
					}
				}
			case 9:
				if p.State() == Closed {
					p.Reopen()
				} else {
					p.Close()
				}
			}
			for i := p.Next(); i != nil; i = p.Next() {
				if inside[i] || len(waits[i.by]) == 0 || waits[i.by][0] != i {
					t.Fatal("a command goes in twice, or out of its session's order")
				}
				inside[i] = true
				waits[i.by] = waits[i.by][1:]
				out = append(out, i)
			}
			all, bytes, busy := 0, 0, 0
			for _, s := range sessions {
				all += len(waits[s])
				if s.Held() > 0 {
					busy++
				}
				if w := s.Window(); p.State() == Closed && w != 0 || p.State() != Closed && (w < min(terms.Least, terms.Most) || w > terms.Most) {
					t.Fatalf("a window of %d while %v", w, p.State())
				}
			}
			for _, i := range out {
				bytes += i.Cost
			}
			if p.Waiting() != all || p.Inside() != len(out) || p.bytes != bytes || p.sessions < busy {
				t.Fatalf("%d wait of %d, %d inside of %d, %d bytes of %d, %d busy of %d", p.Waiting(), all, p.Inside(), len(out), p.bytes, bytes, p.sessions, busy)
			}
			if len(out) > p.terms.Inside || len(out) > 1 && bytes > terms.Bytes {
				t.Fatalf("%d inside with %d bytes", len(out), bytes)
			}
			if all > 0 && len(out) == 0 {
				t.Fatal("all wait, and nothing is inside")
			}
			if p.bound < 1 || p.bound > float64(terms.Inside) {
				t.Fatalf("a bound of %v", p.bound)
			}
		}
	})
}

// serve has a gateway of so many slots serve sessions that keep their depths, and counts by session.
func serve(p *Pacer, depths []int, cost []int, slots, rounds int, seed uint64) (served []int, waits []int) {
	r := rand.New(rand.NewPCG(seed, 1))
	sessions := make([]*Session, len(depths))
	served, waits = make([]int, len(depths)), make([]int, len(depths))
	index := map[*Session]int{}
	for k := range depths {
		sessions[k] = p.Join()
		index[sessions[k]] = k
	}
	var out []*Item
	for range rounds {
		for k, s := range sessions {
			for s.Held() < min(depths[k], s.Window()) {
				s.Want(&Item{Cost: cost[k]})
			}
		}
		for i := p.Next(); i != nil; i = p.Next() {
			out = append(out, i)
		}
		for n := min(slots, len(out)); n > 0; n-- {
			k := r.IntN(len(out))
			i := out[k]
			out = append(out[:k], out[k+1:]...)
			end := Served
			if len(out) > 4*slots { // more inside than it can do
				end = Dismissed
			}
			p.Done(i, end)
			served[index[i.by]]++
		}
		for k, s := range sessions {
			if s.Held() > 0 {
				waits[k]++
			}
		}
	}
	return served, waits
}

// A session with one command at a time and one with 256 have what each can use: the first is not starved, and two deep
// ones of any depths share evenly by bytes.
func TestFairness(t *testing.T) {
	served, _ := serve(New(DefaultTerms), []int{1, 256}, []int{4096, 4096}, 4, 10_000, 1)
	if served[0] < 800 || served[0]+served[1] < 39_000 { // alone it would have 10,000; with 16 inside it waits about four rounds
		t.Errorf("served %v", served)
	}
	served, _ = serve(New(DefaultTerms), []int{32, 256}, []int{4096, 4096}, 4, 10_000, 2)
	if ratio := float64(served[0]) / float64(served[1]); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("depths 32 and 256: %v, ratio %.2f", served, ratio)
	}
	served, _ = serve(New(DefaultTerms), []int{256, 256}, []int{4096, 65536}, 4, 10_000, 3)
	if ratio := float64(served[0]) / float64(16*served[1]); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("4 KiB and 64 KiB: %v, ratio of bytes %.2f", served, ratio)
	}
}

// The bound falls when commands are dismissed, once for all that were inside together, and comes back by and by; each
// change of state is told once.
func TestBound(t *testing.T) {
	p := New(Terms{Least: 1, Most: 100, Start: 10, Inside: 20, Bytes: 1 << 30, Quantum: 1})
	s := p.Join()
	fill := func() (list []*Item) {
		for range 40 {
			s.Want(&Item{})
		}
		for i := p.Next(); i != nil; i = p.Next() {
			list = append(list, i)
		}
		return list
	}
	all := fill()
	if len(all) != 10 || s.Window() != 20 {
		t.Fatalf("%d go in, window %d", len(all), s.Window())
	}
	for _, i := range all {
		p.Done(i, Dismissed)
	}
	if p.Bound() != 7 || p.State() != Slow || !p.Changed() || p.Changed() {
		t.Errorf("bound %d, %v", p.Bound(), p.State())
	}
	for n := 0; p.State() == Slow; n++ {
		if n > 200 {
			t.Fatalf("bound %v does not come back", p.bound)
		}
		for _, i := range fill() {
			p.Done(i, Served)
		}
	}
	if !p.Changed() || p.Bound() < 10 {
		t.Errorf("bound %d, %v", p.Bound(), p.State())
	}
	for range 500 {
		for _, i := range fill() {
			p.Done(i, Served)
		}
	}
	if p.Bound() != 20 {
		t.Errorf("bound %d, 20 is the most", p.Bound())
	}
	p.Close()
	if s.Window() != 0 || p.Next() == nil {
		t.Error("closed, what was taken goes on and nothing new is taken")
	}
}
