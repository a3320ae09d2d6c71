package capture

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"irispost/scheduler"
)

// A capture is its magic with the version, then blocks. A block is its head (lengths raw and packed, the time of its
// first record, its number of records, a checksum of head and body) and a zstd frame of records.
const (
	magic     = "IRISCAP1"
	magicName = "IRISCAP"
	blockHead = 4 + 4 + 8 + 4 + 8
	mostBlock = 64 << 20 // raw; a longer one is not believed
)

// Limits bound a recorder.
type Limits struct {
	BlockBytes    int           // raw bytes of a block, about
	FlushInterval time.Duration // a block is closed after this time at the latest; so much is lost when a gateway is killed
	QueuedBlocks  int           // blocks that may wait for the disk; one more is dropped and counted
	FileBytes     int64         // bytes of a file; then the next begins, or the capture ends where there is none
	FileAge       time.Duration // of a file, likewise; 0: any
	KeptFiles     int           // files that are kept of a capture in a folder; the oldest go
}

// DefaultLimits are used where nothing else is said.
var DefaultLimits = Limits{BlockBytes: 256 << 10, FlushInterval: 200 * time.Millisecond, QueuedBlocks: 16, FileBytes: 256 << 20, FileAge: time.Hour, KeptFiles: 16}

// Recorder writes a capture. Its calls come from one goroutine, the loop's, and never wait for the disk.
type Recorder struct {
	limits  Limits
	head    Record
	next    func() (io.WriteCloser, error) // opens the next file; nil: there is one only
	lock    sync.Mutex                     // buf and count: the loop's, and the flush's
	buf     []byte
	count   int
	first   scheduler.Time
	scratch Record      // what is being written down, the loop's, used again; only the fields of its kind count
	spare   chan []byte // buffers of blocks that are written
	lost    int         // records dropped since the last block that was handed on
	blocks  chan block
	done    chan struct{}
	stop    chan struct{}
	once    sync.Once
	size    int64        // of the present file, the writer's
	blind   atomic.Bool  // records were dropped, and no state has come since
	written atomic.Int64 // bytes, of all files
	dropped atomic.Int64
	err     error // the writer's, read after done
}

type block struct {
	raw   []byte
	first scheduler.Time
	count int
}

// NewRecorder writes a capture to out, which is closed with it.
func NewRecorder(out io.WriteCloser, name, build string, l Limits) *Recorder {
	return newRecorder(out, nil, name, build, l)
}

func newRecorder(out io.WriteCloser, next func() (io.WriteCloser, error), name, build string, l Limits) *Recorder {
	r := &Recorder{limits: l, next: next, blocks: make(chan block, max(l.QueuedBlocks, 1)), done: make(chan struct{}), stop: make(chan struct{}),
		spare: make(chan []byte, 2)}
	r.head = Record{Kind: Header, Name: name, Build: build, Digest: xxhash.Sum64(scheduler.PolicySource)}
	go r.writer(out)
	go r.flusher()
	r.add(&r.head)
	return r
}

// CreateInDir writes a capture to files NAME-TIME.N.iriscap in a folder. When one is full, or old, the next begins with the
// module's full state, so that each can be replayed by itself; so many are kept. It returns the first file.
func CreateInDir(folder, name, build string, l Limits) (r *Recorder, first string, err error) {
	stem := filepath.Join(folder, name+"-"+time.Now().UTC().Format("20060102T150405.000000"))
	number := 0
	next := func() (io.WriteCloser, error) {
		number++
		if old := number - l.KeptFiles; l.KeptFiles > 0 && old > 0 {
			_ = os.Remove(fmt.Sprintf("%s.%d.iriscap", stem, old)) // one that is gone already is no trouble
		}
		first = fmt.Sprintf("%s.%d.iriscap", stem, number)
		return os.OpenFile(first, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	}
	out, err := next()
	if err != nil {
		return nil, "", fmt.Errorf("capture: %w", err)
	}
	name1 := first
	return newRecorder(out, next, name, build, l), name1, nil
}

// Create writes a capture to a new file.
func Create(file, name, build string, l Limits) (*Recorder, error) {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return NewRecorder(f, name, build, l), nil
}

// add adds a record to the open block.
func (r *Recorder) add(rec *Record) {
	r.lock.Lock()
	if r.count == 0 {
		r.first = rec.At
	}
	r.buf = appendRecord(r.buf, rec)
	r.count++
	if len(r.buf) >= r.limits.BlockBytes {
		r.hand()
	}
	r.lock.Unlock()
}

// hand hands the open block to the writer, or drops it if too many wait; the lock is held. A block that follows dropped
// ones begins with how many records are missing.
func (r *Recorder) hand() {
	if r.count == 0 {
		return
	}
	raw, count := r.buf, r.count
	if r.lost > 0 {
		raw = append(appendRecord(nil, &Record{Kind: Gap, At: r.first, Dropped: r.lost}), raw...)
		count++
	}
	select {
	case r.blocks <- block{raw, r.first, count}:
		if r.lost > 0 {
			r.blind.Store(true)
		}
		r.lost = 0
	default:
		r.lost += r.count
		r.dropped.Add(int64(r.count))
	}
	r.count = 0
	select {
	case r.buf = <-r.spare:
	default:
		r.buf = make([]byte, 0, r.limits.BlockBytes+r.limits.BlockBytes/4)
	}
}

func (r *Recorder) flusher() {
	tick := time.NewTicker(r.limits.FlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-tick.C:
			r.lock.Lock()
			r.hand()
			r.lock.Unlock()
		}
	}
}

