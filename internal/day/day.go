// Package day plays scripted scenarios: it runs nodes, gateways, replicas and clients on loopback sockets and injects
// faults at scripted times. It records the messages on the sockets, and package audit checks the rules from that
// record alone.
//
// The command "irispost scenario" calls Load and Play. A testbed holds the state of a scenario. The timeline of faults
// runs on the goroutine that called Play, and each client on its own goroutine. Gateways run in this process or as
// separate processes; a scenario with replicas needs separate processes.
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
	Requests    int                    `json:"requests"` // a request and its retries by the client count as one
	ServedShare float64                `json:"service"`  // share of Requests that were served within their objective
	TornReads   int64                  `json:"torn_reads"`
	Rules       []audit.RuleResult     `json:"rules"`
	Agreement   *rig.Agreement         `json:"agreement,omitempty"` // nil in a scenario without replicas
	SlowStart   audit.SlowStartSummary `json:"cold"`
}

// Passed reports whether all checks passed: the rules, the agreement of the gateways if there are replicas, and no
// lost request, duplicate response or torn read. An agreement that compared nothing does not pass.
func (r *Report) Passed() bool {
	if a := r.Agreement; a != nil && (a.Violations > 0 || a.Pairs == 0 || a.Versions == 0) {
		return false
	}
	return audit.Passed(r.Rules) && r.Lost == 0 && r.AnsweredTwice == 0 && r.TornReads == 0
}

// Options selects how a scenario is played.
type Options struct {
	Program        string    // path of irispost, to run gateways as separate processes; empty: in this process
	GatewayLog     io.Writer // receives the logs of gateways and replicas; nil: discarded
	Logf           func(format string, args ...any)
	EndpointSource string // "own" or empty: a file; "delta": incremental xDS; "whole": state-of-the-world xDS
	Capture        string // folder for the gateways' captures; empty: no captures
}

// Play plays a scenario until its end or until the context is done, and reports on the time until then.
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
	defer func() { _ = os.RemoveAll(dir) }() // what remains is in the system's folder for temporary files
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
	options.Logf("started %d nodes, %d gateways and %d clients; the scenario takes %v",
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

// report audits the recorded events after the end of a scenario.
func (t *testbed) report(totals *clientTotals) (*Report, error) {
	// The last event is later than all deadlines, so that requests without a response count as lost.
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
