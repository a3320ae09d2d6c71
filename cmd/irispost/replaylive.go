package main

import (
	"io"
	"maps"
	"slices"
	"time"

	"irispost/internal/capture"
	"irispost/internal/relive"
)

// liveSlack is how long after a client's deadline a response is still accepted.
const liveSlack = 250 * time.Millisecond

// replayLive replays a capture through a real gateway and returns an error if a rule is violated.
func replayLive(out io.Writer, file string, speed float64, asJSON bool) error {
	var report *relive.Report
	err := readCapture(file, func(reader *capture.Reader) error {
		script, err := relive.Read(reader.Next)
		if err != nil {
			return err
		}
		ctx, cancel := signalContext()
		defer cancel()
		report, err = relive.Play(ctx, script, relive.Options{Speed: speed, Slack: liveSlack})
		return err
	})
	if err != nil {
		return err
	}
	if !asJSON {
		writeLiveReplay(out, report)
	} else if err := writeJSON(out, report); err != nil {
		return err
	}
	if !report.Passed() {
		return errRuleViolated
	}
	return nil
}

func writeLiveReplay(out io.Writer, report *relive.Report) {
	table := newTable(out)
	writef(table, "product\tjobs\tin goal\tlate\tdismissed\twritten off\tleft\n")
	for _, name := range slices.Sorted(maps.Keys(report.Captured)) {
		writeClassOutcome(table, name+" captured", report.Captured[name])
		writeClassOutcome(table, name+" now", report.Replayed[name])
	}
	writeRules(table, report.Rules)
	_ = table.Flush()
}

// writeClassOutcome prints how a class's requests ended, as percentages. A nil outcome means that there were none.
func writeClassOutcome(out io.Writer, name string, outcome *relive.ClassOutcome) {
	if outcome == nil {
		return
	}
	percent := func(count int) float64 { return float64(count) / (float64(max(outcome.Requests, 1)) / 100) }
	writef(out, "%s\t%d\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\n", name, outcome.Requests, percent(outcome.WithinObjective),
		percent(outcome.Late), percent(outcome.Rejected), percent(outcome.Failed), percent(outcome.ClientCancelled))
}
