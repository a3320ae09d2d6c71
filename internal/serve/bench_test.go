package serve_test

import (
	"fmt"
	"os"
	"sync"
	"testing"

	"irispost/internal/testkit"
)

// BenchmarkRead reads 4 KiB through a gateway, 16 at a time: client, gateway and node in one process.
func BenchmarkRead(b *testing.B) { readThrough(b, testkit.Conf) }

// BenchmarkReadCaptured does the same with a capture on.
func BenchmarkReadCaptured(b *testing.B) {
	readThrough(b, withBlock(fmt.Sprintf("  capture {\n    folder = %q\n  }\n", b.TempDir())))
}

func readThrough(b *testing.B, conf string) {
	w := testkit.Start(b, conf, 1, 1, nil)
	c := w.Client(0)
	if err := put(c, "/meals/f", random(1, 64<<10)); err != nil {
		b.Fatal(err)
	}
	f, err := c.OpenFile("/meals/f", os.O_RDONLY)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	var all sync.WaitGroup
	for i := range 16 {
		all.Add(1)
		go func() {
			defer all.Done()
			buf := make([]byte, 4096)
			for n := i; n < b.N; n += 16 {
				if _, err := f.ReadAt(buf, int64(n%16)*4096); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	all.Wait()
}
