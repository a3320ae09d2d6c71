package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"irispost/internal/iscsi/initiator"
)

const (
	// benchBytes is how much of a disk a measurement reads and writes.
	benchBytes = 16 << 20
	// maxLatencyMicros is the longest latency that a measurement tells apart: a minute.
	maxLatencyMicros = 60_000_000
)

func diskBenchCommand() *cobra.Command {
	var flags diskFlags
	command := &cobra.Command{Use: "bench", Args: cobra.NoArgs,
		Short: "Measure reads and writes of a disk, whose data is lost"}
	flags.addDisk(command)
	size := command.Flags().Int("size", 4096, "bytes of a request")
	depth := command.Flags().Int("depth", 16, "requests out")
	each := command.Flags().Duration("each", time.Second, "time for each measurement")
	confirmed := command.Flags().Bool("overwrite", false, "yes, the disk's data may be lost")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if !*confirmed {
			return errors.New("this writes over the disk: say --overwrite")
		}
		disk, err := flags.open(command.Context())
		if err != nil {
			return err
		}
		defer func() { _ = disk.Close() }()
		if *size <= 0 || *size%int(disk.BlockSize) != 0 || int64(*size) > disk.Size() {
			return fmt.Errorf("%d bytes are not whole blocks of %d within the disk", *size, disk.BlockSize)
		}
		places := min(disk.Size(), benchBytes) / int64(*size)
		for place := range places { // so that reads meet what was written
			if _, err := disk.WriteAt(make([]byte, *size), place*int64(*size)); err != nil {
				return err
			}
		}
		for _, operation := range []string{"read", "write"} {
			load := diskLoad{disk: disk, write: operation == "write", size: *size, depth: *depth, places: places}
			latencies, failed := load.measure(*each)
			writef(command.OutOrStdout(), "%s of %d bytes, %d out: %.0f a second, p50 %d us, p99 %d us, %d failed\n", operation,
				*size, *depth, float64(latencies.TotalCount())/each.Seconds(), latencies.ValueAtQuantile(50),
				latencies.ValueAtQuantile(99), failed)
		}
		return nil
	}
	return command
}

// diskLoad keeps requests of one kind and size in flight, each at a random place.
type diskLoad struct {
	disk   *initiator.Disk
	write  bool
	size   int   // bytes of a request
	depth  int   // requests in flight
	places int64 // of that size, from the disk's start
}

// measure loads the disk for a while. Latencies are microseconds, of the requests that did not fail.
func (l *diskLoad) measure(duration time.Duration) (latencies *hdrhistogram.Histogram, failed int) {
	latencies = newLatencies()
	end := time.Now().Add(duration)
	var lock sync.Mutex // guards the results
	var all sync.WaitGroup
	for seed := range l.depth {
		all.Go(func() {
			own, ownFailed := l.run(uint64(seed), end)
			lock.Lock()
			defer lock.Unlock()
			latencies.Merge(own)
			failed += ownFailed
		})
	}
	all.Wait()
	return latencies, failed
}

// run does one request after another until a time.
func (l *diskLoad) run(seed uint64, end time.Time) (latencies *hdrhistogram.Histogram, failed int) {
	random := rand.New(rand.NewPCG(seed, 1))
	buffer := make([]byte, l.size)
	latencies = newLatencies()
	for time.Now().Before(end) {
		offset := random.Int64N(l.places) * int64(l.size)
		start := time.Now()
		if err := l.do(buffer, offset); err != nil {
			failed++
			continue
		}
		_ = latencies.RecordValue(max(1, time.Since(start).Microseconds())) // one over the longest is left out
	}
	return latencies, failed
}

func (l *diskLoad) do(buffer []byte, offset int64) (err error) {
	if l.write {
		_, err = l.disk.WriteAt(buffer, offset)
	} else {
		_, err = l.disk.ReadAt(buffer, offset)
	}
	return err
}

func newLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }
