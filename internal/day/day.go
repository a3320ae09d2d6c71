// Package day plays scripted scenarios over real loopback sockets: nodes, gateways, replicas and clients, and faults at
// their times. It records what passes on the sockets and lets package audit check the rules from that record alone.
//
// The command irispost day calls Load and Play. The state of a scenario is a testbed; the timeline of faults runs on
// the goroutine of Play, each client on one of its own. Gateways run in this process or, with replicas always, as
// processes of their own.
package day

import (
	"context"
	"io"
	"os"
	"sync"
	"time"

	"irispost/internal/audit"
	"irispost/internal/config"
	"irispost/internal/fleet/rig"
	"irispost/internal/gateway"
)

// Report is the result of a scenario.
type Report struct {
	Seed    uint64 `json:"seed"`
	Seconds int    `json:"seconds"`
	audit.Summary
	Requests    int                    `json:"requests"` // with retries of clients counted as part of the first attempt
	ServedShare float64                `json:"service"`  // the share of them that was served within its objective
	TornReads   int64                  `json:"torn_reads"`
	Rules       []audit.RuleResult     `json:"rules"`
	Agreement   *rig.Agreement         `json:"agreement,omitempty"` // of a scenario with replicas
	SlowStart   audit.SlowStartSummary `json:"cold"`
}

// Passed says whether rules were checked and none was violated.
func (r *Report) Passed() bool {
	if a := r.Agreement; a != nil && (a.Violations > 0 || a.Pairs == 0 || a.Versions == 0) {
		return false
	}
	return audit.Passed(r.Rules) && r.Lost == 0 && r.AnsweredTwice == 0 && r.TornReads == 0
}

// Options are how a scenario is played.
type Options struct {
	Program        string    // the irispost program, for gateways as processes of their own; empty: in this process
	GatewayLog     io.Writer // of the gateways; nil: discarded
	Logf           func(format string, args ...any)
	EndpointSource string // of the gateways: own or empty (a file), delta or whole (a management server)
	Capture        string // folder for the gateways' captures; empty: none
}

// Play plays a scenario until its end or until the context is done. It reports what came to pass by then.
func Play(ctx context.Context, script *Script, options Options) (*Report, error) {
	source, err := os.ReadFile(script.Config)
	if err != nil {
		return nil, err
	}
	parsed, err := config.Parse(script.Config, source)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "irispost-day")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left is in the system's folder for temporary files
	if options.Logf == nil {
		options.Logf = func(string, ...any) {}
	}
	if options.GatewayLog == nil {
		options.GatewayLog = io.Discard
	}
	clock := gateway.NewClock()
	t := &testbed{
		script:     script,
		options:    options,
		config:     parsed,
		configText: string(source),
		dir:        dir,
		clock:      clock,
		nodes:      map[string]*nodeSlot{},
		recorder:   &audit.Recorder{Clock: clock.Now},
	}
	defer t.close()
	if err := t.start(); err != nil {
		return nil, err
	}
	totals := &clientTotals{}
	clients, err := t.startClients(totals)
	if err != nil {
		return nil, err
	}
	options.Logf("%d nodes, %d gateways and %d clients stand; the day lasts %v",
		len(t.nodes), len(t.gateways), len(clients), script.Length)
	var running sync.WaitGroup
	for _, client := range clients {
		running.Go(client.run)
	}
	t.playTimeline(ctx)
	for _, client := range clients {
		close(client.stop)
	}
	running.Wait()
	return t.report(totals)
}

// report checks the record of a scenario that is over.
func (t *testbed) report(totals *clientTotals) (*Report, error) {
	// The record ends past all deadlines, so that requests without an answer count as lost.
	end := t.clock.Now() + int64(time.Minute)
	t.recorder.Add(audit.Event{Type: audit.NodeListed, State: audit.StateReady, At: end})
	events := t.recorder.Events()
	parameters := t.ruleParameters()
	report := &Report{
		Seed:        t.script.Seed,
		Seconds:     int(t.script.Length / time.Second),
		Summary:     audit.Summarize(events),
		Requests:    totals.requests,
		ServedShare: float64(totals.withinObjective) / max(float64(totals.requests), 1),
		TornReads:   totals.tornReads.Load(),
		Rules:       audit.Check(events, parameters),
		SlowStart:   audit.SummarizeSlowStart(events, parameters),
	}
	if t.replicas != nil {
		agreement, err := t.replicas.auditAgreement()
		if err != nil {
			return nil, err
		}
		report.Agreement = agreement
	}
	return report, nil
}
