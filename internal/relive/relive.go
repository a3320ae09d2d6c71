// Package relive plays a capture through a real gateway: the captured arrivals and lists at their times, against stand-in
// nodes on loopback that behave as the captured nodes did. The rules are checked from the sockets, and the outcome is
// compared by its shape: no two runs in real time are the same.
package relive

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"irispost/internal/audit"
	"irispost/internal/backend/node"
	"irispost/internal/capture"
	"irispost/internal/endpoint"
	"irispost/internal/gateway"
	"irispost/internal/sftp"
	"irispost/internal/standin"
	"irispost/scheduler"
)

// Script is what a capture says happened, as far as it can be played.
type Script struct {
	Gateway   string
	Seed      uint64
	Settings  scheduler.Settings
	StartedAt scheduler.Time // the module's start
	acts      []act
	nodes     map[string]*behaviour
	Captured  map[string]*ClassOutcome // by product
}

// ClassOutcome is how a product's jobs fared.
type ClassOutcome struct {
	Requests        int `json:"Jobs"`
	WithinObjective int `json:"InGoal"`
	Late            int `json:"Late"`
	Rejected        int `json:"Dismissed"`
	Failed          int `json:"WrittenOff"`
	ClientCancelled int `json:"Left"`
}

// act is something from outside that happens at a time after the start.
type act struct {
	at   scheduler.Time
	take *capture.Record // one of the three
	left string
	list *capture.Record
}

// behaviour is how a node did, by windows of time.
type behaviour struct {
	zone    string
	shard   int
	born    scheduler.Time
	windows map[int64]*window
}

type window struct {
	pace           []float64 // nanoseconds a unit, of what was served
	failed, silent int
}

const windowSpan = 250 * scheduler.Millisecond

// Read makes a script of a capture. One that is cut off is played as far as it goes; one with a gap, or that begins with a
// state, is not: what was before it is not known.
func Read(next func() (*capture.Record, error)) (*Script, error) {
	s := &Script{nodes: map[string]*behaviour{}, Captured: map[string]*ClassOutcome{}}
	type execution struct {
		job    string
		number int
	}
	sent, taken, goals := map[execution]string{}, map[string]*capture.Record{}, map[string]scheduler.Time{}
	for {
		r, err := next()
		if errors.Is(err, io.EOF) || errors.Is(err, capture.ErrCut) {
			break
		}
		if err != nil {
			return nil, err
		}
		at := r.At - s.StartedAt
		switch r.Kind {
		case capture.Header:
			s.Gateway = r.Name
		case capture.Start:
			if s.Settings != nil {
				return s, s.check() // a second life: the first is what is played
			}
			s.StartedAt, s.Seed, s.Settings = r.At, r.Seed, r.Terms
			for i := range count(r.Terms, "products.count") {
				goals[r.Terms[item(i, "name")]] = scheduler.Time(float(r.Terms, item(i, "goal")) * 1e6)
			}
		case capture.State, capture.Gap:
			return nil, fmt.Errorf("the capture has a %v %.3f s after its start, it cannot be played whole", r.Kind, float64(at)/1e9)
		case capture.Listed, capture.ListedPart:
			s.acts = append(s.acts, act{at: at, list: r})
			for _, n := range r.Nodes {
				s.nodes[n.Addr] = &behaviour{zone: n.Zone, shard: n.Shard, born: n.StartedAt, windows: map[int64]*window{}}
			}
		case capture.Take:
			s.acts = append(s.acts, act{at: at, take: r})
			taken[r.Job] = r
			s.shape(r.Product).Requests++
		case capture.Left:
			s.acts = append(s.acts, act{at: at, left: r.Job})
			if t := taken[r.Job]; t != nil {
				s.shape(t.Product).ClientCancelled++
				delete(taken, r.Job)
			}
		case capture.Ended:
			s.outcome(r, at, sent[execution{r.Job, r.Number}], taken[r.Job])
			if t := taken[r.Job]; t != nil && r.Final && r.Outcome == scheduler.OutcomeServed {
				if r.At-t.At <= goals[t.Product] {
					s.shape(t.Product).WithinObjective++
				} else {
					s.shape(t.Product).Late++
				}
			}
		case capture.Decided:
			for _, e := range r.Decision.Sent {
				sent[execution{e.Job, e.Number}] = e.Node
			}
			for _, a := range r.Decision.Ended {
				if t := taken[a.Job]; t != nil && a.State == scheduler.RequestRejected {
					s.shape(t.Product).Rejected++
				} else if t != nil {
					s.shape(t.Product).Failed++
				}
			}
		}
	}
	return s, s.check()
}

