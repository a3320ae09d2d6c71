package client

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// operation is what an operator asked, and was told.
type operation struct {
	reads   bool
	parent  uint64
	digest  string
	known   bool // it is known what became of it
	refused bool
	number  uint64
}

// newest is the state that all must agree on: the newest version.
type newest struct {
	number uint64
	digest string
}

// history is the log as operators may see it: each proposal is taken if its parent is the newest, and each look sees the newest.
var history = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{newest{}} },
	Step: func(state, _, out any) []any {
		s, o := state.(newest), out.(operation)
		next := newest{o.parent + 1, o.digest}
		switch {
		case o.reads && s == newest{o.number, o.digest}:
			return []any{s}
		case o.reads:
			return nil
		case !o.known && o.parent == s.number:
			return []any{s, next}
		case !o.known, o.refused && o.parent != s.number:
			return []any{s}
		case !o.refused && o.parent == s.number && o.number == next.number:
			return []any{next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// The model finds what must not be: two proposals with one parent both taken, and a version that is gone again.
func TestHistoriesThatAreNone(t *testing.T) {
	at := func(from, to int64, o operation) porcupine.Operation {
		return porcupine.Operation{ClientId: int(from), Input: o, Output: o, Call: from, Return: to}
	}
	one, two := operation{known: true, digest: "a", number: 1}, operation{known: true, digest: "b", number: 1}
	look := func(n uint64, digest string) operation { return operation{reads: true, number: n, digest: digest} }
	for name, c := range map[string]struct {
		list []porcupine.Operation
		good bool
	}{
		"one taken, one refused":     {[]porcupine.Operation{at(1, 5, one), at(2, 4, operation{known: true, refused: true})}, true},
		"both taken":                 {[]porcupine.Operation{at(1, 5, one), at(2, 4, two)}, false},
		"taken and gone":             {[]porcupine.Operation{at(1, 5, one), at(6, 7, look(0, ""))}, false},
		"taken and there":            {[]porcupine.Operation{at(1, 5, one), at(6, 7, look(1, "a"))}, true},
		"not known, and there later": {[]porcupine.Operation{at(1, 100, operation{digest: "a"}), at(6, 7, look(0, "")), at(8, 9, look(1, "a"))}, true},
		"not known, there and gone":  {[]porcupine.Operation{at(1, 100, operation{digest: "a"}), at(6, 7, look(1, "a")), at(8, 9, look(0, ""))}, false},
	} {
		if porcupine.CheckOperations(history, c.list) != c.good {
			t.Errorf("%s: not %v", name, c.good)
		}
	}
}

// Keepers' processes are killed at random moments while operators race; their history has to be one that a single log could
// have given. IRISPOST_MEASURE=1 kills 100 times.
func TestKeepersKilledAtRandomPoints(t *testing.T) {
	kills := 6
	if os.Getenv("IRISPOST_MEASURE") == "1" {
		kills = 100
	}
	addrs, list := processes(t)
	chance := rand.New(rand.NewPCG(7, uint64(kills)))
	var ops []porcupine.Operation
	var lock sync.Mutex
	var taken atomic.Int64
	quit := make(chan struct{})
	var done sync.WaitGroup
	began := time.Now()
	for who := range 3 {
		done.Add(1)
		go func() {
			defer done.Done()
			note := func(call time.Duration, o operation) {
				lock.Lock()
				defer lock.Unlock()
				op := porcupine.Operation{ClientId: who, Input: o, Output: o, Call: int64(call), Return: int64(time.Since(began))}
				if !o.known && !o.reads {
					op.ClientId, op.Return = 100+len(ops), int64(time.Hour) // it may come to pass at any later time
				}
				ops = append(ops, op)
			}
			for n := 0; ; n++ {
				select {
				case <-quit:
					return
				default:
				}
				c := &replica.Client{Replicas: addrs, Timeout: 2 * time.Second}
				call := time.Since(began)
				s, err := c.Status()
				if err != nil {
					continue
				}
				look := operation{reads: true, number: s.Announced}
				if s.Latest != nil {
					look.digest = s.Latest.Digest
				}
				note(call, look)
				b := numbered(10*n + who)
				call = time.Since(began)
				v, err := c.Propose(&lease.Proposal{ID: fmt.Sprint(who, " ", n), Parent: s.Announced, ReplacePending: true, Content: b})
				o := operation{parent: s.Announced, digest: configversion.DigestOf(b), known: err == nil}
				var refused *replica.RejectedError
				if errors.As(err, &refused) {
					o.known, o.refused = true, true
				}
				if err == nil {
					o.number = v.Number
					taken.Add(1)
				}
				note(call, o)
			}
		}()
	}
	kill := func(i int) {
		list[i].Process.Kill()
		list[i].Wait()
	}
	again := func(i int) {
		cmd := exec.Command(list[i].Path)
		cmd.Env = list[i].Env
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
		list[i] = cmd
	}
	for n := range kills {
		before := taken.Load()
		for taken.Load() < before+2 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Duration(chance.IntN(20_000)) * time.Microsecond)
		i := chance.IntN(3)
		kill(i)
		if n%3 == 2 { // all of them, at once
			kill((i + 1) % 3)
			kill((i + 2) % 3)
			again((i + 1) % 3)
			again((i + 2) % 3)
		}
		again(i)
	}
	close(quit)
	done.Wait()
	result, _ := porcupine.CheckOperationsVerbose(history, ops, time.Minute)
	if result != porcupine.Ok {
		t.Errorf("%d operations: %v", len(ops), result)
	}
	t.Logf("%d kills, %d proposals taken, %d operations: %v", kills, taken.Load(), len(ops), result)
}

// A keeper whose disk is full ends with the reason, and before it has promised anything by what it could not write; the others go on, and
// with room again it has all that was acknowledged.
func TestKeeperWithAFullDisk(t *testing.T) {
	addrs, list := processes(t, "IRISPOST_TEST_DISK=200000")
	c := &replica.Client{Replicas: addrs, Timeout: 30 * time.Second}
	ended := make(chan struct{})
	go func() { list[0].Wait(); close(ended) }()
	var digests []string
	propose := func() {
		n := len(digests)
		v, err := c.Propose(&lease.Proposal{ID: fmt.Sprint(n), Parent: uint64(n), ReplacePending: true, Content: numbered(n + 1)})
		if err != nil {
			t.Fatal(err)
		}
		digests = append(digests, v.Digest)
	}
	for full := false; !full; {
		propose()
		select {
		case <-ended:
			full = true
		default:
		}
		if len(digests) > 2000 {
			t.Fatal("the disk does not fill")
		}
	}
	if text := fmt.Sprint(list[0].Stdout); list[0].ProcessState.ExitCode() != 3 || !strings.Contains(text, "nothing is promised by it") {
		t.Errorf("it ended with %d: %s", list[0].ProcessState.ExitCode(), text)
	}
	for range 5 { // the two that are left
		propose()
	}
	again := exec.Command(list[0].Path)
	again.Env = append(list[0].Env, "IRISPOST_TEST_DISK=")
	if err := again.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { again.Process.Kill(); again.Wait() })
	list[1].Process.Kill() // so that it is needed
	list[1].Wait()
	propose()
	all, err := c.Versions(1)
	if err != nil || len(all) != len(digests) {
		t.Fatalf("%d of %d versions: %v", len(all), len(digests), err)
	}
	for i, v := range all {
		if v.Digest != digests[i] {
			t.Errorf("version %d is another than was acknowledged", v.Number)
		}
	}
}
