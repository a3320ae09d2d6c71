package day

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"irispost/internal/audit"
	"irispost/internal/fleet/accord"
	"irispost/internal/fleet/keep"
	"irispost/internal/fleet/rig"
	"irispost/internal/fleet/rules"
	"irispost/internal/listing"
)

// FleetPlan is the keepers of a day; none where Keepers is 0.
type FleetPlan struct {
	Keepers int
	Lease   Span
	Drift   float64
	Floor   Span // how long a gateway whose lease has run out serves on
	Changes []ChangePlan
}

// ChangePlan is a change of the settings at a time, made again and again where Every is set.
type ChangePlan struct {
	At, Every Span
	Plan      string
	Limit     float64
	Race      int // operators who propose at the same time, each another limit
}

// fleet is a day's keepers, with the links between all processes.
type fleet struct {
	town    *town
	plan    FleetPlan
	links   map[[2]string]*rig.Link // from, to
	addrs   map[string]string
	lock    sync.Mutex
	keepers map[string]*exec.Cmd
	base    *rules.Rules
	limits  map[string]float64
	wanted  *rules.Rules // to be proposed next; nil: nothing
	listed  listing.List // of it
	news    chan struct{}
	gone    map[string][]rig.Acts // records of gateways that have ended, by name and start
	count   int
	stop    context.CancelFunc
	done    sync.WaitGroup
	changes int
	refused int
}

// monotonic is the machine's clock that all processes read alike.
func monotonic() int64 {
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano()
}

