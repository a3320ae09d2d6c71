package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/admin"
)

func endpointsCommand() *cobra.Command {
	command := &cobra.Command{Use: "endpoints", Aliases: []string{"members"}, Args: cobra.NoArgs,
		Short: "Show the nodes of gateways, where they come from, and what is held"}
	sockets := command.Flags().StringSlice("socket", []string{"irispost.sock"}, "admin sockets of gateways")
	asJSON := command.Flags().Bool("json", false, "print them as JSON, a line each gateway")
	confirm := command.Flags().Bool("confirm", false, "put in force what is held")
	timeout := command.Flags().Duration("within", 5*time.Second, "how long a gateway may take to answer")
	command.RunE = func(command *cobra.Command, _ []string) error {
		out := command.OutOrStdout()
		var errs []error
		for _, socket := range *sockets {
			report, err := endpointReport(out, socket, *timeout, *confirm)
			switch {
			case err != nil:
				errs = append(errs, fmt.Errorf("%s: %w", socket, err))
			case *asJSON:
				if err := json.NewEncoder(out).Encode(report); err != nil {
					return err
				}
			default:
				writeEndpoints(out, report, time.Now())
			}
		}
		return errors.Join(errs...)
	}
	return command
}

// endpointReport asks a gateway for its endpoints; where confirm is set, it puts in force what it holds before.
func endpointReport(out io.Writer, socket string, timeout time.Duration, confirm bool) (admin.EndpointReport, error) {
	client := admin.Dial(socket, timeout)
	if confirm {
		confirmed, err := client.Confirm()
		if err != nil {
			return admin.EndpointReport{}, err
		}
		writef(out, "%s: the loss of %d nodes and %d old lists are confirmed\n", socket, confirmed.Nodes, confirmed.Lists)
	}
	return client.Members()
}

// writeEndpoints writes a report for people, with ages at a time.
func writeEndpoints(out io.Writer, report admin.EndpointReport, now time.Time) {
	age := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return now.Sub(t).Round(time.Millisecond).String()
	}
	writef(out, "gateway %s, told its decision module %s ago\n", report.Gateway, age(report.SchedulerUpdatedAt))
	if loss := report.HeldLoss; loss != nil {
		writef(out, "HELD for %s: %d nodes are gone or unwell by the sources and are kept.", age(loss.Since), loss.Nodes)
		if loss.LeavesNoNodes {
			writef(out, " Nothing would be left, so it waits for the source's next word or for --confirm.")
		}
		writeln(out)
	}
	table := newTable(out)
	writeln(table, "\nsource\tstate\tfor\tversion\tsaid\tnodes\trefused\tlast refusal or trouble")
	for _, source := range report.Sources {
		last := source.LastError
		if source.LastRejection != "" {
			last = fmt.Sprintf("%s ago: %s", age(source.LastRejectionAt), source.LastRejection)
		}
		if source.HeldVersion != "" {
			last = fmt.Sprintf("version %q was left already, and is held; %s", source.HeldVersion, last)
		}
		writef(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", source.Name, source.State, age(source.Since), source.Version,
			age(source.ReceivedAt), source.Nodes, source.RejectedUpdates, last)
	}
	writeln(table, "\nnode\tshard\tzone\tstate\tfor\tout\tsource\twhy")
	for _, node := range report.Nodes {
		name := node.Addr
		if node.Name != "" {
			name += " (" + node.Name + ")"
		}
		writef(table, "%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s\n", name, node.Shard, node.Zone, node.State, age(node.Since),
			node.AttemptsInFlight, node.Source, node.Reason)
	}
	_ = table.Flush()
}
