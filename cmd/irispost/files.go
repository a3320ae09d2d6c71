package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/sftp"
	"github.com/spf13/cobra"
)

// fileCommands are file commands through a gateway.
func fileCommands() []*cobra.Command {
	command := func(use, short string, least, most int, run func(*cobra.Command, *sftp.Client, []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: cobra.RangeArgs(least, most)}
		at := c.Flags().String("at", cmp.Or(os.Getenv("IRISPOST_AT"), "127.0.0.1:2022"), "address of a gateway, or IRISPOST_AT")
		c.RunE = func(c *cobra.Command, args []string) error {
			conn, err := net.DialTimeout("tcp", *at, 5*time.Second)
			if err != nil {
				return fmt.Errorf("no gateway at %s: %w", *at, err)
			}
			defer func() { _ = conn.Close() }()
			client, err := sftp.NewClientPipe(conn, conn, sftp.UseConcurrentWrites(true))
			if err != nil {
				return fmt.Errorf("%s does not speak as a gateway: %w", *at, err)
			}
			defer func() { _ = client.Close() }()
			return run(c, client, args)
		}
		return c
	}
	return []*cobra.Command{
		command("ls [PATH]", "List a folder", 0, 1, func(c *cobra.Command, s *sftp.Client, args []string) error {
			list, err := s.ReadDir(append(args, "/")[0])
			if err != nil {
				return err
			}
			slices.SortFunc(list, func(a, b os.FileInfo) int { return strings.Compare(a.Name(), b.Name()) })
			for _, f := range list {
				line(c, f)
			}
			return nil
		}),
		command("stat PATH", "Tell of a file or folder", 1, 1, func(c *cobra.Command, s *sftp.Client, args []string) error {
			f, err := s.Stat(args[0])
			if err == nil {
				line(c, f)
			}
			return err
		}),
		command("get PATH [FILE]", "Read a file; - writes it to standard output", 1, 2, get),
		command("put FILE PATH", "Write a file; - reads it from standard input", 2, 2, put),
		command("rm PATH", "Remove a file or an empty folder", 1, 1, func(_ *cobra.Command, s *sftp.Client, args []string) error {
			f, err := s.Stat(args[0])
			if err != nil {
				return err
			}
			if f.IsDir() {
				return s.RemoveDirectory(args[0])
			}
			return s.Remove(args[0])
		}),
		command("mkdir PATH", "Make a folder", 1, 1, func(_ *cobra.Command, s *sftp.Client, args []string) error {
			return s.Mkdir(args[0])
		}),
		command("mv FROM TO", "Rename a file; one that has the new name is replaced", 2, 2,
			func(_ *cobra.Command, s *sftp.Client, args []string) error { return s.PosixRename(args[0], args[1]) }),
	}
}

func line(c *cobra.Command, f os.FileInfo) {
	writef(c.OutOrStdout(), "%s %12d %s %s\n", f.Mode(), f.Size(), f.ModTime().UTC().Format(time.DateTime), f.Name())
}

// counted counts what passes, and tells of it once a second.
type counted struct {
	io.Reader
	io.Writer
	done atomic.Int64
}

func (n *counted) Read(b []byte) (int, error) {
	k, err := n.Reader.Read(b)
	n.done.Add(int64(k))
	return k, err
}

func (n *counted) Write(b []byte) (int, error) {
	k, err := n.Writer.Write(b)
	n.done.Add(int64(k))
	return k, err
}

// progress tells of a long transfer on standard error until it ends.
func (n *counted) progress(c *cobra.Command, what string, all int64) (end func()) {
	stop := make(chan struct{})
	go func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				writef(c.ErrOrStderr(), "%s: %d of %d bytes\n", what, n.done.Load(), all)
			}
		}
	}()
	return func() { close(stop) }
}

// get reads a file into a new one beside its place, so that a transfer that breaks leaves no half of it.
func get(c *cobra.Command, s *sftp.Client, args []string) error {
	from := args[0]
	f, err := s.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	to := append(args, path.Base(from))[1]
	if to == "-" {
		_, err := f.WriteTo(c.OutOrStdout())
		return err
	}
	part, err := os.CreateTemp(path.Dir(to), ".irispost-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(part.Name()) }()
	n := &counted{Writer: part}
	end := n.progress(c, from, info.Size())
	_, err = f.WriteTo(n)
	end()
	if err = errors.Join(err, part.Chmod(0o644), part.Close()); err != nil {
		return err
	}
	return os.Rename(part.Name(), to)
}

func put(c *cobra.Command, s *sftp.Client, args []string) error {
	in, size := os.Stdin, int64(0)
	if args[0] != "-" {
		f, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		if info, err := f.Stat(); err == nil {
			size = info.Size()
		}
		in = f
	}
	to, err := s.OpenFile(args[1], os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	n := &counted{Reader: in}
	end := n.progress(c, args[1], size)
	_, err = to.ReadFromWithConcurrency(n, 64)
	end()
	return errors.Join(err, to.Close()) // the file is there, whole, when CLOSE is answered
}