func (s *Script) check() error {
	if s.Settings == nil || len(s.acts) == 0 {
		return errors.New("the capture holds no start and no arrivals to play")
	}
	return nil
}

func (s *Script) shape(product string) *ClassOutcome {
	p := s.Captured[product]
	if p == nil {
		p = &ClassOutcome{}
		s.Captured[product] = p
	}
	return p
}

// outcome adds an outcome to its node's behaviour.
func (s *Script) outcome(r *capture.Record, at scheduler.Time, addr string, t *capture.Record) {
	b := s.nodes[addr]
	if b == nil || t == nil {
		return
	}
	began := (at - r.Took) / windowSpan
	w := b.windows[began]
	if w == nil {
		w = &window{}
		b.windows[began] = w
	}
	switch r.Outcome {
	case scheduler.OutcomeServed:
		w.pace = append(w.pace, float64(r.Took)/max(t.Units, 0.01))
	case scheduler.OutcomeError, scheduler.OutcomeReset, scheduler.OutcomeOverloaded:
		w.failed++
	case scheduler.OutcomeTimeout, scheduler.OutcomeConnectFailed:
		w.silent++
	}
}

// commands are what a node's stand-in is told, by window: how long a unit takes against its usual pace, what part fails, and
// whether it answers at all.
func (b *behaviour) commands() (usual time.Duration, at map[int64][]string) {
	var all []float64
	for _, w := range b.windows {
		all = append(all, w.pace...)
	}
	if len(all) == 0 {
		all = []float64{float64(time.Millisecond)}
	}
	slices.Sort(all)
	usual, at = time.Duration(all[len(all)/2]), map[int64][]string{}
	for n, w := range b.windows {
		served := len(w.pace)
		commands := []string{"well"}
		if served == 0 && w.silent > 0 {
			commands = append(commands, "hang")
		}
		if served > 0 {
			slices.Sort(w.pace)
			commands = append(commands, fmt.Sprintf("slow %.3f", w.pace[served/2]/float64(usual)))
		}
		if w.failed > 0 {
			commands = append(commands, fmt.Sprintf("fail %.3f", float64(w.failed)/float64(w.failed+served)))
		}
		at[n] = commands
	}
	return usual, at
}

// Options are how a script is played.
type Options struct {
	Speed float64 // times the captured pace; spans such as goals stay
	Slack time.Duration
	Log   *slog.Logger
}

// Report is what came of it.
type Report struct {
	Captured      map[string]*ClassOutcome `json:"was"`
	Replayed      map[string]*ClassOutcome `json:"is"`
	Rules         []audit.RuleResult       `json:"rules"`
	Lost          int                      `json:"lost"`
	AnsweredTwice int                      `json:"answered_twice"`
}

// Passed tells whether no rule was broken and something was checked.
func (r *Report) Passed() bool {
	checked := false
	for _, rule := range r.Rules {
		if rule.Violations > 0 {
			return false
		}
		checked = checked || rule.Checked > 0
	}
	return checked && r.Lost == 0 && r.AnsweredTwice == 0
}

// play is a script on its way.
type play struct {
	script *Script
	opt    Options
	clock  gateway.Clock
	record *audit.Recorder
	loop   *gateway.Loop
	store  map[int]*standin.Store
	nodes  map[string]*standin.Node // by captured address
	lists  map[string]endpoint.Node // as told last, by captured address
	vols   map[int64]*gateway.Volume
	kinds  map[string]uint8
	inTurn map[string]bool // products whose keys count
	goals  map[string]scheduler.Time
	lock   sync.Mutex
	jobs   map[string]*gateway.Session // by captured name
	over   sync.WaitGroup
	report *Report
	began  time.Time
	count  int
}

