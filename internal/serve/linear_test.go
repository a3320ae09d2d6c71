package serve_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"irispost/internal/iscsi/initiator"
	"irispost/internal/standin"
)

// operation is a read, write or compare of one block, whose value is its first eight bytes.
type operation struct {
	kind       byte // r, w, c
	block      int
	value, old uint64
}

// result is what came of it.
type result struct {
	value   uint64 // read
	unknown bool   // it may have been done, now or later, or not at all
	other   bool   // compared, and different
}

// register is a block: reads see the last write. What is not known to be done may have happened at any time from its
// beginning on, or never.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, in, out any) []any {
		now, o, r := state.(uint64), in.(operation), out.(result)
		switch {
		case o.kind == 'r' && (r.unknown || r.value == now):
			return []any{now}
		case o.kind == 'r':
			return nil
		case o.kind == 'c' && r.other:
			if now == o.old {
				return nil
			}
			return []any{now}
		case o.kind == 'c' && r.unknown:
			if now == o.old {
				return []any{now, o.value}
			}
			return []any{now}
		case o.kind == 'c':
			if now != o.old {
				return nil
			}
			return []any{o.value}
		case r.unknown:
			return []any{now, o.value}
		}
		return []any{o.value}
	},
	Equal: func(a, b any) bool { return a == b },
}

// Blocks that several sessions read, write and compare at once behave each as one register, while nodes fail, lose answers
// and break connections, and sessions are broken off: checked by porcupine, over some seeds here (IRISPOST_SEEDS for more).
func TestBlocksAreRegisters(t *testing.T) {
	seeds := 3
	if n, err := strconv.Atoi(os.Getenv("IRISPOST_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkBlocks(t, uint64(seed)) })
	}
}

func checkBlocks(t *testing.T, seed uint64) {
	const clients, blocks, steps = 4, 3, 25
	w := diskTown(t, 2, 1, func(o *standin.Options) { o.UnitTime, o.Seed = 20*time.Microsecond, seed })
	began := time.Now()
	var lock sync.Mutex
	var history []porcupine.Operation
	var all, nodes sync.WaitGroup
	stop := make(chan struct{})
	for i, n := range w.Nodes {
		nodes.Add(1)
		go func() {
			defer nodes.Done()
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			for {
				select {
				case <-stop:
					n.Command("well")
					return
				case <-time.After(time.Duration(r.IntN(20)) * time.Millisecond):
				}
				n.Command([]string{"fail 0.3", "slow 5", "reset", "well", "stall 20ms", "drop 0.02"}[r.IntN(6)])
			}
		}()
	}
	for k := range clients {
		d, err := initiator.Open(context.Background(), dialDisk(t, w, 0, func(o *initiator.Options) { o.ISID[5] = byte(k) }), 0,
			initiator.Retry{For: farOff, Once: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { d.Close() })
		all.Add(1)
		go func() {
			defer all.Done()
			r := rand.New(rand.NewPCG(seed, uint64(100+k)))
			last := map[int]uint64{}
			for step := range steps {
				o := operation{kind: "rwc"[r.IntN(3)], block: r.IntN(blocks), value: uint64(k*steps+step) + 1}
				o.old = last[o.block]
				// Each of a block's extents: three blocks in two extents.
				at := int64(o.block) * 40 << 10 &^ 4095
				if r.IntN(8) == 0 {
					go d.Break()
				}
				begun := time.Since(began)
				out := perform(d, &o, at)
				ended := time.Since(began)
				if out.unknown { // it may still happen
					ended = time.Hour
				} else if o.kind == 'r' {
					last[o.block] = out.value
				}
				lock.Lock()
				history = append(history, porcupine.Operation{ClientId: k, Input: o, Call: int64(begun), Output: out, Return: int64(ended)})
				lock.Unlock()
			}
		}()
	}
	all.Wait()
	close(stop)
	nodes.Wait()
	model := register.ToModel()
	model.Partition = func(list []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, blocks)
		for _, o := range list {
			b := o.Input.(operation).block
			parts[b] = append(parts[b], o)
		}
		return parts
	}
	known := 0
	for i := range history {
		if !history[i].Output.(result).unknown {
			known++
		}
	}
	if known < clients*steps/4 {
		t.Errorf("only %d of %d operations have a known outcome", known, len(history))
	}
	if r := porcupine.CheckOperationsTimeout(model, history, 20*time.Second); r != porcupine.Ok {
		t.Errorf("the blocks do not behave as registers (%v): %+v", r, history)
	}
}

// perform does an operation once: what is not known to be done is not repeated under the same name.
func perform(d *initiator.Disk, o *operation, at int64) (out result) {
	block := func(v uint64) []byte {
		b := bytes.Repeat([]byte{byte(v)}, 4096)
		binary.BigEndian.PutUint64(b, v)
		if v == 0 {
			clear(b)
		}
		return b
	}
	ctx, cancel := context.WithTimeout(context.Background(), farOff)
	defer cancel()
	switch o.kind {
	case 'r':
		b := make([]byte, 4096)
		_, err := d.Read(ctx, b, at)
		out.unknown, out.value = err != nil, binary.BigEndian.Uint64(b)
		if err == nil && !bytes.Equal(b, block(out.value)) {
			out.value = 1 << 63 // torn: no state has it
		}
	case 'w':
		_, err := d.Write(ctx, block(o.value), at)
		out.unknown = err != nil
	case 'c':
		err := d.Compare(ctx, block(o.old), block(o.value), at)
		out.other = errors.Is(err, initiator.ErrDifferent)
		out.unknown = err != nil && !out.other
	}
	return out
}
