package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/admin"
	"irispost/internal/endpoint"
	"irispost/internal/xdsstandin"
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

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "xds-standin", Short: "Run a stand-in xDS management server; commands come on standard input", Args: cobra.NoArgs,
		Long: "Serves the nodes of a list as Envoy clusters and endpoints, and does what it is told, a line each:\n\n" + xdsstandin.Commands +
			"\nwait SPAN                 nothing, for so long\nanswers                   what clients have answered so far"}
	listen := c.Flags().String("listen", "127.0.0.1:18000", "address to serve at")
	file := c.Flags().String("nodes", "", "the nodes to begin with, in our own form")
	clusters := c.Flags().Int("clusters", 1, "clusters that the nodes are spread over, by their shards")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var l endpoint.List
		if *file != "" {
			src, err := os.ReadFile(*file)
			if err != nil {
				return err
			}
			if l, err = endpoint.ParseList(*file, src); err != nil {
				return err
			}
		}
		s, err := xdsstandin.Start(*listen, *clusters, l.Nodes...)
		if err != nil {
			return err
		}
		defer s.Close()
		writef(c.OutOrStdout(), "the management server serves %d nodes at %s\n", len(l.Nodes), s.Addr())
		ctx, cancel := untilSignal()
		defer cancel()
		lines := make(chan string)
		go func() {
			for in := bufio.NewScanner(c.InOrStdin()); in.Scan(); {
				lines <- in.Text()
			}
		}()
		for {
			select {
			case <-ctx.Done():
				return nil
			case line := <-lines:
				word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
				switch word {
				case "":
				case "wait":
					d, err := time.ParseDuration(rest)
					if err != nil {
						writeln(c.ErrOrStderr(), err)
						continue
					}
					select {
					case <-ctx.Done():
					case <-time.After(d):
					}
				case "answers":
					for _, a := range s.Acks() {
						writef(c.OutOrStdout(), "%+v\n", a)
					}
				default:
					if err := s.Command(line); err != nil {
						writeln(c.ErrOrStderr(), err)
					}
				}
			}
		}
	}
	return c
}
