package relive

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"irispost/internal/audit"
	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/internal/gateway"
	"irispost/internal/sftp"
	"irispost/internal/standin"
	"irispost/scheduler"
)

// Settings of the gateway and the test nodes in a play.
const (
	dialTimeout        = time.Second
	connectionsPerNode = 2
	loopQueueSize      = 4096
	nodeCores          = 64 // many, as captured durations already include waiting for a core
	nodeQueue          = 4096
	nodeDedupWindow    = time.Minute
)

// Options control how a script is played.
type Options struct {
	Speed float64       // relative to the capture; durations such as latency objectives are not scaled; 0: 1
	Slack time.Duration // tolerance of the rules: Slack, Transit and ListDelay of audit.Parameters
	Log   *slog.Logger  // log of the gateway; nil: discarded
}

// Report is the result of a play.
type Report struct {
	Captured      map[string]*ClassOutcome `json:"was"`
	Replayed      map[string]*ClassOutcome `json:"is"`
	Rules         []audit.RuleResult       `json:"rules"`
	Lost          int                      `json:"lost"`
	AnsweredTwice int                      `json:"answered_twice"`
}

// Passed reports whether rules were checked and none was violated.
func (r *Report) Passed() bool {
	return audit.Passed(r.Rules) && r.Lost == 0 && r.AnsweredTwice == 0
}

// play is a script that is being played. Its steps run on the goroutine of Play. Each request has a goroutine that
// waits for its result.
type play struct {
	script   *Script
	options  Options
	clock    gateway.Clock
	recorder *audit.Recorder
	loop     *gateway.Loop
	stores   map[int]*standin.Store    // by shard
	nodes    map[string]*standin.Node  // by captured address
	listed   map[string]endpoint.Node  // last captured state, by captured address
	volumes  map[int64]*gateway.Volume // by ID
	classes  map[string]requestClass   // by name
	requests int                       // number submitted so far
	waiting  sync.WaitGroup            // for the results of requests

	lock     sync.Mutex                  // guards the fields below
	sessions map[string]*gateway.Session // of requests in flight, by captured request ID
	replayed map[string]*ClassOutcome    // by request class
}

// Play plays a script to its end and returns the report. If the context is done earlier, it returns the context's
// error.
func Play(ctx context.Context, script *Script, options Options) (*Report, error) {
	if options.Speed <= 0 {
		options.Speed = 1
	}
	if options.Log == nil {
		options.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	p := newPlay(script, options)
	defer p.close()
	client := node.NewClient(dialTimeout, connectionsPerNode, sftp.DefaultLimits, options.Log)
	defer client.Close()
	settings := maps.Clone(script.Settings)
	settings["discovery"] = "told" // endpoint lists arrive at their captured times instead of being polled
	p.loop = gateway.Start(gateway.Options{
		Name:      script.Gateway,
		Seed:      script.Seed,
		Settings:  settings,
		QueueSize: loopQueueSize,
		Clock:     p.clock,
		Nodes:     client,
		Log:       options.Log,
	})
	defer p.loop.Stop()
	if err := p.run(ctx); err != nil {
		return nil, err
	}
	p.waiting.Wait()
	return p.report(), nil
}

func newPlay(script *Script, options Options) *play {
	clock := gateway.NewClock()
	p := &play{
		script:   script,
		options:  options,
		clock:    clock,
		recorder: &audit.Recorder{Clock: clock.Now},
		stores:   map[int]*standin.Store{},
		nodes:    map[string]*standin.Node{},
		listed:   map[string]endpoint.Node{},
		volumes:  map[int64]*gateway.Volume{},
		classes:  map[string]requestClass{},
		sessions: map[string]*gateway.Session{},
		replayed: map[string]*ClassOutcome{},
	}
	for _, class := range requestClasses(script.Settings) {
		p.classes[class.name] = class
	}
	return p
}

// report checks the recorded events of a play that is over.
func (p *play) report() *Report {
	// An event after all deadlines makes requests without an answer count as lost.
	end := p.clock.Now() + int64(time.Minute)
	p.recorder.Add(audit.Event{Type: audit.NodeListed, State: audit.StateReady, At: end})
	parameters := audit.ParametersFromSettings(p.script.Settings)
	parameters.Slack = int64(p.options.Slack)
	parameters.Transit = int64(p.options.Slack)
	parameters.DrainGrace = milliseconds(p.script.Settings, "drain.grace")
	parameters.ListDelay = int64(p.options.Slack)
	events := p.recorder.Events()
	summary := audit.Summarize(events)
	return &Report{
		Captured:      p.script.Captured,
		Replayed:      p.replayed,
		Rules:         audit.Check(events, parameters),
		Lost:          summary.Lost,
		AnsweredTwice: summary.AnsweredTwice,
	}
}

// step is an action at a time after the start.
type step struct {
	at  scheduler.Time
	run func() error
}

// run runs the steps of the script at their times, scaled by the speed.
func (p *play) run(ctx context.Context) error {
	steps := p.steps()
	began := time.Now()
	for _, step := range steps {
		at := began.Add(time.Duration(float64(step.at) / p.options.Speed))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(at)):
		}
		if err := step.run(); err != nil {
			return err
		}
	}
	return nil
}

// steps returns the events of the script and the changes of the nodes' behavior, ordered by time.
func (p *play) steps() []step {
	var steps []step
	for _, event := range p.script.events {
		steps = append(steps, step{event.at, func() error { return p.playEvent(event) }})
	}
	for address, behavior := range p.script.nodes {
		medianUnitTime := behavior.medianUnitTime()
		for index, window := range behavior.windows {
			commands := window.commands(medianUnitTime)
			steps = append(steps, step{index * windowLength, func() error { return p.sendCommands(address, commands) }})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}

func (p *play) playEvent(event event) error {
	switch {
	case event.list != nil:
		return p.updateEndpoints(event.list)
	case event.arrival != nil:
		p.submit(event.arrival)
	default:
		p.cancel(event.cancelled)
	}
	return nil
}
