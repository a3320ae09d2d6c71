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
	// benchBytes is the size of the area, at the start of the disk, that a benchmark reads and writes.
	benchBytes = 16 << 20
	// maxLatencyMicros is the highest latency that the histogram records: one minute.
	maxLatencyMicros = 60_000_000
)

func diskBenchCommand() *cobra.Command {
	var flags diskFlags
	command := &cobra.Command{Use: "bench", Args: cobra.NoArgs,
		Short: "Benchmark reads and writes of a disk; the disk's data is overwritten"}
	flags.addDisk(command)
	size := command.Flags().Int("size", 4096, "bytes per request")
	depth := command.Flags().Int("depth", 16, "number of requests in flight")
	each := command.Flags().Duration("each", time.Second, "duration of each measurement")
	confirmed := command.Flags().Bool("overwrite", false, "confirm that the disk's data may be overwritten")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if !*confirmed {
			return errors.New("the benchmark overwrites the disk's data: confirm with --overwrite")
		}
		disk, err := flags.open(command.Context())
		if err != nil {
			return err
		}
		defer func() { _ = disk.Close() }()
		if *size <= 0 || *size%int(disk.BlockSize) != 0 || int64(*size) > disk.Size() {
			return fmt.Errorf("--size %d: must be one or more whole blocks of %d bytes, and at most the size of the disk",
				*size, disk.BlockSize)
		}
		slots := min(disk.Size(), benchBytes) / int64(*size)
		for slot := range slots { // so that reads return written data
			if _, err := disk.WriteAt(make([]byte, *size), slot*int64(*size)); err != nil {
				return err
			}
		}
		for _, operation := range []string{"read", "write"} {
			load := diskLoad{disk: disk, write: operation == "write", size: *size, depth: *depth, slots: slots}
			latencies, failed := load.measure(*each)
			writef(command.OutOrStdout(), "%s of %d bytes, %d out: %.0f a second, p50 %d us, p99 %d us, %d failed\n", operation,
				*size, *depth, float64(latencies.TotalCount())/each.Seconds(), latencies.ValueAtQuantile(50),
				latencies.ValueAtQuantile(99), failed)
		}
		return nil
	}
	return command
}

// diskLoad generates load on a disk: reads or writes of one size at random offsets.
type diskLoad struct {
	disk  *initiator.Disk
	write bool
	size  int   // bytes per request
	depth int   // requests in flight
	slots int64 // number of areas of that size at the start of the disk
}

// measure applies the load for a duration. It returns the latencies of the successful requests, in microseconds, and
// the number of failed requests.
func (l *diskLoad) measure(duration time.Duration) (latencies *hdrhistogram.Histogram, failed int) {
	latencies = newLatencies()
	end := time.Now().Add(duration)
	var lock sync.Mutex // guards the results
	var workers sync.WaitGroup
	for seed := range l.depth {
		workers.Go(func() {
			workerLatencies, workerFailed := l.run(uint64(seed), end)
			lock.Lock()
			defer lock.Unlock()
			latencies.Merge(workerLatencies)
			failed += workerFailed
		})
	}
	workers.Wait()
	return latencies, failed
}

// run sends one request after another until end.
func (l *diskLoad) run(seed uint64, end time.Time) (latencies *hdrhistogram.Histogram, failed int) {
	random := rand.New(rand.NewPCG(seed, 1))
	buffer := make([]byte, l.size)
	latencies = newLatencies()
	for time.Now().Before(end) {
		offset := random.Int64N(l.slots) * int64(l.size)
		start := time.Now()
		if err := l.doRequest(buffer, offset); err != nil {
			failed++
			continue
		}
		_ = latencies.RecordValue(max(1, time.Since(start).Microseconds())) // values above the maximum are not recorded
	}
	return latencies, failed
}

func (l *diskLoad) doRequest(buffer []byte, offset int64) (err error) {
	if l.write {
		_, err = l.disk.WriteAt(buffer, offset)
	} else {
		_, err = l.disk.ReadAt(buffer, offset)
	}
	return err
}

func newLatencies() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }
