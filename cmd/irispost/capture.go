package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/adapter"
	"irispost/internal/admin"
	"irispost/internal/capture"
)

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
