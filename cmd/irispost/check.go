package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/config"
	"irispost/internal/day"
	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

func checkCommand() *cobra.Command {
	c := &cobra.Command{Use: "check FILE ...", Short: "Check configurations with their sources' files, lists of nodes (*nodes*.hcl), days (day*.hcl, fleet-*.hcl) and rules (rules*.hcl)",
		Args: cobra.MinimumNArgs(1)}
	terms := lease.Settings{}
	lease := c.Flags().Duration("lease", 2*time.Second, "the lease that the keepers of rules were founded with")
	c.Flags().Float64Var(&terms.MaxClockDrift, "drift", 0.01, "and the part by which clocks run fast or slow at most")
	c.RunE = func(c *cobra.Command, files []string) error {
		bad := 0
		terms.LeaseDuration = int64(*lease)
		for _, file := range files {
			if note, err := check(file, terms); err != nil {
				writeln(c.ErrOrStderr(), err)
				bad++
			} else {
				writeln(c.OutOrStdout(), file, "is in order"+note)
			}
		}
		if bad > 0 {
			return fmt.Errorf("%d of %d files are not in order", bad, len(files))
		}
		return nil
	}
	return c
}

// stated tells of rules and days for how long after its announcement a version may not be acted on alone by all.
func stated(t lease.Settings, floor int64) string {
	text := fmt.Sprintf("; stated time %v", time.Duration(replica.ConvergenceBound(t)).Round(time.Millisecond))
	if floor > 0 {
		t.LeaseDuration = floor
		text += fmt.Sprintf(", and up to %v for a change that the floor contradicts", time.Duration(replica.ConvergenceBound(t)).Round(time.Millisecond))
	}
	return text
}

// check checks a file, and returns what there is to say of one that is in order.
func check(file string, terms lease.Settings) (note string, err error) {
	base := filepath.Base(file)
	if ok, _ := filepath.Match("*nodes*.hcl", base); ok {
		src, err := os.ReadFile(file)
		if err == nil {
			_, err = endpoint.ParseList(file, src)
		}
		return "", err
	}
	if ok, _ := filepath.Match("rules*.hcl", base); ok {
		src, err := os.ReadFile(file)
		if err != nil {
			return "", err
		}
		r, err := config.ParseRules(file, src)
		if err != nil {
			return "", err
		}
		return stated(terms, r.FallbackPolicy.Duration), nil
	}
	scripted, _ := filepath.Match("day*.hcl", base)
	if fleet, _ := filepath.Match("fleet-*.hcl", base); fleet || scripted {
		s, err := day.Load(file)
		if err != nil || s.Fleet.Replicas == 0 {
			return "", err
		}
		return stated(lease.Settings{LeaseDuration: int64(s.Fleet.LeaseDuration), MaxClockDrift: s.Fleet.MaxClockDrift}, int64(s.Fleet.Fallback)), nil
	}
	c, err := config.Load(file)
	if err != nil {
		return "", err
	}
	var problems error
	for _, s := range c.Sources { // files of sources that are there are checked with it
		from := func(name string) string {
			if filepath.IsAbs(name) {
				return name
			}
			return filepath.Join(filepath.Dir(file), name)
		}
		switch s.Kind {
		case "own":
			var src []byte
			if src, err = os.ReadFile(from(s.File)); err == nil {
				_, err = endpoint.ParseList(from(s.File), src)
			}
		case "xds-file":
			_, _, err = xds.CheckFiles(from(s.Clusters), from(s.Endpoints))
		default:
			continue
		}
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			problems = errors.Join(problems, fmt.Errorf("source %q: %w", s.Name, err))
		}
	}
	return "", problems
}