// Play plays a script.
func Play(ctx context.Context, s *Script, opt Options) (*Report, error) {
	if opt.Speed <= 0 {
		opt.Speed = 1
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	clock := gateway.NewClock()
	p := &play{script: s, opt: opt, clock: clock, record: &audit.Recorder{Clock: clock.Now}, store: map[int]*standin.Store{},
		nodes: map[string]*standin.Node{}, lists: map[string]endpoint.Node{}, vols: map[int64]*gateway.Volume{}, kinds: map[string]uint8{}, inTurn: map[string]bool{},
		goals: map[string]scheduler.Time{}, jobs: map[string]*gateway.Session{}, report: &Report{Captured: s.Captured, Replayed: map[string]*ClassOutcome{}}}
	defer p.close()
	words := map[string]uint8{"referenced": 1, "single-use": 2}
	for i := range count(s.Settings, "products.count") {
		name := s.Settings[item(i, "name")]
		p.kinds[name] = words[s.Settings[item(i, "kind")]]
		p.inTurn[name] = s.Settings[item(i, "in_turn")] == "true" || s.Settings[item(i, "in_turn")] == "1"
		p.goals[name] = scheduler.Time(float(s.Settings, item(i, "goal")) * 1e6)
	}
	terms := scheduler.Settings{}
	for name, v := range s.Settings {
		terms[name] = v
	}
	terms["discovery"] = "told" // lists come at their captured times, whoever asked for them
	client := node.NewClient(time.Second, 2, sftp.DefaultLimits, opt.Log)
	defer client.Close()
	p.loop = gateway.Start(gateway.Options{Name: s.Gateway, Seed: s.Seed, Settings: terms, QueueSize: 4096, Clock: clock, Nodes: client, Log: opt.Log})
	defer p.loop.Stop()
	if err := p.run(ctx); err != nil {
		return nil, err
	}
	p.over.Wait()
	p.record.Add(audit.Event{Type: audit.NodeListed, State: "ready", At: clock.Now() + int64(time.Minute)}) // past all limits
	rules := audit.ParametersFromSettings(s.Settings)
	rules.Slack, rules.Transit = int64(opt.Slack), int64(opt.Slack)
	rules.DrainGrace, rules.ListDelay = int64(float(s.Settings, "drain.grace")*1e6), int64(opt.Slack)
	events := p.record.Events()
	sum := audit.Summarize(events)
	p.report.Rules, p.report.Lost, p.report.AnsweredTwice = audit.Check(events, rules), sum.Lost, sum.AnsweredTwice
	return p.report, nil
}

// run lets what happens happen.
func (p *play) run(ctx context.Context) error {
	type step struct {
		at scheduler.Time
		do func() error
	}
	var steps []step
	for _, a := range p.script.acts {
		steps = append(steps, step{a.at, func() error { return p.act(a) }})
	}
	for addr, b := range p.script.nodes {
		_, at := b.commands()
		for n, commands := range at {
			steps = append(steps, step{n * windowSpan, func() error {
				if stand := p.nodes[addr]; stand != nil {
					for _, c := range commands {
						if err := stand.Command(c); err != nil {
							return err
						}
					}
				}
				return nil
			}})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	p.began = time.Now()
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(p.began.Add(time.Duration(float64(s.at) / p.opt.Speed)))):
		}
		if err := s.do(); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) act(a act) error {
	switch {
	case a.list != nil:
		return p.list(a.list)
	case a.take != nil:
		p.take(a.take)
	default:
		p.lock.Lock()
		s := p.jobs[a.left]
		delete(p.jobs, a.left)
		p.lock.Unlock()
		if s != nil { // else it has its answer here already
			p.record.Add(audit.Event{Type: audit.ClientDisconnected, Session: s.Name, State: "closed"})
			p.loop.CloseSession(s)
		}
	}
	return nil
}

// list starts the nodes that are new and tells the gateway of the list, with the stand-ins' addresses.
func (p *play) list(r *capture.Record) error {
	if r.Kind == capture.Listed {
		for addr, n := range p.lists {
			n.Health = endpoint.Removed
			p.lists[addr] = n
		}
	}
	for _, n := range r.Nodes {
		old, known := p.lists[n.Addr]
		if !known || n.StartedAt > old.StartedAt {
			if err := p.start(n); err != nil {
				return err
			}
		}
		p.lists[n.Addr] = n
	}
	var l endpoint.List
	words := map[endpoint.Health]string{endpoint.Ready: "ready", endpoint.Draining: "draining", endpoint.Removed: "gone"}
	for _, addr := range sorted(p.lists) {
		n := p.lists[addr]
		n.Addr = p.nodes[addr].Addr()
		if n.StartedAt > p.script.StartedAt { // on this run's clock
			n.StartedAt = p.nodes[addr].StartedAt().UnixNano()
		} else {
			n.StartedAt = 0
		}
		l.Nodes = append(l.Nodes, n)
		p.record.Add(audit.Event{Type: audit.NodeListed, Node: n.Addr, State: words[n.Health]})
	}
	p.loop.UpdateEndpoints(l)
	return nil
}

func sorted(m map[string]endpoint.Node) (names []string) {
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// start starts the stand-in of a node. Its pace is the captured one as it was, waits and all, so it has cores enough.
func (p *play) start(n endpoint.Node) error {
	b := p.script.nodes[n.Addr]
	usual, _ := b.commands()
	if p.store[n.Shard] == nil {
		store, err := standin.NewStore("")
		if err != nil {
			return err
		}
		p.store[n.Shard] = store
	}
	if old := p.nodes[n.Addr]; old != nil {
		old.Close()
	}
	stand, err := standin.Start(standin.Options{Addr: "127.0.0.1:0", Zone: n.Zone, Shard: n.Shard, Store: p.store[n.Shard], Cores: 64,
		UnitTime: usual, Queue: 4096, DedupWindow: time.Minute, Seed: p.script.Seed, Recorder: p.record})
	if err == nil {
		p.nodes[n.Addr] = stand
	}
	return err
}

// take hands in a job as it was, but for its bytes.
func (p *play) take(r *capture.Record) {
	v := p.vols[r.Volume]
	if v == nil {
		v = &gateway.Volume{ID: r.Volume, ServiceLevel: r.Plan, Gateways: r.Hosts}
		p.vols[r.Volume] = v
	}
	p.count++
	s := gateway.NewSession(p.script.Gateway + "/relive/" + strconv.Itoa(p.count))
	p.lock.Lock()
	p.jobs[r.Job] = s
	p.lock.Unlock()
	now := p.loop.Now()
	goal, stop := now+p.goals[r.Product], now+r.StopBy-r.At
	p.record.Add(audit.Event{At: now, Type: audit.RequestSent, Session: s.Name, ClientRequest: 1, RequestClass: r.Product, ObjectiveBy: goal, Deadline: stop})
	call := node.Call{Op: node.GetObject, Name: "none", Shard: r.Shard}
	if r.Write {
		call = node.Call{Op: node.PutObject, Name: r.Job, Shard: r.Shard, Data: []byte("x")}
	}
	wait := p.loop.Submit(s, &gateway.RequestSpec{Volume: v, Class: r.Product, Units: r.Units, Key: r.Key, HasKey: r.Keyed && p.inTurn[r.Product], Deadline: stop,
		ClientRequest: 1, Idempotency: p.kinds[r.Product], Call: call})
	p.over.Add(1)
	go func() {
		defer p.over.Done()
		result := <-wait
		at := p.loop.Now()
		p.lock.Lock()
		defer p.lock.Unlock()
		delete(p.jobs, r.Job)
		shape := p.report.Replayed[r.Product]
		if shape == nil {
			shape = &ClassOutcome{}
			p.report.Replayed[r.Product] = shape
		}
		shape.Requests++
		told := audit.Event{At: at, Type: audit.ResponseReceived, Session: s.Name, ClientRequest: 1}
		switch result.State {
		case scheduler.RequestSucceeded:
			if at <= goal {
				shape.WithinObjective++
			} else {
				shape.Late++
			}
		case scheduler.RequestRejected:
			told.Outcome = audit.Rejected
			shape.Rejected++
		case scheduler.RequestClientCancelled:
			shape.ClientCancelled++
			return
		default:
			told.Outcome = audit.Failed
			shape.Failed++
		}
		p.record.Add(told)
	}()
}

func (p *play) close() {
	for _, n := range p.nodes {
		n.Close()
	}
}

func item(n int, name string) string { return "products." + strconv.Itoa(n) + "." + name }

func float(t scheduler.Settings, name string) float64 {
	v, _ := strconv.ParseFloat(strings.TrimSpace(t[name]), 64)
	return v
}

func count(t scheduler.Settings, name string) int { return int(float(t, name)) }