// writer packs blocks and writes them. What cannot be written ends the capture, not the gateway.
func (r *Recorder) writer(out io.WriteCloser) {
	defer close(r.done)
	pack, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithNoEntropyCompression(true), zstd.WithEncoderCRC(false)) // the block has a checksum; half the time for a third more bytes
	if err == nil {
		_, err = io.WriteString(out, magic)
		r.size = int64(len(magic))
		r.written.Store(r.size)
	}
	var frame []byte
	opened := time.Now()
	for b := range r.blocks {
		if err != nil {
			r.dropped.Add(int64(b.count))
			continue
		}
		frame = packBlock(pack, b, frame)
		full := r.size+int64(len(frame)) > r.limits.FileBytes
		if full || r.limits.FileAge > 0 && r.next != nil && time.Since(opened) > r.limits.FileAge {
			why := "this file is full or old, the capture goes on in the next"
			if r.next == nil {
				why = fmt.Sprintf("it has reached %d bytes, the most that it may have", r.limits.FileBytes)
				err = errors.New(why)
			}
			// A file without its End record is read as cut off.
			_, _ = out.Write(packBlock(pack, block{appendRecord(nil, &Record{Kind: End, At: b.first, Name: why}), b.first, 1}, nil))
			if err == nil {
				out, err = r.turn(out, pack)
				opened = time.Now()
			}
			if err != nil {
				r.dropped.Add(int64(b.count))
				continue
			}
		}
		_, err = out.Write(frame)
		r.size += int64(len(frame))
		r.written.Add(int64(len(frame)))
		select {
		case r.spare <- b.raw[:0]:
		default:
		}
	}
	r.err = errors.Join(err, out.Close())
}

// turn closes a file and begins the next, which asks for the module's state.
func (r *Recorder) turn(old io.WriteCloser, pack *zstd.Encoder) (io.WriteCloser, error) {
	if err := old.Close(); err != nil {
		return old, err
	}
	out, err := r.next()
	if err != nil {
		return old, err
	}
	head := packBlock(pack, block{appendRecord(nil, &r.head), 0, 1}, nil)
	if _, err := out.Write(append([]byte(magic), head...)); err != nil {
		return out, err
	}
	r.size = int64(len(magic) + len(head))
	r.written.Add(r.size)
	r.blind.Store(true)
	return out, nil
}

func packBlock(pack *zstd.Encoder, b block, into []byte) []byte {
	var head [blockHead]byte
	out := pack.EncodeAll(b.raw, append(into[:0], head[:]...))
	binary.BigEndian.PutUint32(out, uint32(len(b.raw)))
	binary.BigEndian.PutUint32(out[4:], uint32(len(out)-blockHead))
	binary.BigEndian.PutUint64(out[8:], uint64(b.first))
	binary.BigEndian.PutUint32(out[16:], uint32(b.count))
	binary.BigEndian.PutUint64(out[20:], sum(out[:20], out[blockHead:]))
	return out
}

// sum is the checksum of a block's head and body.
func sum(head, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(head) // a digest takes all
	_, _ = h.Write(body)
	return h.Sum64()
}

// Status is how a capture stands.
type Status struct {
	Written int64 // bytes
	Dropped int64 // records
}

// Status tells how the capture stands.
func (r *Recorder) Status() Status { return Status{r.written.Load(), r.dropped.Load()} }

// Close ends the capture and waits until it is written.
func (r *Recorder) Close(now scheduler.Time) error {
	r.once.Do(func() {
		close(r.stop)
		r.add(&Record{Kind: End, At: now, Name: "closed"})
		r.lock.Lock()
		if r.count > 0 {
			raw, count := r.buf, r.count
			if r.lost > 0 {
				raw, count = append(appendRecord(nil, &Record{Kind: Gap, At: r.first, Dropped: r.lost}), raw...), count+1
			}
			r.blocks <- block{raw, r.first, count} // the loop has ended: here the disk may be waited for
			r.buf, r.count = nil, 0
		}
		close(r.blocks)
		r.lock.Unlock()
	})
	<-r.done
	return r.err
}

// The recorder's calls by the loop. Each is what the module is told at that moment.
