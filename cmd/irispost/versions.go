package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/config"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

func versionsCommand() *cobra.Command {
	command := &cobra.Command{Use: "versions", Aliases: []string{"rules"},
		Short: "Propose, show and compare versions of the configuration and endpoint list"}
	connect := addReplicaFlags(command)
	command.AddCommand(proposeCommand(connect), showVersionCommand(connect), diffVersionsCommand(connect),
		versionLogCommand(connect))
	return command
}

func proposeCommand(connect replicaClient) *cobra.Command {
	command := &cobra.Command{Use: "propose FILE", Args: cobra.ExactArgs(1),
		Short: "Propose a configuration version and wait until it is announced"}
	reason := command.Flags().String("why", "", "reason for the change, recorded in the version log")
	parent := command.Flags().Int64("parent", -1,
		"number of the version that the change is based on; negative: the latest announced version")
	replacePending := command.Flags().Bool("over", false, "replace a version that is announced but not in force yet")
	command.RunE = func(command *cobra.Command, args []string) error {
		if *reason == "" {
			return errors.New("--why is required: give the reason for the change, for those who read the version log later")
		}
		src, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		content, err := config.ParseVersion(args[0], src)
		if err != nil {
			return err
		}
		client, err := connect()
		if err != nil {
			return err
		}
		proposal := newProposal(fmt.Sprintf("%d.%d", os.Getpid(), time.Now().UnixNano()), *reason, content)
		proposal.ReplacePending = *replacePending
		proposal.Parent = uint64(max(*parent, 0))
		if *parent < 0 {
			status, err := client.Status()
			if err != nil {
				return err
			}
			proposal.Parent = status.Announced
		}
		version, err := client.Propose(proposal)
		if err != nil {
			return err
		}
		writef(command.OutOrStdout(), "version %s is announced\n", version.Name())
		return nil
	}
	return command
}

// newProposal returns a proposal by the current user. The parent is not set.
func newProposal(id, reason string, content *configversion.Config) *lease.Proposal {
	return &lease.Proposal{
		ID:        id,
		Author:    author(),
		Reason:    reason,
		CreatedAt: time.Now().UTC().Format(time.RFC3339),
		Content:   content.Canonical(),
	}
}

// author returns the name of the current user, for the version log.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func showVersionCommand(connect replicaClient) *cobra.Command {
	command := &cobra.Command{Use: "show [NUMBER]", Args: cobra.MaximumNArgs(1),
		Short: "Show a version, by default the latest"}
	command.RunE = func(command *cobra.Command, args []string) error {
		client, err := connect()
		if err != nil {
			return err
		}
		var version *configversion.Version
		if len(args) == 0 {
			version, err = latestVersion(client)
		} else {
			version, err = versionByNumber(client, args[0])
		}
		if err != nil {
			return err
		}
		writef(command.OutOrStdout(), "version %s of %d, by %s at %s: %s\n%s\n", version.Name(), version.Parent,
			version.Author, version.CreatedAt, version.Reason, version.Content)
		return nil
	}
	return command
}

func latestVersion(client *replica.Client) (*configversion.Version, error) {
	status, err := client.Status()
	if err == nil && status.Latest == nil {
		err = errors.New("no version has been announced yet")
	}
	return status.Latest, err
}

// versionByNumber fetches a version with its content.
func versionByNumber(client *replica.Client, text string) (*configversion.Version, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%q is not a version number", text)
	}
	version, err := client.Version(number)
	switch {
	case err != nil:
		return nil, err
	case version == nil:
		return nil, fmt.Errorf("version %d does not exist, or the leader no longer has it", number)
	case version.Content == nil:
		return nil, fmt.Errorf("the content of version %s is no longer stored; the version was based on %d, by %s at %s: %s",
			version.Name(), version.Parent, version.Author, version.CreatedAt, version.Reason)
	}
	return version, nil
}

func diffVersionsCommand(connect replicaClient) *cobra.Command {
	command := &cobra.Command{Use: "diff A B", Args: cobra.ExactArgs(2),
		Short: "Show the changes from version A to version B, and where the two conflict"}
	command.RunE = func(command *cobra.Command, args []string) error {
		var contents [2]*configversion.Config
		for i := range contents {
			client, err := connect()
			if err != nil {
				return err
			}
			version, err := versionByNumber(client, args[i])
			if err != nil {
				return err
			}
			if contents[i], err = version.Config(); err != nil {
				return err
			}
		}
		for _, line := range configversion.Diff(contents[0], contents[1]) {
			writeln(command.OutOrStdout(), line)
		}
		for _, line := range configversion.Conflicts(contents[0], contents[1]) {
			writeln(command.OutOrStdout(), "contradicts:", line)
		}
		return nil
	}
	return command
}

func versionLogCommand(connect replicaClient) *cobra.Command {
	command := &cobra.Command{Use: "log", Args: cobra.NoArgs,
		Short: "List all versions with their authors, times, reasons and changes"}
	command.RunE = func(command *cobra.Command, _ []string) error {
		client, err := connect()
		if err != nil {
			return err
		}
		versions, err := client.Versions(1)
		if err != nil {
			return err
		}
		writeVersionLog(command.OutOrStdout(), versions)
		return nil
	}
	return command
}

// writeVersionLog prints the versions. For each it prints the changes from the previous version, if the content of
// both is available.
func writeVersionLog(out io.Writer, versions []*configversion.Version) {
	if len(versions) > 0 && versions[0].Number > 1 {
		writef(out, "versions before %d are not listed: the leader no longer has them, or they were created before it joined\n",
			versions[0].Number)
	}
	var previous *configversion.Config
	for _, version := range versions {
		writef(out, "%s  of %d  %s  %s: %s\n", version.Name(), version.Parent, version.CreatedAt, version.Author,
			version.Reason)
		if version.Content == nil {
			writeln(out, "    its content is no longer stored")
			previous = nil
			continue
		}
		content, err := version.Config()
		if err != nil {
			writeln(out, "   ", err)
			continue
		}
		if previous != nil {
			for _, line := range configversion.Diff(previous, content) {
				writeln(out, "   ", line)
			}
		}
		previous = content
	}
}
