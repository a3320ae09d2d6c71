package main

import (
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/admin"
)

const statusTimeout = 5 * time.Second

func statusCommand() *cobra.Command {
	command := &cobra.Command{Use: "status", Short: "Show a gateway's status", Args: cobra.NoArgs}
	socket := addSocketFlag(command)
	asJSON := command.Flags().Bool("json", false, "print the status as JSON")
	command.RunE = func(command *cobra.Command, _ []string) error {
		status, err := admin.Dial(*socket, statusTimeout).Status()
		if err != nil {
			return err
		}
		if *asJSON {
			return writeJSON(command.OutOrStdout(), status)
		}
		return writeStatus(command.OutOrStdout(), status)
	}
	return command
}

func writeStatus(out io.Writer, status admin.Status) error {
	table := newTable(out)
	writef(table, "gateway %s at %s, since %s: %d jobs held, %d executions out, %d late answers dropped\n", status.Gateway,
		status.Address, status.Since.UTC().Format(time.RFC3339), status.Requests, status.AttemptsInFlight, status.LateAnswers)
	writef(table, "nodes:")
	for _, state := range slices.Sorted(maps.Keys(status.Nodes)) {
		writef(table, " %d %s", status.Nodes[state], state)
	}
	if status.Version != "" {
		writef(table, "; rules: %s", status.Version)
	}
	if status.HeldLoss != nil {
		writef(table, "; the loss of %d is HELD, see irispost members", status.HeldLoss.Nodes)
	}
	writef(table, "\ncapture: on %v %s\n\n", status.Capture.On, status.Capture.File)
	writef(table, "product\ttaken\tcompleted\tdismissed\twritten off\tleft\n")
	for _, name := range slices.Sorted(maps.Keys(status.RequestClasses)) {
		counts := status.RequestClasses[name]
		writef(table, "%s\t%d\t%d\t%d\t%d\t%d\n", name, counts.Accepted, counts.Succeeded, counts.Rejected, counts.Failed,
			counts.Cancelled)
	}
	return table.Flush()
}
