package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/capture"
	"irispost/internal/replay"
)

// replayFile replays a capture.
func replayFile(file string, opt replay.Options) (*replay.Report, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	r, err := capture.NewReader(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return replay.Run(r.Next, opt)
}

func replayCommand() *cobra.Command {
	c := &cobra.Command{Use: "replay FILE", Args: cobra.ExactArgs(1),
		Short: "Feed a capture to this build's module and compare each decision"}
	asJSON := c.Flags().Bool("json", false, "print the report as JSON")
	until := c.Flags().Duration("until", 0, "stop so long after the module's start; 0: at the end")
	job := c.Flags().String("job", "", "tell the story of this job")
	node := c.Flags().String("node", "", "tell what passed at this node")
	all := c.Flags().Bool("all", false, "go on after a difference, and count")
	against := c.Flags().String("against", "", "another build of this program: tell where the two part on the capture")
	live := c.Flags().Bool("live", false, "play it through a real gateway against stand-ins on loopback, and compare the shape of the outcome")
	speed := c.Flags().Float64("speed", 1, "with --live: times the captured pace")
	keep := c.Flags().Int("before", 20, "records to show before a difference")
	c.RunE = func(c *cobra.Command, args []string) error {
		if *live {
			return relived(c, args[0], *speed, *asJSON)
		}
		r, err := replayFile(args[0], replay.Options{Until: int64(*until), Job: *job, Node: *node, Keep: *keep,
			All: *all || *against != ""})
		if err != nil {
			return err
		}
		if *against != "" {
			return compare(c, r, *against, args[0], *until)
		}
		if *asJSON {
			b, err := json.MarshalIndent(r, "", "  ")
			if err != nil {
				return err
			}
			writeln(c.OutOrStdout(), string(b))
		} else {
			show(c, r)
		}
		switch {
		case r.Difference != nil:
			return errors.New("the module decides otherwise than in the capture")
		case !r.Same():
			return errors.New("the capture holds no decision that could be compared")
		}
		return nil
	}
	return c
}

// compare sets this build's replay beside another's.
func compare(c *cobra.Command, ours *replay.Report, program, file string, until time.Duration) error {
	out, err := exec.Command(program, "replay", "--all", "--json", "--until", until.String(), file).Output()
	var theirs replay.Report
	if parse := json.Unmarshal(out, &theirs); parse != nil { // it ends with 1 where it differs, and says so in the report
		return fmt.Errorf("%s: %w", program, errors.Join(err, parse))
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
	first := func(r *replay.Report) string {
		if r.Difference == nil {
			return "none"
		}
		return fmt.Sprintf("record %d, %.3f ms, job %s", r.Difference.Record, float64(r.Difference.At)/1e6, r.Difference.Job)
	}
	writef(w, "\tthis build\t%s\n", program)
	writef(w, "decisions\t%d\t%d\nother than captured\t%d\t%d\nfirst of them\t%s\t%s\n", ours.Decisions, theirs.Decisions,
		ours.Differing, theirs.Differing, first(ours), first(&theirs))
	for _, p := range ours.Products {
		for _, o := range theirs.Products {
			if o.Name == p.Name {
				writef(w, "%s: dismissed, written off\t%d, %d\t%d, %d\n", p.Name, p.Dismissed, p.WrittenOff, o.Dismissed, o.WrittenOff)
			}
		}
	}
	return w.Flush()
}

// show prints a report for people.
func show(c *cobra.Command, r *replay.Report) {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	writef(w, "gateway %s, build %s, module %s\n", r.Gateway, r.Build, map[bool]string{true: "of the same text as this build's",
		false: "of ANOTHER text than this build's"}[r.SameModule])
	writef(w, "%d records over %.3f s, %d decisions compared; the replay has %s", r.Records, float64(r.Span)/1e9, r.Decisions, r.How)
	if r.Why != "" {
		writef(w, ": %s", r.Why)
	}
	writef(w, "\n\nproduct\tjobs\tcompleted\tin goal\tdismissed\twritten off\tleft\n")
	for _, p := range r.Products {
		writef(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Name, p.Jobs, p.Completed, p.InGoal, p.Dismissed, p.WrittenOff, p.Left)
	}
	for _, line := range r.Story {
		writeln(w, line)
	}
	d := r.Difference
	if d == nil {
		return
	}
	writef(w, "\nFIRST DIFFERENCE at record %d, %.3f ms after the start, job %s\n", d.Record, float64(d.At)/1e6, d.Job)
	writef(w, "captured: %+v\nnow:      %+v\n\nbefore it:\n", d.Captured, d.Now)
	for _, rec := range d.Before {
		writef(w, "  %v %s number %d outcome %d\n", rec.Kind, rec.Job, rec.Number, rec.Outcome)
	}
	writeln(w, "\nthe job's story:")
	for _, line := range d.Story {
		writeln(w, " ", line)
	}
}

func explainCommand() *cobra.Command {
	c := &cobra.Command{Use: "explain FILE --job ID", Short: "Tell what became of one job, step by step", Args: cobra.ExactArgs(1)}
	job := c.Flags().String("job", "", "the job, as logs and captures name it")
	_ = c.MarkFlagRequired("job")
	c.RunE = func(c *cobra.Command, args []string) error {
		r, err := replayFile(args[0], replay.Options{Job: *job})
		if err != nil {
			return err
		}
		if len(r.Story) == 0 {
			return fmt.Errorf("there is no job %q in the capture", *job)
		}
		for _, line := range r.Story {
			writeln(c.OutOrStdout(), line)
		}
		return nil
	}
	return c
}
