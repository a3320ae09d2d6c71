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
		Short: "Show gateways' nodes, the sources of the nodes, and changes that are held"}
	sockets := command.Flags().StringSlice("socket", []string{"irispost.sock"}, "paths of the gateways' admin sockets")
	asJSON := command.Flags().Bool("json", false, "print JSON, one line per gateway")
	confirm := command.Flags().Bool("confirm", false, "confirm held changes, which puts them in force")
	timeout := command.Flags().Duration("within", 5*time.Second, "timeout for the response of a gateway")
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

// endpointReport requests a gateway's endpoint report. If confirm is set, it confirms held changes first.
func endpointReport(out io.Writer, socket string, timeout time.Duration, confirm bool) (admin.EndpointReport, error) {
	client := admin.Dial(socket, timeout)
	if confirm {
		confirmed, err := client.Confirm()
		if err != nil {
			return admin.EndpointReport{}, err
		}
		writef(out, "%s: confirmed the loss of %d nodes and %d old lists\n", socket, confirmed.Nodes, confirmed.Lists)
	}
	return client.Members()
}

// writeEndpoints prints a report as text. Ages are relative to now.
func writeEndpoints(out io.Writer, report admin.EndpointReport, now time.Time) {
	age := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return now.Sub(t).Round(time.Millisecond).String()
	}
	writef(out, "gateway %s, scheduler updated %s ago\n", report.Gateway, age(report.SchedulerUpdatedAt))
	if loss := report.HeldLoss; loss != nil {
		writef(out, "HELD for %s: %d nodes are missing or unhealthy according to the sources and are kept.",
			age(loss.Since), loss.Nodes)
		if loss.LeavesNoNodes {
			writef(out, " No node would be left, so it waits for the source's next update or for --confirm.")
		}
		writeln(out)
	}
	table := newTable(out)
	writeln(table, "\nsource\tstate\tfor\tversion\tsaid\tnodes\trefused\tlast rejection or error")
	for _, source := range report.Sources {
		last := source.LastError
		if source.LastRejection != "" {
			last = fmt.Sprintf("%s ago: %s", age(source.LastRejectionAt), source.LastRejection)
		}
		if source.HeldVersion != "" {
			last = fmt.Sprintf("version %q is older than the one in force and is held; %s", source.HeldVersion, last)
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
