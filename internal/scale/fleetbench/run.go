package fleetbench

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/scale/meter"
)

// bench is a measurement under way.
type bench struct {
	Options
	dir       string
	keepers   *keepers
	followers *followers
	course    *Course
	client    *replica.Client
	version   int // the newest
	led       int // number of the keeper that led when it was asked last; 0: none
}

// settling is how long what a change has left to do is counted with it: gateways ask for news again.
const settling = 500 * time.Millisecond

// open starts keepers, and has them agree on a first version.
func open(o Options) (*bench, error) {
	dir, err := os.MkdirTemp("", "irispost-fleet")
	if err != nil {
		return nil, err
	}
	b := &bench{Options: o, dir: dir, course: NewCourse(o.Nodes, 1)}
	if b.keepers, err = startKeepers(o, dir); err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	addrs := b.keepers.addrs(0)
	b.followers = newFollowers(o.Followers, addrs)
	counted := meter.Dialer(nil, func(addr string) []*meter.Bytes { return []*meter.Bytes{b.followers.from[addr]} })
	b.client = &replica.Client{Replicas: addrs, Timeout: patience / 2, HTTPClient: &http.Client{Transport: &http.Transport{DialContext: counted}}}
	return b, nil
}

func (b *bench) close() {
	b.followers.close()
	b.keepers.close()
	_ = os.RemoveAll(b.dir)
}

// proposal is the rules as they are now, as the next version.
func (b *bench) proposal(why string) *lease.Proposal {
	return &lease.Proposal{ID: fmt.Sprint("bench-", b.version+1), Parent: uint64(b.version), Author: "bench", Reason: why, CreatedAt: time.Now().UTC().Format(time.RFC3339),
		Content: b.course.Rules().Canonical()}
}

// propose makes it a version. It is announced then.
func (b *bench) propose(p *lease.Proposal) error {
	v, err := b.client.Propose(p)
	if err != nil {
		return fmt.Errorf("change %d: %w", b.version, err)
	}
	b.version++
	if v.Number != uint64(b.version) {
		return fmt.Errorf("change %d has become version %d", b.version-1, v.Number)
	}
	return nil
}

// found makes the first version, once a keeper leads; who leads is asked first from then on.
func (b *bench) found(ctx context.Context) error {
	if err := b.keepers.until(ctx, "no keeper leads", 20*time.Millisecond, func() bool { n, _ := b.keepers.leader(ctx); return n > 0 }); err != nil {
		return err
	}
	if err := b.propose(b.proposal("the first")); err != nil {
		return err
	}
	leader, _ := b.keepers.leader(ctx)
	b.client.Replicas = b.keepers.addrs(leader)
	return nil
}

// Run measures.
func Run(ctx context.Context, o Options) (*Figures, error) {
	b, err := open(o)
	if err != nil {
		return nil, err
	}
	defer b.close()
	f := &Figures{Followers: o.Followers, Nodes: o.Nodes, Changes: o.Changes, Straight: o.Straight, Version: len(b.course.Rules().Canonical())}
	if err := b.found(ctx); err != nil {
		return nil, err
	}
	without, err := collected()
	if err != nil {
		return nil, err
	}
	for _, to := range []*float64{&f.FirstStart, &f.Again} {
		if *to, err = b.startAll(ctx); err != nil {
			return nil, err
		}
		b.Note(fmt.Sprintf("all of %d act on the version after %.0f ms", o.Followers, *to))
	}
	term, r, err := b.rest(ctx)
	if err != nil {
		return nil, err
	}
	if f.KeeperMBStart, err = b.memory(); err != nil {
		return nil, err
	}
	changes, err := b.changes(ctx)
	if err != nil {
		return nil, err
	}
	f.fill(r, changes)
	if f.KeeperMB, err = b.memory(); err != nil {
		return nil, err
	}
	_, s := b.keepers.leader(ctx)
	f.Elections, f.Ends = s.term-term, b.keepers.ends
	asIs, err := meter.Process(os.Getpid())
	if err != nil {
		return nil, err
	}
	with, err := collected()
	f.FollowerMBAsIs, f.FollowerMB = (asIs.MB-without)/float64(o.Followers), (with-without)/float64(o.Followers)
	return f, err
}

// collected is this process's memory in MB after a forced collection.
func collected() (float64, error) {
	debug.FreeOSMemory() // it collects first
	used, err := meter.Process(os.Getpid())
	return used.MB, err
}

func (b *bench) memory() (list []float64, err error) {
	spent, err := b.keepers.spent()
	for _, s := range spent {
		list = append(list, s.MB)
	}
	return list, err
}

// startAll starts all followers at once, in place of those that are there, and tells after how many ms all act on the newest version.
func (b *bench) startAll(ctx context.Context) (float64, error) {
	b.followers.close()
	b.followers.expect(b.version)
	at := time.Now()
	if err := b.followers.begin(b.keepers.addrs(0)); err != nil {
		return 0, err
	}
	err := b.followers.wait(ctx, b.keepers.check)
	return ms(time.Since(at)), err
}

// rest watches the fleet while nothing changes, once all that was before is forgotten.
func (b *bench) rest(ctx context.Context) (term int, r *rest, err error) {
	var seen int
	if err := b.keepers.until(ctx, "keepers know gateways that have ended", 200*time.Millisecond, func() bool {
		s, err := b.client.Status()
		seen = len(s.Gateways)
		return err == nil && seen == b.Followers
	}); err != nil {
		return 0, nil, fmt.Errorf("%w: %d for %d", err, seen, b.Followers)
	}
	if err := nap(ctx, settling); err != nil {
		return 0, nil, err
	}
	r = &rest{}
	var s state
	r.leader, s = b.keepers.leader(ctx)
	before, err := b.read()
	if err != nil {
		return 0, nil, err
	}
	if err := nap(ctx, b.Idle); err != nil {
		return 0, nil, err
	}
	after, err := b.read()
	if err != nil {
		return 0, nil, err
	}
	if leader, _ := b.keepers.leader(ctx); leader != r.leader || leader == 0 {
		return 0, nil, fmt.Errorf("at rest keeper %d led, then %d: nothing can be told of a leading keeper at rest", r.leader, leader)
	}
	r.span, r.gateways, r.cpu, r.leaderOut = after.at.Sub(before.at), less(after.gateways, before.gateways), after.cpu-before.cpu, after.out[r.leader-1]-before.out[r.leader-1]
	for i := range after.keepers {
		r.keepers = append(r.keepers, after.keepers[i].CPU-before.keepers[i].CPU)
	}
	return s.term, r, nil
}

// reading is what all counters say at a moment.
type reading struct {
	at       time.Time
	gateways []int64
	out      []int64 // of each keeper, by number from 1: to gateways, to who proposes, to other keepers
	cpu      time.Duration
	keepers  []meter.Usage
}

func (b *bench) read() (r reading, err error) {
	r.at, r.gateways = time.Now(), b.followers.both()
	for _, k := range b.keepers.list {
		r.out = append(r.out, b.followers.from[k.addr].In()+b.keepers.between(k.number))
	}
	if r.cpu, err = meter.Self(); err == nil {
		r.keepers, err = b.keepers.spent()
	}
	return r, err
}

func less(a, b []int64) []int64 {
	list := make([]int64, len(a))
	for i := range a {
		list[i] = a[i] - b[i]
	}
	return list
}

// nap waits.
func nap(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