func (t *town) openFleet() error {
	f := &fleet{town: t, plan: t.script.Fleet, links: map[[2]string]*rig.Link{}, addrs: map[string]string{}, keepers: map[string]*exec.Cmd{},
		limits: map[string]float64{}, news: make(chan struct{}, 1), gone: map[string][]rig.Acts{}}
	t.fleet = f
	if t.opt.Program == "" {
		return errors.New("a day with keepers needs gateways as processes of their own")
	}
	f.base = &rules.Rules{Needs: rules.Form, Shards: t.conf.Shards, Floor: rules.Floor{For: int64(f.plan.Floor), Limits: 1, Writes: true}}
	if t.script.Shards > 0 {
		f.base.Shards = t.script.Shards
	}
	f.base.Agree(t.conf.Terms)
	var names []string
	held := map[string]net.Listener{}
	for i := range f.plan.Keepers {
		name := fmt.Sprintf("k%d", i+1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		f.addrs[name] = l.Addr().String()
		defer l.Close() // held until all addresses are taken
		held[name] = l
		names = append(names, name)
	}
	from := slices.Clone(names)
	for i := range t.script.Gateways {
		from = append(from, fmt.Sprintf("g%d", i+1))
	}
	for _, a := range from {
		for _, b := range names {
			if a == b {
				continue
			}
			l, err := rig.NewLink(f.addrs[b])
			if err != nil {
				return err
			}
			f.links[[2]string{a, b}] = l
		}
	}
	for _, name := range names {
		held[name].Close()
		if err := f.startKeeper(name); err != nil {
			return err
		}
	}
	var ctx context.Context
	ctx, f.stop = context.WithCancel(context.Background())
	f.done.Add(1)
	go func() { defer f.done.Done(); f.operator(ctx) }()
	return nil
}

// startKeeper starts a keeper as a process; one that was there before finds its folder again.
func (f *fleet) startKeeper(name string) error {
	args := []string{"keeper", "--number", name[1:], "--listen", f.addrs[name], "--dir", filepath.Join(f.town.dir, name),
		"--lease", f.plan.Lease.String(), "--drift", fmt.Sprint(f.plan.Drift), "--tick", "30ms", "--compact", "100"}
	for other := range f.addrs {
		addr := f.addrs[other]
		if l := f.links[[2]string{name, other}]; l != nil {
			addr = l.Addr()
		}
		args = append(args, "--peer", other[1:]+"="+addr)
	}
	for range 40 { // its address may be taken for a moment by a connection that somebody makes
		cmd := exec.Command(f.town.opt.Program, args...)
		cmd.Stderr = f.town.opt.Log
		out, err := cmd.StdoutPipe()
		if err != nil {
			return err
		}
		if err := cmd.Start(); err != nil {
			return err
		}
		if _, err := bufio.NewReader(out).ReadString('\n'); err == nil {
			f.lock.Lock()
			f.keepers[name] = cmd
			f.lock.Unlock()
			return nil
		}
		cmd.Wait()
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("keeper %s does not start", name)
}

func (f *fleet) close() {
	if f.stop != nil {
		f.stop()
		f.done.Wait()
	}
	f.lock.Lock()
	for _, cmd := range f.keepers {
		cmd.Process.Kill()
		cmd.Wait()
	}
	f.lock.Unlock()
	for _, l := range f.links {
		l.Close()
	}
}

// client speaks to the keepers as an operator: no link is between, as the operators' machine is not part of the day's faults.
func (f *fleet) client(within time.Duration) *keep.Client {
	c := &keep.Client{Within: within}
	for _, addr := range f.addrs {
		c.Keepers = append(c.Keepers, addr)
	}
	return c
}

// want has the list as it is now, with the limits in force, be proposed. One that was not proposed yet is out of date.
func (f *fleet) want(l listing.List) {
	r := rules.Meet(f.base, f.base)
	for _, n := range l.Nodes {
		r.Nodes[n.Addr] = rules.Node{Name: n.Name, Zone: n.Zone, Shard: n.Shard, Born: n.Born, Standing: n.Standing, Weight: n.Weight}
	}
	f.lock.Lock()
	for name, limit := range f.limits {
		p := r.Plans[name]
		p.Limit = limit
		r.Plans[name] = p
	}
	f.wanted, f.listed = r, l
	f.lock.Unlock()
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// operator proposes what is wanted, until it is in the log.
func (f *fleet) operator(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.news:
		}
		for ctx.Err() == nil {
			f.lock.Lock()
			r, l := f.wanted, f.listed
			f.lock.Unlock()
			if f.propose(ctx, r, "day", 0) {
				f.town.announce(l)
				break
			}
		}
	}
}

// propose proposes rules against the newest version; false: they are not in the log.
func (f *fleet) propose(ctx context.Context, r *rules.Rules, author string, parent uint64) bool {
	c := f.client(5 * time.Second)
	if parent == 0 {
		s, err := c.Status()
		if err != nil {
			return false
		}
		parent = s.Announced
	}
	f.lock.Lock()
	f.count++
	id := fmt.Sprint("day ", f.count)
	f.lock.Unlock()
	for ctx.Err() == nil {
		v, err := c.Propose(&accord.Proposal{ID: id, Parent: parent, Over: true, Author: author, Why: "the day's script", Rules: r.Canonical()})
		var refused *keep.RefusedError
		f.lock.Lock()
		if err == nil {
			f.changes++
		} else if errors.As(err, &refused) {
			f.refused++
		}
		f.lock.Unlock()
		if err == nil {
			f.town.opt.Note("version %s is announced", v.Name())
			return true
		}
		if errors.As(err, &refused) {
			f.town.opt.Note("a proposal is refused: %v", err)
			return false
		}
	}
	return false
}

// change makes a change of the script.
func (f *fleet) change(c ChangePlan, round int) {
	f.lock.Lock()
	f.limits[c.Plan] = c.Limit + float64(round)
	f.lock.Unlock()
	if c.Race < 2 {
		f.town.list()
		return
	}
	s, err := f.client(5 * time.Second).Status()
	if err != nil || s.Newest == nil {
		return
	}
	r, err := s.Newest.Open()
	if err != nil {
		return
	}
	for i := range c.Race {
		own := rules.Meet(r, r)
		p := own.Plans[c.Plan]
		p.Limit = c.Limit + float64(i)
		own.Plans[c.Plan] = p
		f.done.Add(1)
		go func() {
			defer f.done.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			f.propose(ctx, own, fmt.Sprintf("operator %d", i+1), s.Announced)
		}()
	}
}

// acts are the steps of a trouble between processes, or with one of them.
func (f *fleet) acts(tr TroublePlan) []act {
	end := tr.At + tr.For
	note := f.town.opt.Note
	if len(tr.Between) > 0 {
		fault, _ := rig.ParseFault(tr.Do) // checked when the script was read
		set := func(to rig.Fault, word string) func() {
			return func() {
				note("%s: %s", strings.Join(tr.Between, " - "), word)
				for pair, l := range f.links {
					if f.within(pair, tr.Between) {
						l.Set(to)
					}
				}
			}
		}
		return []act{{tr.At, set(fault, tr.Do)}, {end, set(rig.Fault{}, "well")}}
	}
	if tr.Do == "stop" {
		return []act{{tr.At, func() { f.signal(tr.Keeper+tr.Gateway, syscall.SIGSTOP) }}, {end, func() { f.signal(tr.Keeper+tr.Gateway, syscall.SIGCONT) }}}
	}
	var names []string
	for name := range f.addrs {
		if tr.Keeper == name || tr.Keeper == "all" {
			names = append(names, name)
		}
	}
	return []act{{tr.At, func() {
		for _, name := range names {
			note("%s is killed", name)
			f.lock.Lock()
			cmd := f.keepers[name]
			delete(f.keepers, name)
			f.lock.Unlock()
			cmd.Process.Kill()
			cmd.Wait()
		}
	}}, {end, func() {
		for _, name := range names {
			note("%s starts again", name)
			if err := f.startKeeper(name); err != nil {
				note("%v", err)
			}
		}
	}}}
}

// within tells whether a link lies between the two sides of a trouble. A side is names with commas between.
func (f *fleet) within(pair [2]string, sides []string) bool {
	on := func(name, side string) bool { return slices.Contains(strings.Split(side, ","), name) }
	return on(pair[0], sides[0]) && on(pair[1], sides[1]) || on(pair[0], sides[1]) && on(pair[1], sides[0])
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.town.opt.Note("%s: %v", name, s)
	f.lock.Lock()
	defer f.lock.Unlock()
	if cmd := f.keepers[name]; cmd != nil {
		cmd.Process.Signal(s)
		return
	}
	for _, h := range f.town.hosts {
		if h.name == name {
			h.lock.Lock()
			if h.out != nil {
				if s == syscall.SIGSTOP {
					f.town.record.Add(audit.Event{What: audit.Stood, Gateway: name})
				}
				h.out.Process.Signal(s)
				if s == syscall.SIGCONT {
					f.town.record.Add(audit.Event{What: audit.WentOn, Gateway: name})
				}
			}
			h.lock.Unlock()
		}
	}
}

// configure has a gateway's configuration follow the keepers, each at the address of their pair.
func (f *fleet) configure(h *host, text string) string {
	var list []string
	for i := range f.plan.Keepers {
		list = append(list, fmt.Sprintf("%q", f.links[[2]string{h.name, fmt.Sprintf("k%d", i+1)}].Addr()))
	}
	return nodesLine.ReplaceAllString(text, "") + fmt.Sprintf("\nfollow {\n  keepers = [%s]\n  pause = %q\n  record = %q\n}\n",
		strings.Join(list, ", "), (f.plan.Lease/5).String(), f.record(h))
}

func (f *fleet) record(h *host) string { return filepath.Join(f.town.dir, h.name+".acts") }

// ended takes up the record of a gateway that has ended: from then on it acts on nothing.
func (f *fleet) ended(h *host) {
	file, err := os.Open(f.record(h))
	if err != nil {
		return
	}
	defer file.Close()
	defer os.Remove(f.record(h))
	list, err := rig.ReadActs(file)
	if err != nil {
		f.town.opt.Note("%s: %v", h.name, err)
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.gone[h.name] = append(append(f.gone[h.name], list...), rig.Acts{At: monotonic()})
}

// agreement audits what all gateways acted on.
func (f *fleet) agreement() (*rig.Agreement, error) {
	end := monotonic()
	versions, err := f.client(20 * time.Second).Versions(1)
	if err != nil {
		return nil, err
	}
	for _, h := range f.town.hosts {
		h.stop()
		f.ended(h)
	}
	a, err := rig.Agree(f.gone, versions, f.stated(), end)
	f.lock.Lock()
	f.town.opt.Note("%d versions were announced, %d proposals refused", f.changes, f.refused)
	f.lock.Unlock()
	return &a, err
}

// stated is the time that docs/fleet.md states for this day's lease and drift.
func (f *fleet) stated() int64 {
	return keep.Stated(accord.Terms{Lease: int64(f.plan.Lease), Drift: f.plan.Drift})
}

// announce notes that a list is announced.
func (t *town) announce(l listing.List) {
	words := map[listing.Standing]string{listing.Ready: "ready", listing.Draining: "draining", listing.Gone: "gone"}
	for _, n := range l.Nodes {
		t.record.Add(audit.Event{What: audit.Listed, Node: n.Addr, Word: words[n.Standing]})
	}
}
