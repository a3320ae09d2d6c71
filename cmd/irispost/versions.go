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
		Short: "Versions of the configuration and the endpoint list: propose, show, diff, log"}
	connect := addReplicaFlags(command)
	command.AddCommand(proposeCommand(connect), showVersionCommand(connect), diffVersionsCommand(connect),
		versionLogCommand(connect))
	return command
}

func proposeCommand(connect replicaClient) *cobra.Command {
	command := &cobra.Command{Use: "propose FILE", Args: cobra.ExactArgs(1),
		Short: "Propose a version and wait until it is announced"}
	reason := command.Flags().String("why", "", "the reason, for the log")
	parent := command.Flags().Int64("parent", -1, "the version that it was made of; otherwise the newest")
	replacePending := command.Flags().Bool("over", false, "in place of a version that is announced and not in force yet")
	command.RunE = func(command *cobra.Command, args []string) error {
		if *reason == "" {
			return errors.New("a change needs --why, for those who read the log later")
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

// newProposal is a proposal by the user of the program, without a parent.
func newProposal(id, reason string, content *configversion.Config) *lease.Proposal {
	return &lease.Proposal{
		ID:        id,
		Author:    author(),
		Reason:    reason,
		CreatedAt: time.Now().UTC().Format(time.RFC3339),
		Content:   content.Canonical(),
	}
}

// author is who runs the program, for the log of versions.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func showVersionCommand(connect replicaClient) *cobra.Command {
	command := &cobra.Command{Use: "show [NUMBER]", Args: cobra.MaximumNArgs(1),
		Short: "Show a version, the newest if none is named"}
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
		err = errors.New("there is no version yet")
	}
	return status.Latest, err
}

// versionByNumber fetches a version with its content.
func versionByNumber(client *replica.Client, text string) (*configversion.Version, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%q is no version's number", text)
	}
	version, err := client.Version(number)
	switch {
	case err != nil:
		return nil, err
	case version == nil:
		return nil, fmt.Errorf("there is no version %d, or the keeper that leads knows it no more", number)
	case version.Content == nil:
		return nil, fmt.Errorf("the content of version %s is not kept any more; it was made of %d by %s, %s: %s",
			version.Name(), version.Parent, version.Author, version.CreatedAt, version.Reason)
	}
	return version, nil
}

func diffVersionsCommand(connect replicaClient) *cobra.Command {
	command := &cobra.Command{Use: "diff A B", Args: cobra.ExactArgs(2),
		Short: "Show what has changed from a version to another, and what contradicts"}
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
	command := &cobra.Command{Use: "log", Args: cobra.NoArgs, Short: "List all versions: who, what, when and why"}
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

// writeVersionLog lists versions, each with its changes where its content and that of the one before are known.
func writeVersionLog(out io.Writer, versions []*configversion.Version) {
	if len(versions) > 0 && versions[0].Number > 1 {
		writef(out, "versions before %d are not known any more to the keeper that leads, or were made before it joined\n",
			versions[0].Number)
	}
	var previous *configversion.Config
	for _, version := range versions {
		writef(out, "%s  of %d  %s  %s: %s\n", version.Name(), version.Parent, version.CreatedAt, version.Author,
			version.Reason)
		if version.Content == nil {
			writeln(out, "    its content is not kept any more")
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
