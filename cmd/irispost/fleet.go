package main

import (
	"fmt"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"irispost/internal/fleet/replica"
)

func fleetCommand() *cobra.Command {
	root := &cobra.Command{Use: "fleet", Short: "How the gateways that follow versions stand"}
	dial := keepers(root)
	status := &cobra.Command{Use: "status", Short: "Show each gateway: its state, version, lease and last word", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := dial()
			if err != nil {
				return err
			}
			s, err := client.Status()
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			writef(out, "keeper %d leads in term %d; in force %d, announced %d; lease %d ms, stated time %d ms\n", s.Leader, s.Term, s.InForce, s.Announced, s.LeaseMillis, s.ConvergenceBoundMillis)
			for _, w := range s.WaitingFor {
				writeln(out, "waits for", w)
			}
			w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			writeln(w, "gateway\tstate\tholds\tlease ms\theard ms ago\t")
			for _, g := range s.Gateways {
				note := g.Fault
				if g.Unresponsive {
					note = "HANGS " + note
				}
				writef(w, "%s\t%s\t%v\t%d\t%d\t%s\n", g.Holder, g.State, g.HeldVersions, g.LeaseLeftMillis, g.LastHeardMillis, note)
			}
			return w.Flush()
		}}
	change := &cobra.Command{Use: "keepers", Short: "Show who keeps the versions, or change it: --add 4=10.0.0.4:7100 --remove 2", Args: cobra.NoArgs}
	add := change.Flags().StringToString("add", nil, "NUMBER=ADDRESS of a keeper that was started with --join; the number was never used")
	remove := change.Flags().UintSlice("remove", nil, "number of a keeper that is to vote no more; it can be ended then")
	change.RunE = func(c *cobra.Command, _ []string) error {
		client, err := dial()
		if err != nil {
			return err
		}
		if len(*add)+len(*remove) > 0 {
			v := &replica.MembershipChange{Add: map[uint64]string{}}
			for name, addr := range *add {
				n, err := strconv.ParseUint(name, 10, 32)
				if err != nil || n == 0 {
					return fmt.Errorf("--add %s=%s: a keeper's number is from 1 on", name, addr)
				}
				v.Add[n] = addr
			}
			for _, n := range *remove {
				v.Remove = append(v.Remove, uint64(n))
			}
			if err := client.ChangeMembership(v); err != nil {
				return err
			}
		}
		s, err := client.Status()
		if err != nil {
			return err
		}
		writef(c.OutOrStdout(), "keepers %v vote, %d leads\n", s.Voters, s.Leader)
		return nil
	}
	root.AddCommand(status, change, sizeCommand(), scaleCommand())
	return root
}
