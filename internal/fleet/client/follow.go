// Package client keeps a gateway in touch with the keepers: it asks for leases and brings what they answer to the pure
// Follower, from which the gateway's loop learns what it acts on. It decides nothing itself.
package client

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/lease"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// Options are what following starts with.
type Options struct {
	Gateway        string
	Replicas       []string      // addresses, as this gateway reaches them
	RenewInterval  time.Duration // between asks; a fraction of the lease
	Now            func() int64  // the gateway's own clock: it never goes back
	OnChange       func()        // what is acted on may have changed; it must not wait
	Seed           uint64
	Holder         string                                 // its name with its start; empty: made here
	PeerAddr       string                                 // where other gateways reach it; empty: they do not
	OnMembership   func(*lease.MembershipUpdate)          // who is present, with each lease of one that is reached; it must not wait
	LocalSettings  scheduler.Settings                     // the gateway's own: what no version has counts from there
	LocalConflicts func(r *configversion.Config) []string // in what the gateway's own configuration contradicts a version; nil: not asked
	Dial           Dial                                   // opens connections to keepers; nil: a net.Dialer that gives up after Pause
	RecordFile     string                                 // file for what was acted on from when; empty: none
	CacheDir       string                                 // folder for the last content, its own; empty: none, all is fetched after a start
	FullVersions   bool                                   // it asks in the form of the build before, which takes versions whole: for what plays both beside each other
	InjectedFaults lease.InjectedFaults
	Logger         *slog.Logger
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Client is a gateway that follows.
type Client struct {
	opt    Options
	lock   sync.Mutex
	f      *lease.Client
	told   string          // what the loop was told last
	nodes  []endpoint.Node // and the list; nil: none
	made   atomic.Pointer[listed]
	until  int64 // and until when it counts
	first  chan struct{}
	record *os.File
	stir   chan struct{} // news has come
	heard  chan struct{} // a grant was taken in
	which  atomic.Int64  // the keeper that is asked
	fetch  *fetcher
	leave  func()       // ends the call that waits for news
	calm   atomic.Int64 // until then what was told last counts, unless something is heard; 0: look
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewHolderID names a start of a gateway, and is told from all others of its name.
func NewHolderID(gateway string) string {
	return fmt.Sprintf("%s/%d.%d", gateway, os.Getpid(), time.Now().UnixNano())
}

// Start begins to follow.
func Start(opt Options) (*Client, error) {
	if opt.Dial == nil {
		opt.Dial = (&net.Dialer{Timeout: opt.RenewInterval}).DialContext
	}
	boot := opt.Holder
	if boot == "" {
		boot = NewHolderID(opt.Gateway)
	}
	f := &Client{opt: opt, f: lease.NewClient(boot, int64(opt.RenewInterval), opt.InjectedFaults), told: "none", first: make(chan struct{}), stir: make(chan struct{}, 1), heard: make(chan struct{}, 1), leave: func() {}}
	f.f.SetPeerAddr(opt.PeerAddr)
	if opt.FullVersions {
		f.f.RequestFullVersions()
	}
	if opt.RecordFile != "" {
		var err error
		if f.record, err = os.OpenFile(opt.RecordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return nil, err
		}
	}
	f.fetch = &fetcher{following: f, client: f.caller()}
	var last []byte
	if opt.CacheDir != "" {
		var err error
		if f.fetch.spool, last, err = openSpool(opt.CacheDir, opt.Gateway, opt.Logger); err != nil {
			if f.record != nil {
				f.record.Close()
			}
			return nil, err
		}
	}
	f.fetch.hold = content.NewCache(last, 0)
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	f.done.Add(2)
	go func() { defer f.done.Done(); f.run(ctx) }()
	go func() { defer f.done.Done(); f.watch(ctx) }()
	return f, nil
}

// Close ends it.
func (f *Client) Close() {
	f.cancel()
	f.done.Wait()
	f.fetch.spool.close()
	if f.record != nil {
		f.record.Close()
	}
}

// Ready is closed when the gateway has something to act on.
func (f *Client) Ready() <-chan struct{} { return f.first }

// run asks as often as is due. One keeper is asked as long as it answers; who does not lead or answer is left for the next,
// after a wait that grows and is spread, so that keepers that come back are not met by all at once.
func (f *Client) run(ctx context.Context) {
	chance := rand.New(rand.NewPCG(f.opt.Seed, 7))
	within := f.opt.RenewInterval
	client := f.fetch.client
	least := f.opt.RenewInterval / 16
	wait := least
	f.which.Store(int64(chance.IntN(len(f.opt.Replicas))))
	var seen *configversion.Version
	for ctx.Err() == nil {
		f.lock.Lock()
		at := f.f.NextRequestAt(f.opt.Now())
		f.lock.Unlock()
		if !f.rest(ctx, time.Duration(at-f.opt.Now())) {
			return
		}
		f.lock.Lock()
		a := f.f.NextRequest(f.opt.Now())
		f.lock.Unlock()
		g := &lease.RenewResponse{}
		each, end := context.WithTimeout(ctx, within)
		err := client.Call(each, f.keeper(), http.MethodPost, "/renew", a, g)
		end()
		if err == nil {
			f.fetch.complete(ctx, g)
			f.lock.Lock()
			f.f.HandleResponse(f.opt.Now(), g)
			f.calm.Store(0)
			effect := f.f.Effective(f.opt.Now())
			lines, members := f.f.TakeLogLines(), f.f.TakeMembership()
			newest, content := f.f.LatestVersion()
			f.lock.Unlock()
			f.prepare(effect)
			stirred(f.heard)
			if members != nil && f.opt.OnMembership != nil {
				f.opt.OnMembership(members)
			}
			f.say(lines)
			f.opt.OnChange()
			if newest != seen && f.opt.LocalConflicts != nil {
				seen = newest
				for _, line := range f.opt.LocalConflicts(content) {
					f.opt.Logger.Warn("version "+newest.Name()+" counts, and the gateway's own configuration contradicts it", "gateway", f.opt.Gateway, "in", line)
				}
			}
			if g.LeaseDuration > 0 {
				wait = least
				continue
			}
		} else {
			client.HTTPClient.CloseIdleConnections()
			f.which.Add(1)
			f.lock.Lock()
			f.leave() // news is waited for at the next one too
			f.lock.Unlock()
			f.opt.Logger.Debug("a keeper gives no lease", "gateway", f.opt.Gateway, "why", err)
		}
		if !f.sleep(ctx, time.Duration((0.5+chance.Float64())*float64(wait))) {
			return
		}
		wait = min(2*wait, f.opt.RenewInterval)
	}
}

// keeper is the one that is asked.
func (f *Client) keeper() string {
	return f.opt.Replicas[f.which.Load()%int64(len(f.opt.Replicas))]
}

// newsHold is for how long a keeper may have this gateway wait for news. Nothing hangs on hearing of it in time.
const newsHold = 10 * time.Second

// watch waits at the keeper that is asked for news, so that leases alone have to be asked for. A call that breaks, falls silent or is
// refused has the gateway ask as often as without.
func (f *Client) watch(ctx context.Context) {
	client := f.caller()
	chance := rand.New(rand.NewPCG(f.opt.Seed, 11))
	for ctx.Err() == nil {
		f.lock.Lock()
		term, inForce, announced := f.f.KnownState()
		f.lock.Unlock()
		news := false
		if term > 0 {
			each, end := context.WithTimeout(ctx, newsHold+f.opt.RenewInterval)
			f.lock.Lock()
			f.leave = end
			f.f.SetWatching(true)
			f.lock.Unlock()
			err := client.Call(each, f.keeper(), http.MethodGet, fmt.Sprintf("/news?term=%d&in_force=%d&announced=%d&hold_ms=%d", term, inForce, announced,
				newsHold.Milliseconds()), nil, &news)
			end()
			if err != nil {
				client.HTTPClient.CloseIdleConnections()
			}
			f.lock.Lock()
			f.f.SetWatching(err == nil)
			if err != nil || news {
				f.f.RequestNow()
			}
			f.lock.Unlock()
			if news || err != nil {
				select {
				case <-f.heard: // what was heard before this
				default:
				}
				stirred(f.stir)
			}
			if err == nil && !news {
				continue
			}
		}
		select { // what is news has to be asked for before it is known
		case <-ctx.Done():
		case <-f.heard:
		case <-time.After(time.Duration((0.5 + chance.Float64()) * float64(f.opt.RenewInterval))):
		}
	}
}

// stirred tells who waits, now or later, that something has happened; several that were not seen are one.
func stirred(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// rest sleeps until something is due, or news comes.
func (f *Client) rest(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-f.stir:
	case <-t.C:
	}
	return true
}

func (f *Client) sleep(ctx context.Context, d time.Duration) bool {
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

func (f *Client) say(lines []string) {
	for _, line := range lines {
		f.opt.Logger.Info(line, "gateway", f.opt.Gateway)
	}
}

// At is called by the loop with the time that it has read, before it decides: the list and the terms to tell the module where
// they have changed, nil where not, and when to ask again at the latest, 0 for no need.
func (f *Client) At(now int64) (*gateway.ActiveConfig, int64) {
	if until := f.calm.Load(); now < until {
		return nil, until
	}
	f.lock.Lock()
	ends := f.until
	effect := f.f.Effective(now)
	name, until, lines := f.f.EffectiveName(), f.f.ValidUntil(), f.f.TakeLogLines()
	holds, floor := f.f.HeldVersions()
	changed := name != f.told
	f.told, f.until = name, until
	f.calm.Store(until)
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
	acts, nodes := &gateway.ActiveConfig{}, []endpoint.Node(nil)
	if effect != nil {
		nodes = f.list(effect)
		acts.List, acts.Settings = change(f.nodes, nodes), effect.Settings(f.opt.LocalSettings)
		select {
		case <-f.first:
		default:
			close(f.first)
		}
	}
	acts.List.Version, f.nodes = name, nodes
	return acts, until
}

// Status is how the gateway stands with the keepers: its state, and what it acts on.
func (f *Client) Status() (state, acts string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.f.State().String(), f.f.EffectiveName()
}
