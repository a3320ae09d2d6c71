package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/iscsi/initiator"
	"irispost/internal/iscsi/negotiate"
)

// diskFlags holds the flags of commands that connect to an iSCSI portal or open a disk.
type diskFlags struct {
	options initiator.Options
	lun     uint16
	retry   initiator.RetryPolicy
}

// addPortal adds the flags for the connection to a portal.
func (f *diskFlags) addPortal(command *cobra.Command) {
	command.Flags().StringVar(&f.options.Address, "at", "127.0.0.1:3260", "address of the iSCSI portal")
	command.Flags().StringVar(&f.options.Name, "initiator", "iqn.2026-01.irispost:tool", "iSCSI name of this initiator")
}

// addDisk adds the flags for opening a disk, including those of addPortal.
func (f *diskFlags) addDisk(command *cobra.Command) {
	f.addPortal(command)
	flags := command.Flags()
	flags.StringVar(&f.options.Target, "target", "", "iSCSI name of the target")
	_ = command.MarkFlagRequired("target")
	flags.Uint16Var(&f.lun, "lun", 0, "logical unit number")
	flags.BoolVar(&f.options.Digests, "digests", false, "request CRC32C digests")
	flags.StringVar(&f.options.Account.Name, "user", "",
		"CHAP user name; the secret is read from the environment variable IRISPOST_SECRET")
	flags.DurationVar(&f.retry.Timeout, "for", 30*time.Second, "how long to retry a failed operation")
}

func (f *diskFlags) open(ctx context.Context) (*initiator.Disk, error) {
	if name := f.options.Account.Name; name != "" {
		f.options.Account = negotiate.Account{Name: name, Secret: os.Getenv("IRISPOST_SECRET")}
	}
	return initiator.Open(ctx, f.options, f.lun, f.retry)
}

// diskChunk is the number of bytes per read or write, a multiple of every block size.
const diskChunk = 1 << 20

func diskCommand() *cobra.Command {
	command := &cobra.Command{Use: "disk", Short: "Discover, read, write and benchmark disks over iSCSI"}
	command.AddCommand(discoverCommand(), diskInfoCommand(), diskReadCommand(), diskWriteCommand(), diskBenchCommand())
	return command
}

func discoverCommand() *cobra.Command {
	var flags diskFlags
	command := &cobra.Command{Use: "discover", Short: "List the targets of a portal", Args: cobra.NoArgs}
	flags.addPortal(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		targets, err := initiator.Discover(command.Context(), flags.options)
		for _, target := range targets {
			writeln(command.OutOrStdout(), target.Name, target.Address)
		}
		return err
	}
	return command
}

func diskInfoCommand() *cobra.Command {
	var flags diskFlags
	command := &cobra.Command{Use: "info", Short: "Show a disk's model and size", Args: cobra.NoArgs}
	flags.addDisk(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		disk, err := flags.open(command.Context())
		if err != nil {
			return err
		}
		defer func() { _ = disk.Close() }()
		writef(command.OutOrStdout(), "%s unit %d: %s, %d blocks of %d bytes, %d bytes\n", flags.options.Target, flags.lun,
			disk.Model, disk.BlockCount, disk.BlockSize, disk.Size())
		return nil
	}
	return command
}

func diskReadCommand() *cobra.Command {
	var flags diskFlags
	command := &cobra.Command{Use: "read FILE", Args: cobra.ExactArgs(1),
		Short: "Read from a disk into a file (-: standard output)"}
	flags.addDisk(command)
	offset := command.Flags().Int64("offset", 0, "first byte, a multiple of the block size")
	length := command.Flags().Int64("length", -1,
		"number of bytes, a multiple of the block size; negative: up to the end of the disk")
	command.RunE = func(command *cobra.Command, args []string) (err error) {
		disk, err := flags.open(command.Context())
		if err != nil {
			return err
		}
		defer func() { _ = disk.Close() }()
		out := command.OutOrStdout()
		if args[0] != "-" {
			file, createErr := os.Create(args[0])
			if createErr != nil {
				return createErr
			}
			defer func() {
				if closeErr := file.Close(); err == nil {
					err = closeErr
				}
			}()
			out = file
		}
		if *length < 0 {
			*length = disk.Size() - *offset
		}
		// The struct hides the ReadFrom method of out, which would read in smaller pieces than diskChunk.
		_, err = io.CopyBuffer(struct{ io.Writer }{out}, io.NewSectionReader(disk, *offset, *length), make([]byte, diskChunk))
		return err
	}
	return command
}

func diskWriteCommand() *cobra.Command {
	var flags diskFlags
	command := &cobra.Command{Use: "write FILE", Args: cobra.ExactArgs(1),
		Short: "Write a file to a disk (-: standard input); the last block is padded with zeros"}
	flags.addDisk(command)
	offset := command.Flags().Int64("offset", 0, "first byte, a multiple of the block size")
	command.RunE = func(command *cobra.Command, args []string) error {
		in := command.InOrStdin()
		if args[0] != "-" {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer func() { _ = file.Close() }()
			in = file
		}
		disk, err := flags.open(command.Context())
		if err != nil {
			return err
		}
		defer func() { _ = disk.Close() }()
		if err := writeDisk(command.Context(), disk, in, *offset); err != nil {
			return err
		}
		return disk.Sync(command.Context())
	}
	return command
}

// writeDisk copies a reader to the disk, starting at offset. The last block is padded with zeros.
func writeDisk(ctx context.Context, disk *initiator.Disk, in io.Reader, offset int64) error {
	buffer := make([]byte, diskChunk)
	block := int(disk.BlockSize)
	for {
		n, err := io.ReadFull(in, buffer)
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return err
		}
		if n == 0 {
			return nil
		}
		padded := (n + block - 1) / block * block
		clear(buffer[n:padded])
		if _, err := disk.Write(ctx, buffer[:padded], offset); err != nil {
			return fmt.Errorf("write at byte %d: %w", offset, err)
		}
		offset += int64(padded)
	}
}
