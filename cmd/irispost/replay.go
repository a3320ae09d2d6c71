package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/capture"
	"irispost/internal/replay"
)

var (
	errDiverged   = errors.New("the scheduler's decisions differ from those in the capture")
	errNoDecision = errors.New("the capture contains no decisions to compare")
)

func replayCommand() *cobra.Command {
	command := &cobra.Command{Use: "replay FILE", Args: cobra.ExactArgs(1),
		Short: "Replay a capture through this build's scheduler and compare each decision"}
	flags := command.Flags()
	asJSON := flags.Bool("json", false, "print the report as JSON")
	until := flags.Duration("until", 0, "stop at this time after the scheduler's start; 0: at the end of the capture")
	request := flags.String("job", "", "show the story of the request with this ID")
	node := flags.String("node", "", "show the attempts at the node with this address")
	all := flags.Bool("all", false, "continue after a difference and count all of them")
	against := flags.String("against", "",
		"path of another irispost build; replay the capture with both and compare the results")
	live := flags.Bool("live", false,
		"replay the requests through a real gateway against test servers on loopback, and compare the outcomes per class")
	speed := flags.Float64("speed", 1, "with --live: speed relative to the capture")
	keep := flags.Int("before", 20, "number of records to show before a difference")
	command.RunE = func(command *cobra.Command, args []string) error {
		out, file := command.OutOrStdout(), args[0]
		if *live {
			return replayLive(out, file, *speed, *asJSON)
		}
		report, err := replayFile(file, replay.Options{Until: int64(*until), RequestID: *request, Node: *node,
			KeepRecords: *keep, ContinueAfterDifference: *all || *against != ""})
		if err != nil {
			return err
		}
		if *against != "" {
			return compareBuilds(out, report, *against, file, *until)
		}
		if !*asJSON {
			writeReplay(out, report)
		} else if err := writeJSON(out, report); err != nil {
			return err
		}
		switch {
		case report.Difference != nil:
			return errDiverged
		case !report.Matches():
			return errNoDecision
		}
		return nil
	}
	return command
}

func replayFile(file string, options replay.Options) (*replay.Report, error) {
	var report *replay.Report
	err := readCapture(file, func(reader *capture.Reader) (err error) {
		report, err = replay.Run(reader.Next, options)
		return err
	})
	return report, err
}

// readCapture opens a capture file, calls read, and closes the file.
func readCapture(file string, read func(*capture.Reader) error) error {
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	reader, err := capture.NewReader(in)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return read(reader)
}

// compareBuilds replays the capture with another build of the program and prints both results side by side.
func compareBuilds(out io.Writer, ours *replay.Report, program, file string, until time.Duration) error {
	output, err := exec.Command(program, "replay", "--all", "--json", "--until", until.String(), file).Output()
	var theirs replay.Report
	// The other build exits with an error if its decisions differ from the capture, but still prints its report.
	if invalid := json.Unmarshal(output, &theirs); invalid != nil {
		return fmt.Errorf("%s: %w", program, errors.Join(err, invalid))
	}
	table := newTable(out)
	writef(table, "\tthis build\t%s\n", program)
	writef(table, "decisions\t%d\t%d\n", ours.Decisions, theirs.Decisions)
	writef(table, "different from the capture\t%d\t%d\n", ours.DifferingDecisions, theirs.DifferingDecisions)
	writef(table, "first difference\t%s\t%s\n", firstDifference(ours), firstDifference(&theirs))
	for _, own := range ours.Classes {
		for _, other := range theirs.Classes {
			if other.Name == own.Name {
				writef(table, "%s: dismissed, written off\t%d, %d\t%d, %d\n", own.Name, own.Rejected, own.Failed,
					other.Rejected, other.Failed)
			}
		}
	}
	return table.Flush()
}

func firstDifference(report *replay.Report) string {
	d := report.Difference
	if d == nil {
		return "none"
	}
	return fmt.Sprintf("record %d, %.3f ms, job %s", d.Record, float64(d.At)/1e6, d.Job)
}

// writeReplay prints a report as text.
func writeReplay(out io.Writer, report *replay.Report) {
	table := newTable(out)
	sameText := "DIFFERENT from this build's"
	if report.SamePolicySource {
		sameText = "same as this build's"
	}
	writef(table, "gateway %s, build %s, scheduler source %s\n", report.Gateway, report.Build, sameText)
	writef(table, "%d records over %.3f s, %d decisions compared; the replay has %s", report.Records,
		float64(report.Span)/1e9, report.Decisions, report.StateName)
	if report.Reason != "" {
		writef(table, ": %s", report.Reason)
	}
	writef(table, "\n\nproduct\tjobs\tcompleted\tin goal\tdismissed\twritten off\tleft\n")
	for _, class := range report.Classes {
		writef(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", class.Name, class.Requests, class.Succeeded, class.WithinObjective,
			class.Rejected, class.Failed, class.ClientCancelled)
	}
	for _, line := range report.Story {
		writeln(table, line)
	}
	if report.Difference != nil {
		writeDifference(table, report.Difference)
	}
	_ = table.Flush()
}

func writeDifference(out io.Writer, d *replay.Difference) {
	writef(out, "\nFIRST DIFFERENCE at record %d, %.3f ms after the start, job %s\n", d.Record, float64(d.At)/1e6, d.Job)
	writef(out, "captured: %+v\nnow:      %+v\n\nbefore it:\n", d.Captured, d.Now)
	for _, record := range d.Before {
		writef(out, "  %v %s number %d outcome %d\n", record.Kind, record.Job, record.Number, record.Outcome)
	}
	writeln(out, "\nthe job's story:")
	for _, line := range d.Story {
		writeln(out, " ", line)
	}
}

func explainCommand() *cobra.Command {
	command := &cobra.Command{Use: "explain FILE --job ID", Args: cobra.ExactArgs(1),
		Short: "Show the story of one request, step by step"}
	request := command.Flags().String("job", "", "ID of the request, as in logs and captures")
	_ = command.MarkFlagRequired("job")
	command.RunE = func(command *cobra.Command, args []string) error {
		report, err := replayFile(args[0], replay.Options{RequestID: *request})
		if err != nil {
			return err
		}
		if len(report.Story) == 0 {
			return fmt.Errorf("request %q is not in the capture", *request)
		}
		for _, line := range report.Story {
			writeln(command.OutOrStdout(), line)
		}
		return nil
	}
	return command
}
