package main

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"irispost/internal/audit"
	"irispost/internal/day"
)

// errRuleViolated is returned if a scenario or a live replay violated a rule, or if there was nothing to check.
var errRuleViolated = errors.New("a rule was violated, or nothing was checked")

func scenarioCommand() *cobra.Command {
	command := &cobra.Command{Use: "scenario FILE", Aliases: []string{"day"}, Args: cobra.ExactArgs(1),
		Short: "Run a scripted scenario on loopback and check the seven rules"}
	reportFile := command.Flags().String("report", "", "write the report to this file as JSON")
	seed := command.Flags().Uint64("seed", 0, "seed to use instead of the script's; 0: the script's")
	inProcess := command.Flags().Bool("inside", false,
		"run the gateways in this process instead of as processes of their own")
	captures := command.Flags().String("capture", "",
		"directory for captures of the gateways' schedulers; empty: no captures")
	source := command.Flags().String("list", "own",
		"source of the gateways' endpoint list: own (a file), delta or whole (incremental or state-of-the-world xDS of a test server)")
	verbose := command.Flags().Bool("gateway-logs", false, "print the gateways' logs to standard error")
	command.RunE = func(command *cobra.Command, args []string) error {
		script, err := day.Load(args[0])
		if err != nil {
			return err
		}
		if *seed > 0 {
			script.Seed = *seed
		}
		options := day.Options{EndpointSource: *source, Logf: func(format string, args ...any) {
			writef(command.ErrOrStderr(), format+"\n", args...)
		}}
		if !*inProcess {
			if options.Program, err = os.Executable(); err != nil {
				return err
			}
		}
		if *captures != "" {
			if options.Capture, err = filepath.Abs(*captures); err != nil {
				return err
			}
		}
		if *verbose {
			options.GatewayLog = command.ErrOrStderr()
		}
		ctx, cancel := signalContext()
		defer cancel()
		report, err := day.Play(ctx, script, options)
		if err != nil {
			return err
		}
		writeScenario(command.OutOrStdout(), report)
		if err := saveScenario(*reportFile, report); err != nil {
			return err
		}
		if !report.Passed() {
			return errRuleViolated
		}
		return nil
	}
	return command
}

// saveScenario writes the report to a file as JSON, unless the name is empty.
func saveScenario(file string, report *day.Report) error {
	if file == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(file, append(encoded, '\n'), 0o644)
}

// writeScenario prints a report as tables.
func writeScenario(out io.Writer, report *day.Report) {
	table := newTable(out)
	writef(table, "jobs\t%d\tcompleted %d, dismissed %d, written off %d, left %d, ", report.Sent, report.Succeeded,
		report.Rejected, report.Failed, report.ClientCancelled)
	writef(table, "lost %d, answered twice %d, torn reads %d\n", report.Lost, report.AnsweredTwice, report.TornReads)
	writef(table, "service\t%.3f\tof %d requests, each counted once with its retries\n", report.ServedShare,
		report.Requests)
	if a := report.Agreement; a != nil {
		writef(table, "agreement\t%d\tpairs of gateways over %d versions, ", a.Pairs, a.Versions)
		writef(table, "longest contradiction %.1f ms of %.0f stated, broken %d %s\n", a.WorstMillis, a.BoundMillis,
			a.Violations, a.FirstViolation)
	}
	writef(table, "\nproduct\tjobs\tin goal\tp50 ms\tp99 ms\n")
	for _, class := range report.Classes {
		writef(table, "%s\t%d\t%d\t%.1f\t%.1f\n", class.Name, class.Sent, class.WithinObjective, class.P50, class.P99)
	}
	writeRules(table, report.Rules)
	_ = table.Flush()
}

// writeRules prints the results of the rule checker, after an empty line.
func writeRules(out io.Writer, rules []audit.RuleResult) {
	writef(out, "\nrule\tchecked\tbroken\n")
	for _, rule := range rules {
		writef(out, "%s\t%d\t%d\n", rule.Name, rule.Checked, rule.Violations)
		for _, violation := range rule.Examples {
			writef(out, "    %s\n", violation)
		}
	}
}
