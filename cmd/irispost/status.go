package main

import (
	"encoding/json"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/admin"
)

func statusCommand() *cobra.Command {
	c := &cobra.Command{Use: "status", Short: "Tell how a gateway stands", Args: cobra.NoArgs}
	socket := c.Flags().String("socket", "irispost.sock", "the gateway's admin socket")
	asJSON := c.Flags().Bool("json", false, "print it as JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := admin.Dial(*socket, 5*time.Second).Status()
		if err != nil {
			return err
		}
		if *asJSON {
			b, err := json.MarshalIndent(s, "", "  ")
			if err != nil {
				return err
			}
			writeln(c.OutOrStdout(), string(b))
			return nil
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
		writef(w, "gateway %s at %s, since %s: %d jobs held, %d executions out, %d late answers dropped\n", s.Gateway, s.Address,
			s.Since.UTC().Format(time.RFC3339), s.Requests, s.AttemptsInFlight, s.LateAnswers)
		writef(w, "nodes:")
		for _, state := range slices.Sorted(maps.Keys(s.Nodes)) {
			writef(w, " %d %s", s.Nodes[state], state)
		}
		if s.Version != "" {
			writef(w, "; rules: %s", s.Version)
		}
		if s.HeldLoss != nil {
			writef(w, "; the loss of %d is HELD, see irispost members", s.HeldLoss.Nodes)
		}
		writef(w, "\ncapture: on %v %s\n\nproduct\ttaken\tcompleted\tdismissed\twritten off\tleft\n", s.Capture.On, s.Capture.File)
		for _, name := range slices.Sorted(maps.Keys(s.RequestClasses)) {
			p := s.RequestClasses[name]
			writef(w, "%s\t%d\t%d\t%d\t%d\t%d\n", name, p.Accepted, p.Succeeded, p.Rejected, p.Failed, p.Cancelled)
		}
		return w.Flush()
	}
	return c
}
