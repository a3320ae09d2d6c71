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

// captureTimeout limits a call that starts or stops a capture. A stop returns only after all records are written.
const captureTimeout = 30 * time.Second

func captureCommand() *cobra.Command {
	command := &cobra.Command{Use: "capture", Short: "Start, stop, redact and import captures"}
	command.AddCommand(redactCommand(), importCommand())
	command.AddCommand(startCaptureCommand(), stopCaptureCommand(), captureStatusCommand()) // on a running gateway
	return command
}

func redactCommand() *cobra.Command {
	command := &cobra.Command{Use: "redact FILE NEW", Args: cobra.ExactArgs(2),
		Short: "Copy a capture with names replaced by keyed hashes; the copy replays identically"}
	keyFile := command.Flags().String("key-file", "", "file that contains the key, at least 16 bytes")
	_ = command.MarkFlagRequired("key-file")
	command.RunE = func(_ *cobra.Command, args []string) error {
		key, err := os.ReadFile(*keyFile)
		if err != nil {
			return err
		}
		in, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer func() { _ = in.Close() }()
		reader, err := capture.NewReader(in)
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		out, err := os.OpenFile(args[1], os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
		if err != nil {
			return err
		}
		return errors.Join(capture.Redact(reader, out, key), out.Close())
	}
	return command
}

func importCommand() *cobra.Command {
	command := &cobra.Command{Use: "import TAP NEW", Args: cobra.ExactArgs(2),
		Short: "Convert one instance of a tap file of the operators' simulator to a capture"}
	instance := command.Flags().Int64("instance", 0, "number of the instance")
	command.RunE = func(command *cobra.Command, args []string) error {
		in, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer func() { _ = in.Close() }()
		process, err := adapter.FindProcess(in, *instance)
		if err != nil {
			return err
		}
		if _, err := in.Seek(0, io.SeekStart); err != nil {
			return err
		}
		limits := capture.DefaultLimits
		limits.QueuedBlocks = 1 << 16 // no gateway is running here, so blocking on the disk delays nothing
		limits.FileBytes = 1 << 40
		recorder, err := capture.Create(args[1], fmt.Sprintf("bench-%d", *instance), "tap", limits)
		if err != nil {
			return err
		}
		batches, err := adapter.Import(in, process, *instance, recorder)
		if closed := recorder.Close(0); closed != nil {
			return errors.Join(err, closed)
		}
		writef(command.OutOrStdout(), "%d batches of process %d\n", batches, process)
		return err
	}
	return command
}

func startCaptureCommand() *cobra.Command {
	command := &cobra.Command{Use: "start", Short: "Start a capture on a running gateway", Args: cobra.NoArgs}
	socket := addSocketFlag(command)
	folder := command.Flags().String("folder", "", "directory for the capture; empty: the configured one")
	command.RunE = func(command *cobra.Command, _ []string) (err error) {
		dir := *folder
		if dir != "" { // the gateway's working directory may be another one
			if dir, err = filepath.Abs(dir); err != nil {
				return err
			}
		}
		state, err := admin.Dial(*socket, captureTimeout).StartCapture(dir)
		return writeCapture(command.OutOrStdout(), state, err)
	}
	return command
}

func stopCaptureCommand() *cobra.Command {
	command := &cobra.Command{Use: "stop", Short: "Stop the capture on a running gateway", Args: cobra.NoArgs}
	socket := addSocketFlag(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		state, err := admin.Dial(*socket, captureTimeout).StopCapture()
		return writeCapture(command.OutOrStdout(), state, err)
	}
	return command
}

func captureStatusCommand() *cobra.Command {
	command := &cobra.Command{Use: "status", Short: "Show the status of a gateway's capture", Args: cobra.NoArgs}
	socket := addSocketFlag(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		status, err := admin.Dial(*socket, captureTimeout).Status()
		return writeCapture(command.OutOrStdout(), status.Capture, err)
	}
	return command
}

// addSocketFlag adds the flag for the admin socket of one gateway.
func addSocketFlag(command *cobra.Command) *string {
	return command.Flags().String("socket", "irispost.sock", "path of the gateway's admin socket")
}

// writeCapture prints the state of a capture. If err is not nil, it prints nothing and returns err.
func writeCapture(out io.Writer, state admin.Capture, err error) error {
	if err != nil {
		return err
	}
	writef(out, "%s: on %v, %d bytes written, %d records dropped %s\n", state.File, state.On, state.Written, state.Dropped,
		state.Error)
	return nil
}
