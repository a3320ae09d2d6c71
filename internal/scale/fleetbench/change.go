package fleetbench

import (
	"context"
	"fmt"
	"time"
)

// changes makes all changes one after another. Where the leading keeper is to be killed, it is after a half of them, and started again
// a quarter later.
func (b *bench) changes(ctx context.Context) (list []change, err error) {
	down, up := b.Changes, b.Changes
	if b.Kill {
		down, up = b.Changes/2, b.Changes/2+max(b.Changes/4, 1)
	}
	var killed *keeper // nil: all are there
	for n := range b.Changes {
		leader, _ := b.keepers.leader(ctx)
		switch n {
		case down:
			if leader == 0 {
				return nil, fmt.Errorf("change %d: no keeper leads that could be killed", n)
			}
			killed = b.keepers.list[leader-1]
			killed.kill()
			b.Note(fmt.Sprintf("change %d: keeper %d, which led, is killed", n, leader))
		case up:
			killed.revive = true
			if err := killed.start(b.keepers.program); err != nil {
				return nil, err
			}
			b.Note(fmt.Sprintf("change %d: keeper %d is started again", n, killed.number))
		}
		c, err := b.change(ctx, leader)
		if err != nil {
			return nil, err
		}
		c.killed = killed != nil
		list = append(list, c)
		if n >= up && killed != nil {
			if s, err := killed.state(ctx); err == nil && s.inForce == b.version {
				b.Note(fmt.Sprintf("change %d: keeper %d is back", n, killed.number))
				killed = nil
			}
		}
	}
	return list, nil
}

// change makes one change and waits until all act on it alone.
func (b *bench) change(ctx context.Context, leader int) (c change, err error) {
	c.kind, c.leader = b.course.Step(), leader
	p := b.proposal(string(c.kind))
	b.followers.expect(b.version + 1)
	before, err := b.read()
	if err != nil {
		return c, err
	}
	at := time.Now()
	if err := b.propose(p); err != nil {
		return c, err
	}
	c.announced = time.Since(at)
	if err := b.followers.wait(ctx, b.keepers.check); err != nil {
		return c, err
	}
	c.inForce = time.Since(at)
	if err := nap(ctx, settling); err != nil {
		return c, err
	}
	after, err := b.read()
	if err != nil {
		return c, err
	}
	c.span, c.gateways, c.cpu = after.at.Sub(before.at), less(after.gateways, before.gateways), after.cpu-before.cpu
	if leader > 0 {
		c.leaderOut = after.out[leader-1] - before.out[leader-1]
	}
	return c, nil
}
