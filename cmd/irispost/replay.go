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
	errDiverged   = errors.New("the module decides otherwise than in the capture")
	errNoDecision = errors.New("the capture holds no decision that could be compared")
)

func replayCommand() *cobra.Command {
	command := &cobra.Command{Use: "replay FILE", Args: cobra.ExactArgs(1),
		Short: "Feed a capture to this build's scheduler and compare each decision"}
	flags := command.Flags()
	asJSON := flags.Bool("json", false, "print the report as JSON")
	until := flags.Duration("until", 0, "stop so long after the scheduler's start; 0: at the end")
	request := flags.String("job", "", "tell the story of this request")
	node := flags.String("node", "", "tell what passed at this node")
	all := flags.Bool("all", false, "go on after a difference, and count")
	against := flags.String("against", "", "another build of this program: tell where the two part on the capture")
	live := flags.Bool("live", false,
		"play it through a real gateway against test servers on loopback, and compare the shape of the outcome")
	speed := flags.Float64("speed", 1, "with --live: times the captured pace")
	keep := flags.Int("before", 20, "records to show before a difference")
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

// readCapture opens a capture for as long as read takes.
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

// compareBuilds sets this build's replay beside that of another build of the program.
func compareBuilds(out io.Writer, ours *replay.Report, program, file string, until time.Duration) error {
	output, err := exec.Command(program, "replay", "--all", "--json", "--until", until.String(), file).Output()
	var theirs replay.Report
	// The other build fails where it differs from the capture, and says so in its report.
	if invalid := json.Unmarshal(output, &theirs); invalid != nil {
		return fmt.Errorf("%s: %w", program, errors.Join(err, invalid))
	}
	table := newTable(out)
	writef(table, "\tthis build\t%s\n", program)
	writef(table, "decisions\t%d\t%d\n", ours.Decisions, theirs.Decisions)
	writef(table, "other than captured\t%d\t%d\n", ours.DifferingDecisions, theirs.DifferingDecisions)
	writef(table, "first of them\t%s\t%s\n", firstDifference(ours), firstDifference(&theirs))
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

// writeReplay writes a report for people.
func writeReplay(out io.Writer, report *replay.Report) {
	table := newTable(out)
	sameText := "of ANOTHER text than this build's"
	if report.SamePolicySource {
		sameText = "of the same text as this build's"
	}
	writef(table, "gateway %s, build %s, module %s\n", report.Gateway, report.Build, sameText)
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
		Short: "Show what became of one request, step by step"}
	request := command.Flags().String("job", "", "the request, as logs and captures name it")
	_ = command.MarkFlagRequired("job")
	command.RunE = func(command *cobra.Command, args []string) error {
		report, err := replayFile(args[0], replay.Options{RequestID: *request})
		if err != nil {
			return err
		}
		if len(report.Story) == 0 {
			return fmt.Errorf("there is no job %q in the capture", *request)
		}
		for _, line := range report.Story {
			writeln(command.OutOrStdout(), line)
		}
		return nil
	}
	return command
}
