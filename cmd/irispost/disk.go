package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"irispost/internal/iscsi/initiator"
	"irispost/internal/iscsi/negotiate"
)

// diskFlags are the flags of commands that open a disk.
type diskFlags struct {
	opt   initiator.Options
	lun   uint16
	retry initiator.Retry
}

func (f *diskFlags) add(c *cobra.Command, target bool) {
	c.Flags().StringVar(&f.opt.Address, "at", "127.0.0.1:3260", "address of the portal")
	c.Flags().StringVar(&f.opt.Name, "initiator", "iqn.2026-01.irispost:tool", "our own name")
	if !target {
		return
	}
	c.Flags().StringVar(&f.opt.Target, "target", "", "name of the target")
	_ = c.MarkFlagRequired("target")
	c.Flags().Uint16Var(&f.lun, "lun", 0, "number of the unit")
	c.Flags().BoolVar(&f.opt.Digests, "digests", false, "ask for CRC32C digests")
	c.Flags().StringVar(&f.opt.Account.Name, "user", "", "CHAP name; the secret is read from IRISPOST_SECRET")
	c.Flags().DurationVar(&f.retry.For, "for", 30*time.Second, "how long to go on trying")
}

func (f *diskFlags) open(ctx context.Context) (*initiator.Disk, error) {
	if f.opt.Account.Name != "" {
		f.opt.Account = negotiate.Account{Name: f.opt.Account.Name, Secret: os.Getenv("IRISPOST_SECRET")}
	}
	return initiator.Open(ctx, f.opt, f.lun, f.retry)
}

func diskCommand() *cobra.Command {
	c := &cobra.Command{Use: "disk", Short: "Find, read, write and measure disks over iSCSI"}
	c.AddCommand(discoverCommand(), diskInfoCommand(), diskReadCommand(), diskWriteCommand(), diskBenchCommand())
	return c
}

func discoverCommand() *cobra.Command {
	var f diskFlags
	c := &cobra.Command{Use: "discover", Short: "List a portal's targets", Args: cobra.NoArgs}
	f.add(c, false)
	c.RunE = func(c *cobra.Command, _ []string) error {
		list, err := initiator.Discover(c.Context(), f.opt)
		for _, t := range list {
			writeln(c.OutOrStdout(), t.Name, t.Address)
		}
		return err
	}
	return c
}

func diskInfoCommand() *cobra.Command {
	var f diskFlags
	c := &cobra.Command{Use: "info", Short: "Tell of a disk", Args: cobra.NoArgs}
	f.add(c, true)
	c.RunE = func(c *cobra.Command, _ []string) error {
		d, err := f.open(c.Context())
		if err != nil {
			return err
		}
		defer func() { _ = d.Close() }()
		writef(c.OutOrStdout(), "%s unit %d: %s, %d blocks of %d bytes, %d bytes\n", f.opt.Target, f.lun, d.Model, d.Count, d.Block, d.Size())
		return nil
	}
	return c
}

func diskReadCommand() *cobra.Command {
	var f diskFlags
	c := &cobra.Command{Use: "read FILE", Short: "Read from a disk into a file (-: standard output)", Args: cobra.ExactArgs(1)}
	f.add(c, true)
	offset := c.Flags().Int64("offset", 0, "first byte, a multiple of the block")
	length := c.Flags().Int64("length", -1, "bytes, a multiple of the block; all where it is left out")
	c.RunE = func(c *cobra.Command, args []string) (err error) {
		d, err := f.open(c.Context())
		if err != nil {
			return err
		}
		defer func() { _ = d.Close() }()
		out := c.OutOrStdout()
		if args[0] != "-" {
			file, err := os.Create(args[0])
			if err != nil {
				return err
			}
			defer func() {
				if e := file.Close(); e != nil && err == nil {
					err = e
				}
			}()
			out = file
		}
		if *length < 0 {
			*length = d.Size() - *offset
		}
		_, err = io.CopyBuffer(struct{ io.Writer }{out}, io.NewSectionReader(d, *offset, *length), make([]byte, 1<<20))
		return err
	}
	return c
}

