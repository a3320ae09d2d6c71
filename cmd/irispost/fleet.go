package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"irispost/internal/fleet/replica"
)

func fleetCommand() *cobra.Command {
	command := &cobra.Command{Use: "fleet", Short: "Inspect and benchmark replicas and the gateways that follow them"}
	connect := addReplicaFlags(command)
	command.AddCommand(fleetStatusCommand(connect), fleetReplicasCommand(connect))
	command.AddCommand(fleetBenchCommand(), fleetScaleCommand())
	return command
}

func fleetStatusCommand(connect replicaClient) *cobra.Command {
	command := &cobra.Command{Use: "status", Args: cobra.NoArgs,
		Short: "Show the state, versions, lease and last renewal of each gateway"}
	command.RunE = func(command *cobra.Command, _ []string) error {
		client, err := connect()
		if err != nil {
			return err
		}
		status, err := client.Status()
		if err != nil {
			return err
		}
		return writeFleetStatus(command.OutOrStdout(), status)
	}
	return command
}

func writeFleetStatus(out io.Writer, status replica.Status) error {
	writef(out, "keeper %d leads in term %d; in force %d, announced %d; lease %d ms, stated time %d ms\n",
		status.Leader, status.Term, status.InForce, status.Announced, status.LeaseMillis, status.ConvergenceBoundMillis)
	for _, reason := range status.WaitingFor {
		writeln(out, "waits for", reason)
	}
	table := newTable(out)
	writeln(table, "gateway\tstate\tholds\tlease ms\theard ms ago\t")
	for _, g := range status.Gateways {
		note := g.Fault
		if g.Unresponsive {
			note = "HANGS " + note
		}
		writef(table, "%s\t%s\t%v\t%d\t%d\t%s\n", g.Holder, g.State, g.HeldVersions, g.LeaseLeftMillis,
			g.LastHeardMillis, note)
	}
	return table.Flush()
}

func fleetReplicasCommand(connect replicaClient) *cobra.Command {
	command := &cobra.Command{Use: "replicas", Aliases: []string{"keepers"}, Args: cobra.NoArgs,
		Short: "Show or change the voting replicas, for example: --add 4=10.0.0.4:7100 --remove 2"}
	add := command.Flags().StringToString("add", nil,
		"NUMBER=ADDRESS of a replica that was started with --join; its number must never have been used before")
	remove := command.Flags().UintSlice("remove", nil,
		"number of a replica to remove from the voters; it can be stopped afterwards")
	command.RunE = func(command *cobra.Command, _ []string) error {
		client, err := connect()
		if err != nil {
			return err
		}
		if len(*add)+len(*remove) > 0 {
			change, err := membershipChange(*add, *remove)
			if err != nil {
				return err
			}
			if err := client.ChangeMembership(change); err != nil {
				return err
			}
		}
		status, err := client.Status()
		if err != nil {
			return err
		}
		writef(command.OutOrStdout(), "keepers %v vote, %d leads\n", status.Voters, status.Leader)
		return nil
	}
	return command
}

func membershipChange(add map[string]string, remove []uint) (*replica.MembershipChange, error) {
	change := &replica.MembershipChange{Add: map[uint64]string{}}
	for text, addr := range add {
		number, err := parseReplicaNumber(text)
		if err != nil {
			return nil, fmt.Errorf("--add %s=%s: %w", text, addr, err)
		}
		change.Add[number] = addr
	}
	for _, number := range remove {
		change.Remove = append(change.Remove, uint64(number))
	}
	return change, nil
}
