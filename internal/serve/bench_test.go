package serve_test

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"irispost/internal/testkit"
)

// BenchmarkRead reads blocks of 4 KiB through a gateway, 16 at a time. Client, gateway and node share one process.
func BenchmarkRead(b *testing.B) { benchmarkRead(b, testkit.Conf) }

// BenchmarkReadCaptured is BenchmarkRead with an active capture.
func BenchmarkReadCaptured(b *testing.B) {
	benchmarkRead(b, confWithBlock(fmt.Sprintf("  capture {\n    folder = %q\n  }\n", b.TempDir())))
}

func benchmarkRead(b *testing.B, conf string) {
	testbed := testkit.Start(b, conf, 1, 1, nil)
	c := testbed.Client(0)
	if err := put(c, "/meals/f", randomBytes(1, 64<<10)); err != nil {
		b.Fatal(err)
	}
	f, err := c.OpenFile("/meals/f", os.O_RDONLY)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	var running sync.WaitGroup
	for i := range 16 {
		running.Add(1)
		go func() {
			defer running.Done()
			buf := make([]byte, 4096)
			for n := i; n < b.N; n += 16 {
				if _, err := f.ReadAt(buf, int64(n%16)*4096); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	running.Wait()
}