func diskWriteCommand() *cobra.Command {
	var f diskFlags
	c := &cobra.Command{Use: "write FILE", Short: "Write a file to a disk (-: standard input); the last block is filled with zeros", Args: cobra.ExactArgs(1)}
	f.add(c, true)
	offset := c.Flags().Int64("offset", 0, "first byte, a multiple of the block")
	c.RunE = func(c *cobra.Command, args []string) error {
		in := c.InOrStdin()
		if args[0] != "-" {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer func() { _ = file.Close() }()
			in = file
		}
		d, err := f.open(c.Context())
		if err != nil {
			return err
		}
		defer func() { _ = d.Close() }()
		b := make([]byte, 1<<20)
		for at := *offset; ; {
			n, err := io.ReadFull(in, b)
			if err != nil && err != io.EOF && !errors.Is(err, io.ErrUnexpectedEOF) {
				return err
			}
			if n == 0 {
				break
			}
			whole := (n + int(d.Block) - 1) / int(d.Block) * int(d.Block)
			clear(b[n:whole])
			if _, err := d.Write(c.Context(), b[:whole], at); err != nil {
				return fmt.Errorf("at byte %d: %w", at, err)
			}
			at += int64(whole)
		}
		return d.Sync(c.Context())
	}
	return c
}

func diskBenchCommand() *cobra.Command {
	var f diskFlags
	c := &cobra.Command{Use: "bench", Short: "Measure reads and writes of a disk, whose data is lost", Args: cobra.NoArgs}
	f.add(c, true)
	size := c.Flags().Int("size", 4096, "bytes of a request")
	depth := c.Flags().Int("depth", 16, "requests out")
	each := c.Flags().Duration("each", time.Second, "time for each measurement")
	sure := c.Flags().Bool("overwrite", false, "yes, the disk's data may be lost")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if !*sure {
			return errors.New("this writes over the disk: say --overwrite")
		}
		d, err := f.open(c.Context())
		if err != nil {
			return err
		}
		defer func() { _ = d.Close() }()
		if *size <= 0 || *size%int(d.Block) != 0 || int64(*size) > d.Size() {
			return fmt.Errorf("%d bytes are not whole blocks of %d within the disk", *size, d.Block)
		}
		places := min(d.Size(), 16<<20) / int64(*size)
		for at := range places { // so that reads meet what was written
			if _, err := d.WriteAt(make([]byte, *size), at*int64(*size)); err != nil {
				return err
			}
		}
		for _, what := range []string{"read", "write"} {
			h, failed := measureDisk(d, what == "write", *size, *depth, places, *each)
			writef(c.OutOrStdout(), "%s of %d bytes, %d out: %.0f a second, p50 %d us, p99 %d us, %d failed\n", what, *size, *depth,
				float64(h.TotalCount())/each.Seconds(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), failed)
		}
		return nil
	}
	return c
}

// measureDisk keeps so many requests out for a while.
func measureDisk(d *initiator.Disk, write bool, size, depth int, places int64, each time.Duration) (*hdrhistogram.Histogram, int) {
	var all sync.WaitGroup
	var lock sync.Mutex
	h, failed := hdrhistogram.New(1, 60_000_000, 3), 0
	end := time.Now().Add(each)
	for i := range depth {
		all.Add(1)
		go func() {
			defer all.Done()
			r, b := rand.New(rand.NewPCG(uint64(i), 1)), make([]byte, size)
			mine, bad := hdrhistogram.New(1, 60_000_000, 3), 0
			for time.Now().Before(end) {
				at, from := r.Int64N(places)*int64(size), time.Now()
				var err error
				if write {
					_, err = d.WriteAt(b, at)
				} else {
					_, err = d.ReadAt(b, at)
				}
				if err != nil {
					bad++
					continue
				}
				_ = mine.RecordValue(max(1, time.Since(from).Microseconds()))
			}
			lock.Lock()
			h.Merge(mine)
			failed += bad
			lock.Unlock()
		}()
	}
	all.Wait()
	return h, failed
}
