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

// blockOperation is a read, write, or compare and write of one block. The value of a block is its first eight bytes.
type blockOperation struct {
	kind       byte // r, w or c
	block      int
	value, old uint64
}

// blockResult is the outcome of a blockOperation.
type blockResult struct {
	value      uint64 // that was read
	unknown    bool   // the operation may have been executed, may still be executed later, or never
	miscompare bool   // the block differed from the compared value
}

// registerModel models a block as a register: reads return the last write. An operation with an unknown outcome may
// have been executed at any time after its start, or never.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, in, out any) []any {
		now, o, r := state.(uint64), in.(blockOperation), out.(blockResult)
		switch {
		case o.kind == 'r' && (r.unknown || r.value == now):
			return []any{now}
		case o.kind == 'r':
			return nil
		case o.kind == 'c' && r.miscompare:
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

// TestBlocksAreLinearizable: each block that several sessions read, write and compare concurrently is a linearizable
// register, although nodes fail, lose responses and reset connections, and sessions break. Porcupine checks the
// history. IRISPOST_SEEDS sets the number of seeds.
func TestBlocksAreLinearizable(t *testing.T) {
	seeds := 3
	if n, err := strconv.Atoi(os.Getenv("IRISPOST_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkLinearizability(t, uint64(seed)) })
	}
}

// Size of one run of checkLinearizability.
const (
	blockClients = 4
	blockCount   = 3
	blockSteps   = 25 // per client
)

// blockHistory records the operations of the clients of a run.
type blockHistory struct {
	start time.Time

	mu         sync.Mutex // guards operations
	operations []porcupine.Operation
}

// record executes an operation and records it. An operation with an unknown outcome may take effect later, so it is
// recorded as one that returns after all others.
func (h *blockHistory) record(client int, op blockOperation, do func() blockResult) blockResult {
	call := time.Since(h.start)
	out := do()
	end := time.Since(h.start)
	if out.unknown {
		end = time.Hour
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client,
		Input:    op,
		Call:     int64(call),
		Output:   out,
		Return:   int64(end),
	})
	return out
}

// known returns the number of operations with a known outcome.
func (h *blockHistory) known() (count int) {
	for _, o := range h.operations {
		if !o.Output.(blockResult).unknown {
			count++
		}
	}
	return count
}

// injectFaults changes the faults of a node at random until stop is closed, and then clears them.
func injectFaults(t *testing.T, n *standin.Node, r *rand.Rand, stop <-chan struct{}) {
	faults := []string{"fail 0.3", "slow 5", "reset", "well", "stall 20ms", "drop 0.02"}
	for {
		select {
		case <-stop:
			command(t, n, "well")
			return
		case <-time.After(time.Duration(r.IntN(20)) * time.Millisecond):
		}
		command(t, n, faults[r.IntN(len(faults))])
	}
}

// runBlockClient executes random operations in a session that it breaks at times.
func runBlockClient(client int, d *initiator.Disk, r *rand.Rand, history *blockHistory) {
	last := map[int]uint64{} // value read last, by block
	for step := range blockSteps {
		value := uint64(client*blockSteps+step) + 1
		o := blockOperation{kind: "rwc"[r.IntN(3)], block: r.IntN(blockCount), value: value}
		o.old = last[o.block]
		offset := int64(o.block) * 40 << 10 &^ 4095 // three blocks in two extents
		if r.IntN(8) == 0 {
			go d.Disconnect()
		}
		out := history.record(client, o, func() blockResult { return perform(d, &o, offset) })
		if !out.unknown && o.kind == 'r' {
			last[o.block] = out.value
		}
	}
}

// byBlock partitions a history by block, since blocks are independent of each other.
func byBlock(operations []porcupine.Operation) [][]porcupine.Operation {
	parts := make([][]porcupine.Operation, blockCount)
	for _, o := range operations {
		block := o.Input.(blockOperation).block
		parts[block] = append(parts[block], o)
	}
	return parts
}

func checkLinearizability(t *testing.T, seed uint64) {
	b := diskTestbed(t, 2, 1, func(o *standin.Options) { o.UnitTime, o.Seed = 20*time.Microsecond, seed })
	history := &blockHistory{start: time.Now()}
	var clients, faultInjectors sync.WaitGroup
	stop := make(chan struct{})
	for i, n := range b.Nodes {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		faultInjectors.Go(func() { injectFaults(t, n, r, stop) })
	}
	for client := range blockClients {
		opt := diskOptions(b, 0, func(o *initiator.Options) { o.ISID[5] = byte(client) })
		d, err := initiator.Open(context.Background(), opt, 0,
			initiator.RetryPolicy{Timeout: failureTimeout, NoRepeatedWrites: true})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = d.Close() })
		r := rand.New(rand.NewPCG(seed, uint64(100+client)))
		clients.Go(func() { runBlockClient(client, d, r, history) })
	}
	clients.Wait()
	close(stop)
	faultInjectors.Wait()
	if known := history.known(); known < blockClients*blockSteps/4 {
		t.Errorf("%d of %d operations have a known outcome, want at least a quarter", known, len(history.operations))
	}
	model := registerModel.ToModel()
	model.Partition = byBlock
	if r := porcupine.CheckOperationsTimeout(model, history.operations, 20*time.Second); r != porcupine.Ok {
		t.Errorf("the history is not linearizable (%v): %+v", r, history.operations)
	}
}

// perform executes an operation once. An operation with an unknown outcome is not retried, since it may still execute.
func perform(disk *initiator.Disk, op *blockOperation, offset int64) (out blockResult) {
	block := func(v uint64) []byte {
		b := bytes.Repeat([]byte{byte(v)}, 4096)
		binary.BigEndian.PutUint64(b, v)
		if v == 0 {
			clear(b)
		}
		return b
	}
	ctx, cancel := context.WithTimeout(context.Background(), failureTimeout)
	defer cancel()
	switch op.kind {
	case 'r':
		b := make([]byte, 4096)
		_, err := disk.Read(ctx, b, offset)
		out.unknown, out.value = err != nil, binary.BigEndian.Uint64(b)
		if err == nil && !bytes.Equal(b, block(out.value)) {
			out.value = 1 << 63 // torn read: no state has this value
		}
	case 'w':
		_, err := disk.Write(ctx, block(op.value), offset)
		out.unknown = err != nil
	case 'c':
		err := disk.CompareAndWrite(ctx, block(op.old), block(op.value), offset)
		out.miscompare = errors.Is(err, initiator.ErrMiscompare)
		out.unknown = err != nil && !out.miscompare
	}
	return out
}
