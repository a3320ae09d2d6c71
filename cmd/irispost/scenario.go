package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"irispost/internal/day"
)

func dayCommand() *cobra.Command {
	c := &cobra.Command{Use: "day FILE", Short: "Play a scripted day over loopback and check the seven rules", Args: cobra.ExactArgs(1)}
	out := c.Flags().String("report", "", "write the report there, as JSON")
	seed := c.Flags().Uint64("seed", 0, "another seed than the script's")
	inside := c.Flags().Bool("inside", false, "run the gateways in this process; they are processes of their own otherwise")
	captures := c.Flags().String("capture", "", "folder for captures of the gateways' modules")
	source := c.Flags().String("list", "own", "where gateways have their list from: own (a file), delta or whole (an xDS server, a stand-in)")
	verbose := c.Flags().Bool("gateway-logs", false, "show the gateways' logs")
	c.RunE = func(c *cobra.Command, args []string) error {
		s, err := day.Load(args[0])
		if err != nil {
			return err
		}
		if *seed > 0 {
			s.Seed = *seed
		}
		opt := day.Options{List: *source, Note: func(format string, a ...any) { writef(c.ErrOrStderr(), format+"\n", a...) }}
		if !*inside {
			if opt.Program, err = os.Executable(); err != nil {
				return err
			}
		}
		if *captures != "" {
			if opt.Capture, err = filepath.Abs(*captures); err != nil {
				return err
			}
		}
		if *verbose {
			opt.Log = c.ErrOrStderr()
		}
		ctx, cancel := untilSignal()
		defer cancel()
		r, err := day.Play(ctx, s, opt)
		if err != nil {
			return err
		}
		table(c, r)
		if *out != "" {
			b, err := json.MarshalIndent(r, "", "  ")
			if err != nil {
				return err
			}
			if err := renameio.WriteFile(*out, append(b, '\n'), 0o644); err != nil {
				return err
			}
		}
		if !r.Good() {
			return errors.New("a rule is broken, or nothing was checked")
		}
		return nil
	}
	return c
}

func table(c *cobra.Command, r *day.Report) {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
	writef(w, "jobs\t%d\tcompleted %d, dismissed %d, written off %d, left %d, lost %d, answered twice %d, torn reads %d\n",
		r.Jobs, r.Completed, r.Dismissed, r.WrittenOff, r.Left, r.Lost, r.Twice, r.TornReads)
	writef(w, "service\t%.3f\tof %d requests, with their further tries folded into the first\n", r.Service, r.Requests)
	if a := r.Agreement; a != nil {
		writef(w, "agreement\t%d\tpairs of gateways over %d versions, longest contradiction %.1f ms of %.0f stated, broken %d %s\n", a.Pairs, a.Versions, a.WorstMillis,
			a.BoundMillis, a.Violations, a.FirstViolation)
	}
	writef(w, "\nproduct\tjobs\tin goal\tp50 ms\tp99 ms\n")
	for _, p := range r.Products {
		writef(w, "%s\t%d\t%d\t%.1f\t%.1f\n", p.Name, p.Jobs, p.InGoal, p.P50, p.P99)
	}
	writef(w, "\nrule\tchecked\tbroken\n")
	for _, rule := range r.Rules {
		writef(w, "%s\t%d\t%d\n", rule.Name, rule.Checked, rule.Broken)
		for _, first := range rule.First {
			writef(w, "    %s\n", first)
		}
	}
	_ = w.Flush()
}
