// Package follow keeps a gateway in touch with the keepers: it asks for leases and brings what they answer to the pure
// Follower, from which the gateway's loop learns what it acts on. It decides nothing itself.
package follow

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"irispost/internal/fleet/accord"
	"irispost/internal/fleet/keep"
	"irispost/internal/fleet/rules"
	"irispost/internal/listing"
)

// Options are what following starts with.
type Options struct {
	Gateway string
	Keepers []string      // addresses, as this gateway reaches them
	Pause   time.Duration // between asks; a fraction of the lease
	Now     func() int64  // the gateway's own clock: it never goes back
	Wake    func()        // what is acted on may have changed; it must not wait
	Seed    uint64
	Differs func(r *rules.Rules) []string // in what the gateway's own configuration contradicts a version; nil: not asked
	Record  string                        // file for what was acted on from when; empty: none
	Flaws   accord.Flaws
	Log     *slog.Logger
}

// Following is a gateway that follows.
type Following struct {
	opt    Options
	lock   sync.Mutex
	f      *accord.Follower
	told   string // what the loop was told last
	until  int64  // and until when it counts
	first  chan struct{}
	record *os.File
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start begins to follow.
func Start(opt Options) (*Following, error) {
	boot := fmt.Sprintf("%s/%d.%d", opt.Gateway, os.Getpid(), time.Now().UnixNano()) // a start is told from all others of its name
	f := &Following{opt: opt, f: accord.Follow(boot, int64(opt.Pause), opt.Flaws), told: "none", first: make(chan struct{})}
	if opt.Record != "" {
		var err error
		if f.record, err = os.OpenFile(opt.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return nil, err
		}
	}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	f.done.Add(1)
	go func() { defer f.done.Done(); f.run(ctx) }()
	return f, nil
}

// Close ends it.
func (f *Following) Close() {
	f.cancel()
	f.done.Wait()
	if f.record != nil {
		f.record.Close()
	}
}

// First is closed when the gateway has something to act on.
func (f *Following) First() <-chan struct{} { return f.first }

// run asks as often as is due. One keeper is asked as long as it answers; who does not lead or answer is left for the next,
// after a wait that grows and is spread, so that keepers that come back are not met by all at once.
func (f *Following) run(ctx context.Context) {
	chance := rand.New(rand.NewPCG(f.opt.Seed, 7))
	within := f.opt.Pause
	client := &keep.Client{HTTP: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: within}).DialContext, MaxIdleConnsPerHost: 1}}}
	which, least := chance.IntN(len(f.opt.Keepers)), f.opt.Pause/16
	wait := least
	var seen *rules.Version
	for ctx.Err() == nil {
		f.lock.Lock()
		at := f.f.Due(f.opt.Now())
		f.lock.Unlock()
		if !f.sleep(ctx, time.Duration(at-f.opt.Now())) {
			return
		}
		f.lock.Lock()
		a := f.f.Ask(f.opt.Now())
		f.lock.Unlock()
		g := &accord.Grant{}
		each, end := context.WithTimeout(ctx, within)
		err := client.One(each, f.opt.Keepers[which], http.MethodPost, "/renew", a, g)
		end()
		if err == nil {
			f.lock.Lock()
			f.f.Heard(f.opt.Now(), g)
			lines := f.f.Log()
			newest, content := f.f.Newest()
			f.lock.Unlock()
			f.say(lines)
			f.opt.Wake()
			if newest != seen && f.opt.Differs != nil { // plans, products and limits still come from there
				seen = newest
				for _, line := range f.opt.Differs(content) {
					f.opt.Log.Warn("the gateway's own configuration contradicts version "+newest.Name(), "gateway", f.opt.Gateway, "in", line)
				}
			}
			if g.Lease > 0 {
				wait = least
				continue
			}
		} else {
			client.HTTP.CloseIdleConnections()
			which = (which + 1) % len(f.opt.Keepers)
			f.opt.Log.Debug("a keeper gives no lease", "gateway", f.opt.Gateway, "why", err)
		}
		if !f.sleep(ctx, time.Duration((0.5+chance.Float64())*float64(wait))) {
			return
		}
		wait = min(2*wait, f.opt.Pause)
	}
}

func (f *Following) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (f *Following) say(lines []string) {
	for _, line := range lines {
		f.opt.Log.Info(line, "gateway", f.opt.Gateway)
	}
}

// At is called by the loop with the time that it has read, before it decides: the list to tell the module where it has
// changed, nil where not, and when to ask again at the latest, 0 for no need.
func (f *Following) At(now int64) (*listing.List, int64) {
	f.lock.Lock()
	ends := f.until
	effect := f.f.At(now)
	name, until, lines := f.f.Name(), f.f.Until(), f.f.Log()
	holds, floor := f.f.Holds()
	changed := name != f.told
	f.told, f.until = name, until
	f.lock.Unlock()
	if len(lines) > 0 {
		f.say(lines)
	}
	if !changed {
		return nil, until
	}
	if f.record != nil {
		var t unix.Timespec
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
		since := int64(0)
		if ends > 0 && now >= ends { // nothing was decided since then
			since = now - ends
		}
		if effect == nil {
			holds = nil
		}
		fmt.Fprintf(f.record, "%d %v %v\n", t.Nano()-since, floor, holds)
	}
	list := &listing.List{Version: name}
	if effect != nil {
		l := effect.List(name)
		list = &l
		select {
		case <-f.first:
		default:
			close(f.first)
		}
	}
	return list, until
}

// Status is how the gateway stands with the keepers: its state, and what it acts on.
func (f *Following) Status() (state, acts string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.f.State().String(), f.f.Name()
}
