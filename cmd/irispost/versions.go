package main

import (
	"fmt"
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

func rulesCommand() *cobra.Command {
	root := &cobra.Command{Use: "rules", Short: "Versions of settings and lists: propose, show, diff, log"}
	dial := keepers(root)
	propose := &cobra.Command{Use: "propose FILE", Short: "Propose a version and wait until it is announced", Args: cobra.ExactArgs(1)}
	why := propose.Flags().String("why", "", "the reason, for the log")
	parent := propose.Flags().Int64("parent", -1, "the version that it was made of; otherwise the newest")
	over := propose.Flags().Bool("over", false, "in place of a version that is announced and not in force yet")
	propose.RunE = func(c *cobra.Command, args []string) error {
		if *why == "" {
			return fmt.Errorf("a change needs --why, for those who read the log later")
		}
		src, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		r, err := config.ParseRules(args[0], src)
		if err != nil {
			return err
		}
		client, err := dial()
		if err != nil {
			return err
		}
		p := &lease.Proposal{ID: fmt.Sprintf("%d.%d", os.Getpid(), time.Now().UnixNano()), Parent: uint64(max(*parent, 0)), ReplacePending: *over, Author: author(),
			Reason: *why, CreatedAt: time.Now().UTC().Format(time.RFC3339), Content: r.Canonical()}
		if *parent < 0 {
			s, err := client.Status()
			if err != nil {
				return err
			}
			p.Parent = s.Announced
		}
		v, err := client.Propose(p)
		if err != nil {
			return err
		}
		writef(c.OutOrStdout(), "version %s is announced\n", v.Name())
		return nil
	}
	show := &cobra.Command{Use: "show [NUMBER]", Short: "Show a version, the newest if none is named", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			v, err := versionBy(dial, args...)
			if err != nil {
				return err
			}
			writef(c.OutOrStdout(), "version %s of %d, by %s at %s: %s\n%s\n", v.Name(), v.Parent, v.Author, v.CreatedAt, v.Reason, v.Content)
			return nil
		}}
	diff := &cobra.Command{Use: "diff A B", Short: "Show what has changed from a version to another, and what contradicts", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var opened [2]*configversion.Config
			for i := range opened {
				v, err := versionBy(dial, args[i])
				if err == nil {
					opened[i], err = v.Config()
				}
				if err != nil {
					return err
				}
			}
			for _, line := range configversion.Diff(opened[0], opened[1]) {
				writeln(c.OutOrStdout(), line)
			}
			for _, line := range configversion.Conflicts(opened[0], opened[1]) {
				writeln(c.OutOrStdout(), "contradicts:", line)
			}
			return nil
		}}
	list := &cobra.Command{Use: "log", Short: "List all versions: who, what, when and why", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := dial()
			if err != nil {
				return err
			}
			all, err := client.Versions(1)
			if err != nil {
				return err
			}
			if len(all) > 0 && all[0].Number > 1 {
				writef(c.OutOrStdout(), "versions before %d are not known any more to the keeper that leads, or were made before it joined\n", all[0].Number)
			}
			var before *configversion.Config
			for _, v := range all {
				writef(c.OutOrStdout(), "%s  of %d  %s  %s: %s\n", v.Name(), v.Parent, v.CreatedAt, v.Author, v.Reason)
				if v.Content == nil {
					writeln(c.OutOrStdout(), "    its content is not kept any more")
					before = nil
					continue
				}
				r, err := v.Config()
				if err != nil {
					writeln(c.OutOrStdout(), "   ", err)
					continue
				}
				if before != nil {
					for _, line := range configversion.Diff(before, r) {
						writeln(c.OutOrStdout(), "   ", line)
					}
				}
				before = r
			}
			return nil
		}}
	root.AddCommand(propose, show, diff, list)
	return root
}

// version fetches a version by its number, or the newest.
func versionBy(dial func() (*replica.Client, error), args ...string) (*configversion.Version, error) {
	client, err := dial()
	if err != nil {
		return nil, err
	}
	if len(args) == 0 {
		s, err := client.Status()
		if err == nil && s.Latest == nil {
			err = fmt.Errorf("there is no version yet")
		}
		return s.Latest, err
	}
	n, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%q is no version's number", args[0])
	}
	v, err := client.Version(n)
	switch {
	case err != nil:
		return nil, err
	case v == nil:
		return nil, fmt.Errorf("there is no version %d, or the keeper that leads knows it no more", n)
	case v.Content == nil:
		return nil, fmt.Errorf("the content of version %s is not kept any more; it was made of %d by %s, %s: %s", v.Name(), v.Parent, v.Author, v.CreatedAt, v.Reason)
	}
	return v, nil
}

// author is who runs the program, for the log.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
