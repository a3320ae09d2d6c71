package capture

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"irispost/scheduler"
)

// Limits are the sizes and intervals of a recorder.
type Limits struct {
	BlockBytes    int           // uncompressed size at which a block is closed
	FlushInterval time.Duration // interval at which blocks are closed; a killed gateway loses the records of this time
	QueuedBlocks  int           // blocks that may wait for the disk; further ones are dropped and counted
	FileBytes     int64         // maximum size of a file; then the next one starts, or a capture to a single file ends
	FileAge       time.Duration // maximum age of a file of a capture to a folder; 0: no limit
	KeptFiles     int           // files kept of a capture to a folder; older ones are removed
}

// DefaultLimits are the limits of a capture for which none are configured.
var DefaultLimits = Limits{
	BlockBytes:    256 << 10,
	FlushInterval: 200 * time.Millisecond,
	QueuedBlocks:  16,
	FileBytes:     256 << 20,
	FileAge:       time.Hour,
	KeptFiles:     16,
}

// maxFreeBuffers is the number of buffers of written blocks that are kept for reuse.
const maxFreeBuffers = 2

// Recorder writes a capture. All methods but Status and Close are called by the event loop only and never wait for the
// disk. One goroutine of the recorder closes blocks at intervals, another one writes them; Close ends both.
type Recorder struct {
	limits  Limits
	header  Record
	scratch Record // reused by the event loop; only the fields of its kind are valid

	// The open block. The lock guards it, as the event loop and the flushing goroutine use it.
	lock            sync.Mutex
	raw             []byte
	count           int            // number of records
	firstAt         scheduler.Time // time of the first record
	unreportedDrops int            // records dropped since the last queued block

	blocks      chan block  // queued for the writer
	freeBuffers chan []byte // buffers of written blocks
	stop        chan struct{}
	close       sync.Once

	needsSnapshot atomic.Bool // records were dropped or a file was started, and no snapshot was recorded since
	written       atomic.Int64
	dropped       atomic.Int64

	done chan struct{} // closed when the writer has ended
	err  error         // of the writer; valid once done is closed
}

// fileOpener opens the next file of a capture. It is nil for a capture to a single file.
type fileOpener func() (io.WriteCloser, error)

// NewRecorder starts a capture to out, which Close closes. name is the name of the gateway, build the version of the
// program.
func NewRecorder(out io.WriteCloser, name, build string, limits Limits) *Recorder {
	return newRecorder(out, nil, name, build, limits)
}

func newRecorder(out io.WriteCloser, next fileOpener, name, build string, limits Limits) *Recorder {
	r := &Recorder{
		limits:      limits,
		header:      Record{Kind: KindHeader, Name: name, Build: build, Digest: xxhash.Sum64(scheduler.PolicySource)},
		blocks:      make(chan block, max(limits.QueuedBlocks, 1)),
		freeBuffers: make(chan []byte, maxFreeBuffers),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
	}
	w := &fileWriter{recorder: r, openNext: next}
	go w.run(out)
	go r.flush()
	r.add(&r.header)
	return r
}

// CreateInDir starts a capture to files NAME-TIME.N.iriscap in a folder and returns the first file's name. When a file
// is full or too old, the capture continues in the next and a snapshot of the scheduler is recorded, so that each file
// can be replayed on its own. The oldest files are removed.
func CreateInDir(dir, name, build string, limits Limits) (r *Recorder, first string, err error) {
	stem := filepath.Join(dir, name+"-"+time.Now().UTC().Format("20060102T150405.000000"))
	fileName := func(number int) string { return fmt.Sprintf("%s.%d.iriscap", stem, number) }
	number := 0
	next := func() (io.WriteCloser, error) {
		number++
		if oldest := number - limits.KeptFiles; limits.KeptFiles > 0 && oldest > 0 {
			_ = os.Remove(fileName(oldest)) // it may have been removed already
		}
		return createFile(fileName(number))
	}
	out, err := next()
	if err != nil {
		return nil, "", fmt.Errorf("capture: %w", err)
	}
	return newRecorder(out, next, name, build, limits), fileName(1), nil
}

// Create starts a capture to a new file.
func Create(file, name, build string, limits Limits) (*Recorder, error) {
	out, err := createFile(file)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return NewRecorder(out, name, build, limits), nil
}

func createFile(name string) (io.WriteCloser, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
}

// add appends a record to the open block.
func (r *Recorder) add(record *Record) {
	r.lock.Lock()
	if r.count == 0 {
		r.firstAt = record.At
	}
	r.raw = appendRecord(r.raw, record)
	r.count++
	if len(r.raw) >= r.limits.BlockBytes {
		r.enqueueBlock()
	}
	r.lock.Unlock()
}

// enqueueBlock queues the open block for the writer, or drops it if the queue is full. The caller holds the lock.
func (r *Recorder) enqueueBlock() {
	if r.count == 0 {
		return
	}
	select {
	case r.blocks <- r.openBlock():
		if r.unreportedDrops > 0 {
			r.needsSnapshot.Store(true)
		}
		r.unreportedDrops = 0
	default:
		r.unreportedDrops += r.count
		r.dropped.Add(int64(r.count))
	}
	r.count = 0
	select {
	case r.raw = <-r.freeBuffers:
	default:
		r.raw = make([]byte, 0, r.limits.BlockBytes+r.limits.BlockBytes/4)
	}
}

// openBlock returns the open block. If records were dropped before it, a gap record precedes it. The caller holds the
// lock.
func (r *Recorder) openBlock() block {
	if r.unreportedDrops == 0 {
		return block{r.raw, r.firstAt, r.count}
	}
	gap := appendRecord(nil, &Record{Kind: KindGap, At: r.firstAt, Dropped: r.unreportedDrops})
	return block{append(gap, r.raw...), r.firstAt, r.count + 1}
}

// flush queues the open block at intervals, until Close.
func (r *Recorder) flush() {
	tick := time.NewTicker(r.limits.FlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-tick.C:
			r.lock.Lock()
			r.enqueueBlock()
			r.lock.Unlock()
		}
	}
}

// Status is the progress of a capture.
type Status struct {
	Written int64 // bytes in all files
	Dropped int64 // number of records
}

// Status returns the progress of the capture. It may be called by any goroutine.
func (r *Recorder) Status() Status { return Status{r.written.Load(), r.dropped.Load()} }

// Close ends the capture, waits until it is written and returns the first error of the writer.
func (r *Recorder) Close(now scheduler.Time) error {
	r.close.Do(func() {
		close(r.stop)
		r.add(&Record{Kind: KindEnd, At: now, Name: "closed"})
		r.lock.Lock()
		defer r.lock.Unlock()
		if r.count > 0 {
			r.blocks <- r.openBlock() // may wait for the disk, as the event loop has ended
			r.raw, r.count = nil, 0
		}
		close(r.blocks)
	})
	<-r.done
	return r.err
}
