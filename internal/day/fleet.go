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
	"time"

	"golang.org/x/sys/unix"

	"irispost/internal/audit"
	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/fleet/rig"
	"irispost/internal/loopback"
)

// FleetPlan is the keepers of a day; none where Keepers is 0.
type FleetPlan struct {
	Replicas      int
	LeaseDuration Span
	MaxClockDrift float64
	Fallback      Span // how long a gateway whose lease has run out serves on
	Peers         bool // gateways reach each other, and deal out what cold nodes bear
	Changes       []ChangePlan
}

// ChangePlan is a change of the settings at a time, made again and again where Every is set.
type ChangePlan struct {
	At, Every    Span
	ServiceLevel string
	RateLimit    float64
	Proposers    int // operators who propose at the same time, each another limit
}

// rounds is how often a change is made again within a day.
func (c ChangePlan) rounds(length Span) int {
	if c.Every <= 0 || c.At > length {
		return 0
	}
	return int((length - c.At) / c.Every)
}

// fleet is a day's keepers, with the links between all processes.
type fleet struct {
	town    *town
	plan    FleetPlan
	links   map[[2]string]*rig.Link // from, to
	addrs   map[string]string
	lock    sync.Mutex
	keepers map[string]*exec.Cmd
	base    *configversion.Config
	limits  map[string]float64
	wanted  *configversion.Config // to be proposed next; nil: nothing
	listed  endpoint.List         // of it
	news    chan struct{}
	gone    map[string][]rig.Activation // records of gateways that have ended, by name and start
	count   int
	stop    context.CancelFunc
	done    sync.WaitGroup
	changes int
	refused int
}

// monotonic is the machine's clock that all processes read alike.
func monotonic() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // it fails for clocks that do not exist
	return t.Nano()
}

func (t *town) openFleet() error {
	f := &fleet{town: t, plan: t.script.Fleet, links: map[[2]string]*rig.Link{}, addrs: map[string]string{}, keepers: map[string]*exec.Cmd{},
		limits: map[string]float64{}, news: make(chan struct{}, 1), gone: map[string][]rig.Activation{}}
	t.fleet = f
	if t.opt.Program == "" {
		return errors.New("a day with keepers needs gateways as processes of their own")
	}
	f.base = &configversion.Config{RequiredFormat: configversion.Format, Shards: t.conf.Shards, FallbackPolicy: configversion.FallbackPolicy{Duration: int64(f.plan.Fallback), LimitFraction: 1, AllowWrites: true}}
	if t.script.Shards > 0 {
		f.base.Shards = t.script.Shards
	}
	f.base.SetFromSettings(t.conf.Settings)
	var names []string
	held := map[string]net.Listener{}
	for i := range f.plan.Replicas {
		name := fmt.Sprintf("k%d", i+1)
		l, err := net.Listen("tcp", loopback.Own()+":0")
		if err != nil {
			return err
		}
		f.addrs[name] = l.Addr().String()
		defer func() { _ = l.Close() }() // held until all addresses are taken
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
	if f.plan.Peers {
		if err := f.reach(from[len(names):], held); err != nil {
			return err
		}
	}
	for name, l := range held {
		if name[0] == 'g' {
			_ = l.Close()
		}
	}
	for _, name := range names {
		_ = held[name].Close()
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

// reach gives each gateway an address for the others, and each pair of them a link.
func (f *fleet) reach(gateways []string, held map[string]net.Listener) error {
	for _, name := range gateways {
		l, err := net.Listen("tcp", loopback.Own()+":0")
		if err != nil {
			return err
		}
		f.addrs[name], held[name] = l.Addr().String(), l
	}
	for _, a := range gateways {
		for _, b := range gateways {
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
	return nil
}

// startKeeper starts a keeper as a process; one that was there before finds its folder again.
func (f *fleet) startKeeper(name string) error {
	args := []string{"keeper", "--number", name[1:], "--listen", f.addrs[name], "--dir", filepath.Join(f.town.dir, name),
		"--lease", f.plan.LeaseDuration.String(), "--drift", fmt.Sprint(f.plan.MaxClockDrift), "--tick", "30ms", "--compact", "100"}
	for other := range f.addrs {
		if other[0] != 'k' {
			continue
		}
		addr := f.addrs[other]
		if l := f.links[[2]string{name, other}]; l != nil {
			addr = l.Addr()
		}
		args = append(args, "--peer", other[1:]+"="+addr)
	}
	for range 40 { // its address may be taken for a moment by a connection that somebody makes
		cmd := exec.Command(f.town.opt.Program, args...)
		cmd.Stderr = f.town.opt.GatewayLog
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
		_ = cmd.Wait()
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
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	f.lock.Unlock()
	for _, l := range f.links {
		l.Close()
	}
}

// configure has a gateway's configuration follow the keepers, each at the address of their pair.
func (f *fleet) configure(h *host, text string) string {
	var list []string
	for i := range f.plan.Replicas {
		list = append(list, fmt.Sprintf("%q", f.links[[2]string{h.name, fmt.Sprintf("k%d", i+1)}].Addr()))
	}
	more := ""
	if f.plan.Peers {
		more = fmt.Sprintf("  peer = %q\n  reach = {\n", f.addrs[h.name])
		for pair, l := range f.links {
			if pair[0] == h.name && pair[1][0] == 'g' {
				more += fmt.Sprintf("    %q = %q\n", f.addrs[pair[1]], l.Addr())
			}
		}
		more += "  }\n"
	}
	return nodesLine.ReplaceAllString(text, "") + fmt.Sprintf("\nfollow {\n  keepers = [%s]\n  pause = %q\n  record = %q\n%s}\n",
		strings.Join(list, ", "), (f.plan.LeaseDuration/5).String(), f.record(h), more)
}

func (f *fleet) record(h *host) string { return filepath.Join(f.town.dir, h.name+".acts") }

// ended takes up the record of a gateway that has ended: from then on it acts on nothing.
func (f *fleet) ended(h *host) {
	file, err := os.Open(f.record(h))
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	defer func() { _ = os.Remove(f.record(h)) }()
	list, err := rig.ReadActivations(file)
	if err != nil {
		f.town.opt.Logf("%s: %v", h.name, err)
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.gone[h.name] = append(append(f.gone[h.name], list...), rig.Activation{At: monotonic()})
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
	a, err := rig.AuditPairs(f.gone, versions, f.stated(), end)
	f.lock.Lock()
	f.town.opt.Logf("%d versions were announced, %d proposals refused", f.changes, f.refused)
	f.lock.Unlock()
	return &a, err
}

// stated is the time that docs/fleet.md states for this day's lease and drift.
func (f *fleet) stated() int64 {
	return replica.ConvergenceBound(lease.Settings{LeaseDuration: int64(f.plan.LeaseDuration), MaxClockDrift: f.plan.MaxClockDrift})
}

// announce notes that a list is announced.
func (t *town) announce(l endpoint.List) {
	words := map[endpoint.Health]string{endpoint.Ready: "ready", endpoint.Draining: "draining", endpoint.Removed: "gone"}
	for _, n := range l.Nodes {
		t.record.Add(audit.Event{Type: audit.NodeListed, Node: n.Addr, State: words[n.Health]})
	}
}
