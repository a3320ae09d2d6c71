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

// Limits bound a recorder.
type Limits struct {
	BlockBytes    int           // raw bytes after which a block is closed
	FlushInterval time.Duration // after which a block is closed at the latest; so much is lost when a gateway is killed
	QueuedBlocks  int           // blocks that may wait for the disk; one more is dropped and counted
	FileBytes     int64         // of a file; then the next begins, or the capture ends where there is none
	FileAge       time.Duration // of a file, likewise; 0: no limit
	KeptFiles     int           // of a capture in a folder; the oldest are removed
}

// DefaultLimits are the limits of a capture that has none of its own.
var DefaultLimits = Limits{
	BlockBytes:    256 << 10,
	FlushInterval: 200 * time.Millisecond,
	QueuedBlocks:  16,
	FileBytes:     256 << 20,
	FileAge:       time.Hour,
	KeptFiles:     16,
}

// spareBuffers is how many buffers of written blocks are kept for the next ones.
const spareBuffers = 2

// Recorder writes a capture. The event loop alone calls it, but for Status and Close; its calls never wait for the
// disk. Two goroutines of its own flush and write; they end with Close.
type Recorder struct {
	limits  Limits
	header  Record
	scratch Record // what the loop is writing down, used again; only the fields of its kind count

	// The open block. The lock is held by the loop and by the flusher.
	lock  sync.Mutex
	raw   []byte
	count int            // its records
	first scheduler.Time // of its first record
	lost  int            // records that were dropped since the last block that was handed on

	blocks chan block  // to the writer
	spare  chan []byte // buffers of blocks that are written
	stop   chan struct{}
	close  sync.Once

	needsSnapshot atomic.Bool // records were dropped, and no state has come since
	written       atomic.Int64
	dropped       atomic.Int64

	done chan struct{} // closed by the writer at its end
	err  error         // the writer's, read after done
}

// openFile opens the next file of a capture; nil: it has one file only.
type openFile func() (io.WriteCloser, error)

// NewRecorder writes a capture to out, which is closed with it.
func NewRecorder(out io.WriteCloser, name, build string, limits Limits) *Recorder {
	return newRecorder(out, nil, name, build, limits)
}

func newRecorder(out io.WriteCloser, next openFile, name, build string, limits Limits) *Recorder {
	r := &Recorder{
		limits: limits,
		header: Record{Kind: KindHeader, Name: name, Build: build, Digest: xxhash.Sum64(scheduler.PolicySource)},
		blocks: make(chan block, max(limits.QueuedBlocks, 1)),
		spare:  make(chan []byte, spareBuffers),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	w := &fileWriter{recorder: r, next: next}
	go w.run(out)
	go r.flush()
	r.add(&r.header)
	return r
}

// CreateInDir writes a capture to files NAME-TIME.N.iriscap in a folder. When one is full, or old, the next begins with
// a snapshot of the scheduler, so that each can be replayed by itself; the oldest files are removed. It returns the
// first file's name.
func CreateInDir(dir, name, build string, limits Limits) (r *Recorder, first string, err error) {
	stem := filepath.Join(dir, name+"-"+time.Now().UTC().Format("20060102T150405.000000"))
	fileName := func(number int) string { return fmt.Sprintf("%s.%d.iriscap", stem, number) }
	number := 0
	next := func() (io.WriteCloser, error) {
		number++
		if oldest := number - limits.KeptFiles; limits.KeptFiles > 0 && oldest > 0 {
			_ = os.Remove(fileName(oldest)) // one that is gone already is no fault
		}
		return createFile(fileName(number))
	}
	out, err := next()
	if err != nil {
		return nil, "", fmt.Errorf("capture: %w", err)
	}
	return newRecorder(out, next, name, build, limits), fileName(1), nil
}

// Create writes a capture to a new file.
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

// add adds a record to the open block.
func (r *Recorder) add(record *Record) {
	r.lock.Lock()
	if r.count == 0 {
		r.first = record.At
	}
	r.raw = appendRecord(r.raw, record)
	r.count++
	if len(r.raw) >= r.limits.BlockBytes {
		r.handOn()
	}
	r.lock.Unlock()
}

// handOn hands the open block to the writer, or drops it if too many wait; the lock is held.
func (r *Recorder) handOn() {
	if r.count == 0 {
		return
	}
	select {
	case r.blocks <- r.openBlock():
		if r.lost > 0 {
			r.needsSnapshot.Store(true)
		}
		r.lost = 0
	default:
		r.lost += r.count
		r.dropped.Add(int64(r.count))
	}
	r.count = 0
	select {
	case r.raw = <-r.spare:
	default:
		r.raw = make([]byte, 0, r.limits.BlockBytes+r.limits.BlockBytes/4)
	}
}

// openBlock is the open block. One that follows dropped ones begins with how many records are missing. The lock is
// held.
func (r *Recorder) openBlock() block {
	if r.lost == 0 {
		return block{r.raw, r.first, r.count}
	}
	gap := appendRecord(nil, &Record{Kind: KindGap, At: r.first, Dropped: r.lost})
	return block{append(gap, r.raw...), r.first, r.count + 1}
}

// flush hands on what is open at intervals, until Close.
func (r *Recorder) flush() {
	tick := time.NewTicker(r.limits.FlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-tick.C:
			r.lock.Lock()
			r.handOn()
			r.lock.Unlock()
		}
	}
}

// Status is how a capture stands.
type Status struct {
	Written int64 // bytes, of all files
	Dropped int64 // records
}

// Status tells how the capture stands, to any goroutine.
func (r *Recorder) Status() Status { return Status{r.written.Load(), r.dropped.Load()} }

// Close ends the capture and waits until it is written. It returns the first error of the writer.
func (r *Recorder) Close(now scheduler.Time) error {
	r.close.Do(func() {
		close(r.stop)
		r.add(&Record{Kind: KindEnd, At: now, Name: "closed"})
		r.lock.Lock()
		defer r.lock.Unlock()
		if r.count > 0 {
			r.blocks <- r.openBlock() // the loop has ended: here the disk may be waited for
			r.raw, r.count = nil, 0
		}
		close(r.blocks)
	})
	<-r.done
	return r.err
}
