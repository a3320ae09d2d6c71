package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/admin"
)

func membersCommand() *cobra.Command {
	c := &cobra.Command{Use: "members", Short: "Show the nodes of gateways, where they come from, and what is held", Args: cobra.NoArgs}
	sockets := c.Flags().StringSlice("socket", []string{"irispost.sock"}, "admin sockets of gateways")
	asJSON := c.Flags().Bool("json", false, "print them as JSON, a line each gateway")
	confirm := c.Flags().Bool("confirm", false, "have what is held taken at its word")
	within := c.Flags().Duration("within", 5*time.Second, "how long a gateway may take to answer")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var problems error
		for _, socket := range *sockets {
			a := admin.Dial(socket, *within)
			if *confirm {
				f, err := a.Confirm()
				if err != nil {
					problems = errors.Join(problems, fmt.Errorf("%s: %w", socket, err))
					continue
				}
				writef(c.OutOrStdout(), "%s: the loss of %d nodes and %d old lists are confirmed\n", socket, f.Nodes, f.Lists)
			}
			m, err := a.Members()
			switch {
			case err != nil:
				problems = errors.Join(problems, fmt.Errorf("%s: %w", socket, err))
			case *asJSON:
				if err := json.NewEncoder(c.OutOrStdout()).Encode(m); err != nil {
					return err
				}
			default:
				showMembers(c.OutOrStdout(), m, time.Now())
			}
		}
		return problems
	}
	return c
}

// showMembers prints them for people.
func showMembers(out io.Writer, m admin.EndpointReport, now time.Time) {
	age := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return now.Sub(t).Round(time.Millisecond).String()
	}
	writef(out, "gateway %s, told its decision module %s ago\n", m.Gateway, age(m.ScheduledAt))
	if h := m.HeldLoss; h != nil {
		writef(out, "HELD for %s: %d nodes are gone or unwell by the sources and are kept.", age(h.Since), h.Nodes)
		if h.LeavesNone {
			writef(out, " Nothing would be left, so it waits for the source's next word or for --confirm.")
		}
		writeln(out)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	writeln(w, "\nsource\tstate\tfor\tversion\tsaid\tnodes\trefused\tlast refusal or trouble")
	for _, s := range m.Sources {
		last := s.LastError
		if s.LastRejection != "" {
			last = fmt.Sprintf("%s ago: %s", age(s.LastRejectionAt), s.LastRejection)
		}
		if s.HeldVersion != "" {
			last = fmt.Sprintf("version %q was left already, and is held; %s", s.HeldVersion, last)
		}
		writef(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", s.Name, s.State, age(s.Since), s.Version, age(s.ReceivedAt), s.Nodes, s.RejectedUpdates, last)
	}
	writeln(w, "\nnode\tshard\tzone\tstate\tfor\tout\tsource\twhy")
	for _, n := range m.Nodes {
		name := n.Addr
		if n.Name != "" {
			name += " (" + n.Name + ")"
		}
		writef(w, "%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s\n", name, n.Shard, n.Zone, n.State, age(n.Since), n.AttemptsInFlight, n.Source, n.Reason)
	}
	_ = w.Flush()
}
