package serve_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"irispost/internal/audit"
	"irispost/internal/gateway"
	"irispost/internal/iscsi/initiator"
	"irispost/internal/standin"
	"irispost/internal/testkit"
)

// benchBytes is the size of the file and of the part of the disk that the benchmarks use.
const benchBytes = 8 << 20

// blockFunc reads or writes a block at an offset.
type blockFunc func(block []byte, offset int64) (int, error)

// BenchmarkFronts reads and writes through the SFTP and the iSCSI front end in one run. Client, gateway and node share
// one process, and cpu-us/op is the processor time of all three.
func BenchmarkFronts(b *testing.B) {
	for _, size := range []int{4 << 10, 64 << 10} {
		for _, depth := range []int{1, 16, 128} {
			for _, write := range []bool{false, true} {
				benchmarkFrontEnds(b, size, depth, write)
			}
		}
	}
}

func benchmarkFrontEnds(b *testing.B, size, depth int, write bool) {
	testbed := testkit.Start(b, testkit.Conf+disksConf, 1, 1, nil)
	d, err := initiator.Open(context.Background(), diskOptions(testbed, 0, nil), 0,
		initiator.RetryPolicy{Timeout: failureTimeout})
	if err != nil {
		b.Fatal(err)
	}
	f, err := testbed.Client(0).OpenFile("/meals/file", os.O_RDWR|os.O_CREATE)
	if err != nil {
		b.Fatal(err)
	}
	data := make([]byte, benchBytes)
	if _, err := f.WriteAt(data, 0); err != nil {
		b.Fatal(err)
	}
	if _, err := d.WriteAt(data, 0); err != nil {
		b.Fatal(err)
	}
	operation, file, disk := "read", blockFunc(f.ReadAt), blockFunc(d.ReadAt)
	if write {
		operation, file, disk = "write", f.WriteAt, d.WriteAt
	}
	name := fmt.Sprintf("%s/%d/%d/", operation, size, depth)
	b.Run(name+"file", func(b *testing.B) { benchmarkBlocks(b, file, size, depth) })
	b.Run(name+"disk", func(b *testing.B) { benchmarkBlocks(b, disk, size, depth) })
	_, _ = d.Close(), f.Close()
}

// benchmarkBlocks runs b.N operations, up to depth of them concurrently.
func benchmarkBlocks(b *testing.B, do blockFunc, size, depth int) {
	b.ReportAllocs()
	before := cpuTime()
	b.ResetTimer()
	var running sync.WaitGroup
	for i := range depth {
		running.Go(func() {
			block := make([]byte, size)
			for n := i; n < b.N; n += depth {
				if _, err := do(block, int64(n*size)%benchBytes); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	running.Wait()
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail for the process itself
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sharesConf adds a second volume with the same plan and a disk.
const sharesConf = testkit.Conf + `
volume "blocks" {
  id   = 2
  plan = "basic"
  product "read" {
    for = ["read", "look"]
  }
  product "write" {
    for = ["write"]
  }
  product "change" {
    for = ["change"]
  }
}
disks {
  listen = "127.0.0.1:0"
  target "iqn.2026-01.example:meals" {
    lun "0" {
      file = "/blocks/disk0"
      size = "16MiB"
    }
  }
}
`

// readLoad runs readers of the blocks of files and disks until it is stopped.
type readLoad struct {
	stop    chan struct{}
	running sync.WaitGroup
}

// add starts readers. They count failed reads in failed.
func (l *readLoad) add(readers int, failed *atomic.Int64, read blockFunc) {
	for i := range readers {
		l.running.Go(func() {
			block := make([]byte, 16<<10)
			for n := int64(i); ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				if _, err := read(block, n%64*16<<10); err != nil {
					failed.Add(1)
					time.Sleep(100 * time.Millisecond) // wait before the next read: this one was rejected
				}
			}
		})
	}
}

// servedUnits returns the units that nodes served between two times, by volume ID.
func servedUnits(events []audit.Event, from, to int64) map[int64]float64 {
	type attempt struct {
		request string
		number  int
	}
	units, received := map[int64]float64{}, map[attempt]audit.Event{}
	for _, e := range events {
		a := attempt{e.RequestID, e.Attempt}
		switch {
		case e.Type == audit.AttemptReceived:
			received[a] = e
		case e.Type == audit.AttemptAnswered && !e.NotExecuted && e.At > from && e.At < to:
			units[received[a].Volume] += received[a].Units
		}
	}
	return units
}

// TestSharesOfFrontends measures how a node's capacity is shared by file clients of one volume and a disk session with
// many outstanding reads of another volume of equal weight, which together request more than the node can serve. It
// logs the shares. It runs only with IRISPOST_MEASURE=1; IRISPOST_PLAN replaces the rate and reserve of the plan.
func TestSharesOfFrontends(t *testing.T) {
	if os.Getenv("IRISPOST_MEASURE") == "" {
		t.Skip("measurement, runs with IRISPOST_MEASURE=1")
	}
	clock := gateway.NewClock()
	record := &audit.Recorder{Clock: clock.Now}
	plan := os.Getenv("IRISPOST_PLAN")
	if plan == "" {
		plan = "rate = 1000\n  reserve = 400"
	}
	conf := strings.Replace(sharesConf, "rate = 1000", plan, 1)
	testbed := testkit.Start(t, conf, 1, 1, func(o *standin.Options) {
		o.Recorder, o.UnitTime, o.Cores = record, 2*time.Millisecond, 2
	})
	d := openDisk(t, diskOptions(testbed, 0, nil), 0)
	if _, err := d.WriteAt(make([]byte, 1<<20), 0); err != nil {
		t.Fatal(err)
	}
	if err := put(testbed.Client(0), "/meals/f", make([]byte, 1<<20)); err != nil {
		t.Fatal(err)
	}
	l := &readLoad{stop: make(chan struct{})}
	var failedFiles, failedBlocks atomic.Int64
	for range 4 {
		f, err := testbed.Client(0).Open("/meals/f")
		if err != nil {
			t.Fatal(err)
		}
		l.add(32, &failedFiles, f.ReadAt)
	}
	l.add(128, &failedBlocks, d.ReadAt)
	time.Sleep(2 * time.Second)
	from := clock.Now()
	time.Sleep(10 * time.Second)
	to := clock.Now()
	close(l.stop)
	l.running.Wait()
	units := servedUnits(record.Events(), from, to)
	t.Logf("units served in 10 s: file clients %.0f, disk client %.0f, ratio %.2f; failed: %d file reads, %d disk reads",
		units[1], units[2], units[1]/units[2], failedFiles.Load(), failedBlocks.Load())
}
