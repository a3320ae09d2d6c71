package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/adapter"
	"irispost/internal/admin"
	"irispost/internal/capture"
	"irispost/internal/relive"
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

// relived plays a capture through a real gateway.
func relived(c *cobra.Command, file string, speed float64, asJSON bool) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	r, err := capture.NewReader(f)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	script, err := relive.Read(r.Next)
	if err != nil {
		return err
	}
	ctx, cancel := untilSignal()
	defer cancel()
	report, err := relive.Play(ctx, script, relive.Options{Speed: speed, Slack: 250 * time.Millisecond})
	if err != nil {
		return err
	}
	if asJSON {
		b, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		writeln(c.OutOrStdout(), string(b))
	} else {
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
		writef(w, "product\tjobs\tin goal\tlate\tdismissed\twritten off\tleft\n")
		for _, name := range slices.Sorted(maps.Keys(report.Captured)) {
			for _, side := range []struct {
				name  string
				shape *relive.ClassOutcome
			}{{"captured", report.Captured[name]}, {"now", report.Replayed[name]}} {
				if s := side.shape; s != nil {
					n := float64(max(s.Requests, 1)) / 100
					writef(w, "%s %s\t%d\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\n", name, side.name, s.Requests, float64(s.WithinObjective)/n,
						float64(s.Late)/n, float64(s.Rejected)/n, float64(s.Failed)/n, float64(s.ClientCancelled)/n)
				}
			}
		}
		writef(w, "\nrule\tchecked\tbroken\n")
		for _, rule := range report.Rules {
			writef(w, "%s\t%d\t%d\n", rule.Name, rule.Checked, rule.Violations)
			for _, first := range rule.Examples {
				writef(w, "    %s\n", first)
			}
		}
		_ = w.Flush()
	}
	if !report.Passed() {
		return errors.New("a rule is broken, or nothing was checked")
	}
	return nil
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

func captureCommand() *cobra.Command {
	c := &cobra.Command{Use: "capture", Short: "Work on captures"}
	redact := &cobra.Command{Use: "redact FILE NEW", Args: cobra.ExactArgs(2),
		Short: "Copy a capture with its names replaced by keyed hashes; it replays the same"}
	key := redact.Flags().String("key-file", "", "a file with the key, 16 bytes or more")
	_ = redact.MarkFlagRequired("key-file")
	redact.RunE = func(_ *cobra.Command, args []string) error {
		secret, err := os.ReadFile(*key)
		if err != nil {
			return err
		}
		in, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer func() { _ = in.Close() }()
		r, err := capture.NewReader(in)
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		out, err := os.OpenFile(args[1], os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
		if err != nil {
			return err
		}
		return errors.Join(capture.Redact(r, out, secret), out.Close())
	}
	c.AddCommand(redact, importCommand())
	ask := func(use, short string, do func(*admin.Client, string) (admin.Capture, error)) *cobra.Command {
		sub := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs}
		socket := sub.Flags().String("socket", "irispost.sock", "the gateway's admin socket")
		folder := ""
		if use == "start" {
			sub.Flags().StringVar(&folder, "folder", "", "where the capture goes; empty: as configured")
		}
		sub.RunE = func(sub *cobra.Command, _ []string) error {
			if folder != "" {
				var err error
				if folder, err = filepath.Abs(folder); err != nil {
					return err
				}
			}
			state, err := do(admin.Dial(*socket, 30*time.Second), folder)
			if err != nil {
				return err
			}
			writef(sub.OutOrStdout(), "%s: on %v, %d bytes written, %d records dropped %s\n", state.File, state.On, state.Written,
				state.Dropped, state.Error)
			return nil
		}
		return sub
	}
	c.AddCommand(
		ask("start", "Start a capture of a gateway that serves", func(a *admin.Client, folder string) (admin.Capture, error) {
			return a.StartCapture(folder)
		}),
		ask("stop", "Stop the capture of a gateway", func(a *admin.Client, _ string) (admin.Capture, error) { return a.StopCapture() }),
		ask("status", "Tell how the capture of a gateway stands", func(a *admin.Client, _ string) (admin.Capture, error) {
			s, err := a.Status()
			return s.Capture, err
		}))
	return c
}

func importCommand() *cobra.Command {
	c := &cobra.Command{Use: "import TAP NEW", Args: cobra.ExactArgs(2),
		Short: "Make a capture of one instance of a tap of the operators' bench"}
	number := c.Flags().Int64("instance", 0, "the instance's number")
	c.RunE = func(c *cobra.Command, args []string) error {
		in, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer func() { _ = in.Close() }()
		process, err := adapter.FindProcess(in, *number)
		if err != nil {
			return err
		}
		if _, err := in.Seek(0, io.SeekStart); err != nil {
			return err
		}
		limits := capture.DefaultLimits
		limits.QueuedBlocks, limits.FileBytes = 1<<16, 1<<40 // nothing is served meanwhile: the disk may be waited for
		rec, err := capture.Create(args[1], fmt.Sprintf("bench-%d", *number), "tap", limits)
		if err != nil {
			return err
		}
		batches, err := adapter.Import(in, process, *number, rec)
		if closed := rec.Close(0); closed != nil {
			return errors.Join(err, closed)
		}
		writef(c.OutOrStdout(), "%d batches of process %d\n", batches, process)
		return err
	}
	return c
}

func statusCommand() *cobra.Command {
	c := &cobra.Command{Use: "status", Short: "Tell how a gateway stands", Args: cobra.NoArgs}
	socket := c.Flags().String("socket", "irispost.sock", "the gateway's admin socket")
	asJSON := c.Flags().Bool("json", false, "print it as JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := admin.Dial(*socket, 5*time.Second).Status()
		if err != nil {
			return err
		}
		if *asJSON {
			b, err := json.MarshalIndent(s, "", "  ")
			if err != nil {
				return err
			}
			writeln(c.OutOrStdout(), string(b))
			return nil
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
		writef(w, "gateway %s at %s, since %s: %d jobs held, %d executions out, %d late answers dropped\n", s.Gateway, s.Address,
			s.Since.UTC().Format(time.RFC3339), s.Requests, s.AttemptsInFlight, s.LateAnswers)
		writef(w, "nodes:")
		for _, state := range slices.Sorted(maps.Keys(s.Nodes)) {
			writef(w, " %d %s", s.Nodes[state], state)
		}
		if s.Version != "" {
			writef(w, "; rules: %s", s.Version)
		}
		if s.HeldLoss != nil {
			writef(w, "; the loss of %d is HELD, see irispost members", s.HeldLoss.Nodes)
		}
		writef(w, "\ncapture: on %v %s\n\nproduct\ttaken\tcompleted\tdismissed\twritten off\tleft\n", s.Capture.On, s.Capture.File)
		for _, name := range slices.Sorted(maps.Keys(s.RequestClasses)) {
			p := s.RequestClasses[name]
			writef(w, "%s\t%d\t%d\t%d\t%d\t%d\n", name, p.Accepted, p.Succeeded, p.Rejected, p.Failed, p.Cancelled)
		}
		return w.Flush()
	}
	return c
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
