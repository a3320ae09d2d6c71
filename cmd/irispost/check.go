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
	command := &cobra.Command{Use: "check FILE ...", Args: cobra.MinimumNArgs(1),
		Short: "Validate gateway configurations with their source files, endpoint lists (*nodes*.hcl), " +
			"scenarios (day*.hcl, fleet-*.hcl) and configuration versions (rules*.hcl)"}
	var settings lease.Settings
	duration := command.Flags().Duration("lease", defaultLease,
		"lease duration that the group of replicas was created with")
	command.Flags().Float64Var(&settings.MaxClockDrift, "drift", defaultDrift,
		"maximum clock drift, as a fraction, that the group of replicas was created with")
	command.RunE = func(command *cobra.Command, files []string) error {
		invalid := 0
		settings.LeaseDuration = int64(*duration)
		for _, file := range files {
			note, err := checkFile(file, settings)
			if err != nil {
				writeln(command.ErrOrStderr(), err)
				invalid++
				continue
			}
			writeln(command.OutOrStdout(), file, "is in order"+note)
		}
		if invalid > 0 {
			return fmt.Errorf("%d of %d files are invalid", invalid, len(files))
		}
		return nil
	}
	return command
}

// checkFile validates a file; its name determines the kind of file. note is extra information about a valid file.
func checkFile(file string, settings lease.Settings) (note string, err error) {
	base := filepath.Base(file)
	switch {
	case matches("*nodes*.hcl", base):
		return "", checkEndpointList(file)
	case matches("rules*.hcl", base):
		return checkVersion(file, settings)
	case matches("day*.hcl", base), matches("fleet-*.hcl", base):
		return checkScenario(file)
	}
	return "", checkConfig(file)
}

// matches reports whether a name matches a pattern. The pattern must be well formed.
func matches(pattern, name string) bool {
	ok, _ := filepath.Match(pattern, name)
	return ok
}

func checkEndpointList(file string) error {
	src, err := os.ReadFile(file)
	if err == nil {
		_, err = endpoint.ParseList(file, src)
	}
	return err
}

func checkVersion(file string, settings lease.Settings) (note string, err error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	version, err := config.ParseVersion(file, src)
	if err != nil {
		return "", err
	}
	return convergenceNote(settings, version.FallbackPolicy.Duration), nil
}

func checkScenario(file string) (note string, err error) {
	script, err := day.Load(file)
	if err != nil || script.Fleet.Replicas == 0 {
		return "", err
	}
	settings := lease.Settings{LeaseDuration: int64(script.Fleet.LeaseDuration), MaxClockDrift: script.Fleet.MaxClockDrift}
	return convergenceNote(settings, int64(script.Fleet.Fallback)), nil
}

// convergenceNote returns a note with the maximum time from a version's announcement until all gateways act on that
// version alone. fallback is how long a gateway without a lease continues to serve, in nanoseconds.
func convergenceNote(settings lease.Settings, fallback int64) string {
	bound := func() time.Duration { return time.Duration(replica.ConvergenceBound(settings)).Round(time.Millisecond) }
	note := fmt.Sprintf("; stated time %v", bound())
	if fallback > 0 {
		settings.LeaseDuration = fallback
		note += fmt.Sprintf(", and up to %v for a change that the floor contradicts", bound())
	}
	return note
}

// checkConfig validates a gateway's configuration and those files of its sources that exist.
func checkConfig(file string) error {
	conf, err := config.Load(file)
	if err != nil {
		return err
	}
	resolve := func(name string) string {
		if filepath.IsAbs(name) {
			return name
		}
		return filepath.Join(filepath.Dir(file), name)
	}
	var errs []error
	for _, source := range conf.Sources {
		var err error
		switch source.Kind {
		case config.SourceOwnFile:
			err = checkEndpointList(resolve(source.File))
		case config.SourceXDSFile:
			_, _, err = xds.CheckFiles(resolve(source.Clusters), resolve(source.Endpoints))
		}
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			errs = append(errs, fmt.Errorf("source %q: %w", source.Name, err))
		}
	}
	return errors.Join(errs...)
}
