package day

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"

	"irispost/internal/audit"
	"irispost/internal/config"
	"irispost/internal/endpoint"
	"irispost/internal/fleet/rig"
	"irispost/internal/gateway"
	"irispost/internal/serve"
	"irispost/internal/standin"
	"irispost/internal/xdsstandin"
)

// Report is what a day came to.
type Report struct {
	Seed    uint64 `json:"seed"`
	Seconds int    `json:"seconds"`
	audit.Summary
	Requests    int                    `json:"requests"` // with their clients' further tries folded into the first
	ServedShare float64                `json:"service"`  // the part of them that was served in its goal
	TornReads   int64                  `json:"torn_reads"`
	Rules       []audit.RuleResult     `json:"rules"`
	Agreement   *rig.Agreement         `json:"agreement,omitempty"` // of a day with keepers
	SlowStart   audit.SlowStartSummary `json:"cold"`
}

// Passed tells whether rules were checked and none was broken.
func (r *Report) Passed() bool {
	checked := false
	for _, rule := range r.Rules {
		if rule.Violations > 0 {
			return false
		}
		checked = checked || rule.Checked > 0
	}
	if a := r.Agreement; a != nil && (a.Violations > 0 || a.Pairs == 0 || a.Versions == 0) {
		return false
	}
	return checked && r.Lost == 0 && r.AnsweredTwice == 0 && r.TornReads == 0
}

// Options are how a day is played.
type Options struct {
	Program        string    // the irispost program, for gateways as processes of their own; empty: in this process
	GatewayLog     io.Writer // of the gateways
	Logf           func(format string, args ...any)
	EndpointSource string // where gateways have their list from: own or empty (a file), delta or whole (a management server)
	Capture        string // folder for the gateways' captures; empty: none
}

// noticed is how long after a change at a node the list tells of it, and delay how long until gateways have it.
const (
	noticed   = 500 * time.Millisecond
	listDelay = time.Second
	farewell  = 3 * time.Second // from when a node is listed as draining until it stops, at a replacement
)

// town is a day's installation.
type town struct {
	script *Script
	opt    Options
	conf   *config.Config
	source string // the configuration as it stands in the file
	dir    string
	record *audit.Recorder
	clock  gateway.Clock
	lock   sync.Mutex
	nodes  map[string]*place
	hosts  []*host
	plane  *xdsstandin.Server // nil: the list is a file
	fleet  *fleet             // nil: no keepers
}

// place is a node of the script, and who serves it now.
type place struct {
	plan   NodePlan
	store  *standin.Store
	node   *standin.Node
	listed []endpoint.Node // as the list has it: the present one and those that leave
}

// host is a gateway of the script.
type host struct {
	name string
	file string
	lock sync.Mutex
	addr string
	disk string // address of its disks
	in   *serve.Gateway
	out  *exec.Cmd
}

// Play plays a day.
func Play(ctx context.Context, s *Script, opt Options) (*Report, error) {
	src, err := os.ReadFile(s.Config)
	if err != nil {
		return nil, err
	}
	conf, err := config.Parse(s.Config, src)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "irispost-day")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if opt.Logf == nil {
		opt.Logf = func(string, ...any) {}
	}
	if opt.GatewayLog == nil {
		opt.GatewayLog = io.Discard
	}
	clock := gateway.NewClock()
	t := &town{script: s, opt: opt, conf: conf, source: string(src), dir: dir, clock: clock, nodes: map[string]*place{},
		record: &audit.Recorder{Clock: clock.Now}}
	defer t.close()
	if err := t.open(); err != nil {
		return nil, err
	}
	clients, totals, err := t.clients()
	if err != nil {
		return nil, err
	}
	opt.Logf("%d nodes, %d gateways and %d clients stand; the day lasts %v", len(t.nodes), len(t.hosts), len(clients), s.Length)
	var all sync.WaitGroup
	for _, c := range clients {
		all.Add(1)
		go c.run(&all)
	}
	t.troubles(ctx)
	for _, c := range clients {
		close(c.stop)
	}
	all.Wait()
	t.record.Add(audit.Event{Type: audit.NodeListed, State: "ready", At: t.clock.Now() + int64(time.Minute)}) // past all limits
	events := t.record.Events()
	report := &Report{Seed: s.Seed, Seconds: int(s.Length / time.Second), Summary: audit.Summarize(events),
		Requests: totals.requests, TornReads: totals.torn.Load(), Rules: audit.Check(events, t.terms())}
	report.SlowStart = audit.SummarizeSlowStart(events, t.terms())
	if t.fleet != nil {
		if report.Agreement, err = t.fleet.agreement(); err != nil {
			return nil, err
		}
	}
	report.ServedShare = float64(totals.inGoal) / max(float64(totals.requests), 1)
	return report, nil
}

// terms are the figures of the rules, for the check.
func (t *town) terms() audit.Parameters {
	terms := audit.ParametersFromSettings(t.conf.Settings)
	terms.Slack, terms.Transit = int64(t.script.Slack), int64(t.script.Transit)
	terms.DrainGrace, terms.ListDelay = int64(t.script.DrainGrace), int64(listDelay)
	if f := t.fleet; f != nil { // a gateway that is cut off learns of a drain by its lease's end, or its floor's
		terms.ListDelay = f.stated() + int64(f.plan.Fallback) + int64(listDelay)
	}
	plans := map[int64]string{}
	for _, v := range t.conf.Volumes {
		plans[v.ID] = v.ServiceLevel
	}
	for id, c := range t.conf.VolumeLimits {
		limit := audit.VolumeLimit(c)
		for _, change := range t.script.Fleet.Changes { // gateways act on limits by versions: the highest that there ever was is what is sure
			if change.ServiceLevel == plans[id] {
				limit.Rate = max(limit.Rate, change.RateLimit+float64(max(change.Proposers-1, 0)+change.rounds(t.script.Length)))
			}
		}
		terms.VolumeLimits[id] = limit
	}
	return terms
}

// clients makes the script's clients and waits until all have their files.
func (t *town) clients() ([]*client, *totals, error) {
	totals := &totals{}
	var list []*client
	parts := map[string]int64{}
	for g, p := range t.script.Clients {
		v := t.conf.Volumes[p.Volume]
		if v == nil {
			return nil, nil, fmt.Errorf("client %q: there is no volume %q", p.Name, p.Volume)
		}
		for i := range p.Count {
			h := t.hosts[(g+i)%len(t.hosts)]
			if n := slices.IndexFunc(t.hosts, func(h *host) bool { return h.name == p.Gateway }); n >= 0 {
				h = t.hosts[n]
			}
			c := &client{plan: p, name: fmt.Sprintf("%s-%d", p.Name, i), addr: h.where, volume: v, conf: t.conf,
				record: t.record, totals: totals, stop: make(chan struct{}),
				rand: rand.New(rand.NewPCG(t.script.Seed, uint64(len(list))+1))}
			if p.onDisk() {
				c.diskAddr, c.lun, c.base = h.whereDisk, uint16(slices.Index(t.script.diskVolumes(), p.Volume)), parts[p.Volume]
				parts[p.Volume] += int64(p.Bytes * p.Blocks)
			}
			for n := range p.Files {
				c.files = append(c.files, fmt.Sprintf("%s.%d", c.name, n))
			}
			list = append(list, c)
		}
	}
	problems := make(chan error, len(list))
	for _, c := range list {
		go func() { problems <- c.setUp() }()
	}
	var err error
	for range list {
		err = errors.Join(err, <-problems)
	}
	return list, totals, err
}
