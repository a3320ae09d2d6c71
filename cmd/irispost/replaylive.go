package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/capture"
	"irispost/internal/relive"
)

// relived plays a capture through a real gateway.
func relived(c *cobra.Command, file string, speed float64, asJSON bool) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	r, err := capture.NewReader(f)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	script, err := relive.Read(r.Next)
	if err != nil {
		return err
	}
	ctx, cancel := untilSignal()
	defer cancel()
	report, err := relive.Play(ctx, script, relive.Options{Speed: speed, Slack: 250 * time.Millisecond})
	if err != nil {
		return err
	}
	if asJSON {
		b, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		writeln(c.OutOrStdout(), string(b))
	} else {
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
		writef(w, "product\tjobs\tin goal\tlate\tdismissed\twritten off\tleft\n")
		for _, name := range slices.Sorted(maps.Keys(report.Was)) {
			for _, side := range []struct {
				name  string
				shape *relive.Shape
			}{{"captured", report.Was[name]}, {"now", report.Is[name]}} {
				if s := side.shape; s != nil {
					n := float64(max(s.Jobs, 1)) / 100
					writef(w, "%s %s\t%d\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\n", name, side.name, s.Jobs, float64(s.InGoal)/n,
						float64(s.Late)/n, float64(s.Dismissed)/n, float64(s.WrittenOff)/n, float64(s.Left)/n)
				}
			}
		}
		writef(w, "\nrule\tchecked\tbroken\n")
		for _, rule := range report.Rules {
			writef(w, "%s\t%d\t%d\n", rule.Name, rule.Checked, rule.Broken)
			for _, first := range rule.First {
				writef(w, "    %s\n", first)
			}
		}
		_ = w.Flush()
	}
	if !report.Good() {
		return errors.New("a rule is broken, or nothing was checked")
	}
	return nil
}
