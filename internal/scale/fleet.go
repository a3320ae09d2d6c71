package scale

import (
	"errors"
	"fmt"
	"log/slog"
	"os/exec"
	"strings"
	"sync"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/fleet/rig"
	"irispost/internal/scale/meter"
	"irispost/scheduler"
)

// Options are what a fleet is started with.
type Options struct {
	Program func(args ...string) *exec.Cmd // the program, as a process: `irispost keeper ...`
	Dir     string                         // folder for what keepers and gateways write
	Logger  *slog.Logger
	Note    func(format string, args ...any) // told of each step
	Defects Flaw                             // a defect at one gateway, of tests
}

// Fleet is keepers and gateways that run.
type Fleet struct {
	Size     Size
	Gateways []*Hollow
	opt      Options
	own      scheduler.Settings
	keepers  []*keeper
	links    []*rig.Link // all
	between  []*rig.Link // those of them that are between regions
	operator *replica.Client
	bytes    meter.Bytes // of all gateways' following
	rules    *configversion.Config
	newest   uint64
	versions []*configversion.Version // since the last audit
	started  int64
}

// victim is the gateway that a case makes suffer alone. It has links of its own.
const victim = 0

// flawed is the gateway that a test's defect is put into: one of the second region.
func (f *Fleet) flawed() *Hollow { return f.Gateways[f.Size.FirstRegionZones] }

// Open starts a fleet and waits until all its gateways act on its first version.
func Open(s Size, opt Options) (f *Fleet, err error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if opt.Note == nil {
		opt.Note = func(string, ...any) {}
	}
	f = &Fleet{Size: s, opt: opt, own: own(&s), rules: first(&s), started: monotonic()}
	defer func() {
		if err != nil {
			f.Close()
			f = nil
		}
	}()
	if err := f.openKeepers(); err != nil {
		return f, err
	}
	var addrs []string
	for _, k := range f.keepers {
		addrs = append(addrs, k.addr)
	}
	f.operator = &replica.Client{Replicas: addrs, Timeout: operatorWithin}
	if _, err := f.propose("the first version", func(*configversion.Config) {}); err != nil {
		return f, err
	}
	shared := make([][]string, s.Zones)
	for zone := range shared {
		if shared[zone], err = f.reach(zone, false); err != nil {
			return f, err
		}
	}
	for i := range s.Gateways {
		h := &Hollow{Name: fmt.Sprint("g", i), fleet: f, number: i, zone: s.zone(i), reach: shared[s.zone(i)]}
		if i == victim {
			before := len(f.links)
			if h.reach, err = f.reach(h.zone, true); err != nil {
				return f, err
			}
			h.private = f.links[before:len(f.links):len(f.links)]
		}
		if i == s.FirstRegionZones || opt.Defects&Leak != 0 {
			h.flaw = opt.Defects
		}
		f.Gateways = append(f.Gateways, h)
	}
	at := monotonic()
	if err := f.start(f.Gateways); err != nil {
		return f, err
	}
	if list := f.await(f.newest, nobody); len(list) > 0 {
		return f, fmt.Errorf("after a first start: %s", strings.Join(list, "; "))
	}
	opt.Note("%d gateways of %d nodes act on the first version after %d ms", s.Gateways, s.Nodes, (monotonic()-at)/1e6)
	return f, nil
}

// reach is where a zone's gateways reach the keepers: those of its own region straight, unless by links of one gateway's own.
func (f *Fleet) reach(zone int, private bool) (addrs []string, err error) {
	for _, k := range f.keepers {
		addr := k.addr
		if k.region != f.Size.region(zone) || private {
			l, err := f.long(addr, f.Size.region(zone), k.region)
			if err != nil {
				return nil, err
			}
			addr = l.Addr()
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// Close ends all.
func (f *Fleet) Close() {
	f.kill(f.Gateways)
	for _, k := range f.keepers {
		k.kill()
	}
	for _, l := range f.links {
		l.Close()
	}
}

// start starts gateways at once.
func (f *Fleet) start(list []*Hollow) error {
	errs := make([]error, len(list))
	each(list, func(i int, h *Hollow) { errs[i] = h.start() })
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// kill kills gateways at once.
func (f *Fleet) kill(list []*Hollow) {
	each(list, func(_ int, h *Hollow) { h.kill() })
}

func each(list []*Hollow, do func(int, *Hollow)) {
	var done sync.WaitGroup
	for i, h := range list {
		done.Go(func() { do(i, h) })
	}
	done.Wait()
}

// Change is one that was proposed and is announced.
type Change struct {
	Version uint64
	At      int64 // when it was proposed, by the machine's monotonic clock
}

// propose has a change made of the newest rules, and waits until it is announced.
func (f *Fleet) propose(why string, change func(*configversion.Config)) (Change, error) {
	return f.proposeBy(f.operator, why, change)
}

func (f *Fleet) proposeBy(by *replica.Client, why string, change func(*configversion.Config)) (Change, error) {
	r := copied(f.rules)
	change(r)
	c := Change{At: monotonic()}
	p := &lease.Proposal{ID: fmt.Sprintf("scale %d %d", c.At, f.newest+1), Parent: f.newest, Author: "scale", Reason: why,
		CreatedAt: time.Now().UTC().Format(time.RFC3339), Content: r.Canonical()}
	v, err := by.Propose(p)
	for end := time.Now().Add(f.Size.Timeout); err != nil && by == f.operator && time.Now().Before(end); v, err = by.Propose(p) {
		var refused *replica.RejectedError
		if errors.As(err, &refused) {
			break
		}
		f.opt.Note("%s is proposed again: %v", why, err)
	}
	if err != nil {
		return c, fmt.Errorf("%s: %w", why, err)
	}
	c.Version, f.newest, f.rules = v.Number, v.Number, r
	f.versions = append(f.versions, &configversion.Version{Number: v.Number, Parent: v.Parent, Digest: r.Digest(), Content: r.Canonical()})
	return c, nil
}

// operatorWithin is for how long the operator's tool waits for an answer, as it does where nothing else is said. A keeper is given a part
// of it.
const operatorWithin = 10 * time.Second

// nobody is out.
func nobody(*Hollow) bool { return false }

// await waits until all gateways but those that are out act on a version alone, and names those that do not when patience is over.
func (f *Fleet) await(version uint64, out func(*Hollow) bool) []string {
	return f.poll(func() []string {
		acts := map[string]string{}
		for _, h := range f.Gateways {
			if !out(h) {
				acts[h.Name] = h.acting()
			}
		}
		return laggards(acts, version)
	})
}

// poll waits until there is nothing wrong any more, and tells what is when patience is over.
func (f *Fleet) poll(wrong func() []string) (list []string) {
	for end := time.Now().Add(f.Size.Timeout); ; time.Sleep(5 * time.Millisecond) {
		if list = wrong(); len(list) == 0 || time.Now().After(end) {
			return list
		}
	}
}

// took is how long each gateway that is not out took to act on a change alone, in milliseconds from its proposal.
func (f *Fleet) took(c Change, out func(*Hollow) bool) (list []float64) {
	for _, h := range f.Gateways {
		turns, _ := h.seen()
		if at, ok := since(turns, c.Version); ok && !out(h) {
			list = append(list, float64(at-c.At)/1e6)
		}
	}
	return list
}

// forget has all gateways' turns that were looked at let go of.
func (f *Fleet) forget() {
	for _, h := range f.Gateways {
		h.lock.Lock()
		if h.witness != nil {
			h.witness.forget()
		}
		h.lock.Unlock()
	}
}
