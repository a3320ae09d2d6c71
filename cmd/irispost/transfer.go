package main

import (
	"errors"
	"io"
	"os"
	"path"
	"sync/atomic"
	"time"

	"github.com/pkg/sftp"
	"github.com/spf13/cobra"
)

// concurrentWrites is the maximum number of writes in flight during an upload.
const concurrentWrites = 64

// getFile downloads a file to a temporary file in the destination directory and renames it when it is complete, so
// that an interrupted transfer leaves no partial file.
func getFile(command *cobra.Command, client *sftp.Client, args []string) error {
	from, to := args[0], path.Base(args[0])
	if len(args) > 1 {
		to = args[1]
	}
	file, err := client.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if to == "-" {
		_, err := file.WriteTo(command.OutOrStdout())
		return err
	}
	temporary, err := os.CreateTemp(path.Dir(to), ".irispost-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // fails if the file has been renamed
	counter := &transferCounter{Writer: temporary}
	stopProgress := counter.startProgress(command, from, info.Size())
	_, err = file.WriteTo(counter)
	stopProgress()
	if err := errors.Join(err, temporary.Chmod(0o644), temporary.Close()); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), to)
}

// putFile uploads a file. The file is complete when the gateway has answered its close request.
func putFile(command *cobra.Command, client *sftp.Client, args []string) error {
	from, to := args[0], args[1]
	in, size := os.Stdin, int64(0)
	if from != "-" {
		file, err := os.Open(from)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		if info, err := file.Stat(); err == nil {
			size = info.Size()
		}
		in = file
	}
	out, err := client.OpenFile(to, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	counter := &transferCounter{Reader: in}
	stopProgress := counter.startProgress(command, to, size)
	_, err = out.ReadFromWithConcurrency(counter, concurrentWrites)
	stopProgress()
	return errors.Join(err, out.Close())
}

// transferCounter counts the bytes that pass through its reader or writer.
type transferCounter struct {
	io.Reader
	io.Writer
	transferred atomic.Int64
}

func (c *transferCounter) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.transferred.Add(int64(n))
	return n, err
}

func (c *transferCounter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.transferred.Add(int64(n))
	return n, err
}

// startProgress prints the progress of a transfer to the command's error output every second until stop is called.
func (c *transferCounter) startProgress(command *cobra.Command, name string, size int64) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-ticker.C:
				writef(command.ErrOrStderr(), "%s: %d of %d bytes\n", name, c.transferred.Load(), size)
			}
		}
	}()
	return func() { close(stopped) }
}
