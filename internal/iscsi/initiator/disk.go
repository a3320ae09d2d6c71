package initiator

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"irispost/internal/iscsi/negotiate"
	"irispost/internal/scsi"
)

// Errors of disks.
var (
	ErrUnknown   = errors.New("iscsi: it may have been done in part or not at all")
	ErrDifferent = errors.New("iscsi: the blocks hold something else")
	ErrBusy      = errors.New("iscsi: the target is busy, trying again is harmless")
	ErrRange     = errors.New("iscsi: past the end of the disk")
)

// Retry says how long a disk goes on trying.
type Retry struct {
	For   time.Duration // from a request's beginning; 0: 30 s
	Least time.Duration // pause after BUSY, or before connecting anew; doubled; 0: 20 ms
	Most  time.Duration // 0: 1 s
	Once  bool          // writes are repeated only where they never ran: for blocks that others write as well, see Disk
}

// Disk is a logical unit. It may be used from many goroutines. A session that is lost is begun anew. What is harmless to
// repeat is repeated: reads, and writes of given blocks. A write whose outcome is not known may have been done, and is done
// once more then: where others write the same blocks, theirs in between is lost, so Retry.Once is for them. A compare with
// its write is repeated only if it never ran.
type Disk struct {
	opt   Options
	retry Retry
	lun   uint16
	lock  sync.Mutex
	s     *Session
	Block uint32 // bytes of a block
	Count uint64 // blocks
	Model string
	most  int // bytes of a transfer
}

// Open opens a unit.
func Open(ctx context.Context, opt Options, lun uint16, retry Retry) (*Disk, error) {
	set := func(d *time.Duration, otherwise time.Duration) {
		if *d == 0 {
			*d = otherwise
		}
	}
	set(&retry.For, 30*time.Second)
	set(&retry.Least, 20*time.Millisecond)
	set(&retry.Most, time.Second)
	d := &Disk{opt: opt, retry: retry, lun: lun}
	r, err := d.command(ctx, cdb(0x12, 0, 0, 0, 255), nil, 255, true)
	if err != nil {
		return nil, err
	}
	if len(r.Data) < 36 || r.Data[0] != 0 {
		_ = d.Close()
		return nil, fmt.Errorf("iscsi: %s has no disk %d", opt.Target, lun)
	}
	if _, err = d.command(ctx, cdb(0x00), nil, 0, true); err != nil { // it may have to become ready
		_ = d.Close()
		return nil, err
	}
	d.Model = string(bytes.TrimSpace(r.Data[8:32]))
	size := cdb(0x9e, 0x10)
	binary.BigEndian.PutUint32(size[10:], 32)
	if r, err = d.command(ctx, size, nil, 32, true); err != nil || len(r.Data) < 12 {
		_ = d.Close()
		return nil, fmt.Errorf("iscsi: the size of disk %d is not told: %w", lun, err)
	}
	d.Count, d.Block = binary.BigEndian.Uint64(r.Data)+1, binary.BigEndian.Uint32(r.Data[8:])
	if r, err = d.command(ctx, cdb(0x12, 1, 0xb0, 0, 64), nil, 64, true); err == nil && len(r.Data) >= 12 {
		d.most = int(binary.BigEndian.Uint32(r.Data[8:])) * int(d.Block)
	}
	if d.most <= 0 {
		d.most = 256 << 10
	}
	d.most = min(d.most, 4<<20)
	return d, nil
}

// cdb is a command descriptor block of 16 bytes that begins so.
func cdb(b ...byte) []byte { return append(b, make([]byte, 16-len(b))...) }

// session is the present one, begun anew where it is lost.
func (d *Disk) session(ctx context.Context) (*Session, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.s != nil && d.s.Lost() == nil && !d.s.Asked() {
		return d.s, nil
	}
	if d.s != nil && d.s.Asked() {
		go func() { _ = d.s.Close() }()
	}
	s, err := Dial(ctx, d.opt)
	if err == nil {
		d.s = s
	}
	return s, err
}

// command does a command until it has an answer that counts, or its time is up. harmless: to repeat, whatever became of it.
func (d *Disk) command(ctx context.Context, block, out []byte, in int, harmless bool) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, d.retry.For)
	defer cancel()
	pause, last := d.retry.Least, error(nil)
	for {
		r, err := Reply{}, error(nil)
		s, err := d.session(ctx)
		sent := err == nil
		if sent {
			r, err = s.Do(ctx, d.lun, block, out, in)
		}
		var refusal *negotiate.Refusal
		switch {
		case errors.As(err, &refusal) && refusal.Class == 2: // our own fault: it would be refused again
			return r, err
		case err != nil && sent && !harmless:
			return r, fmt.Errorf("%w: %w", ErrUnknown, err)
		case err != nil:
			last = err
		case r.Status == scsi.Good:
			return r, nil
		case r.Status == scsi.Busy || r.Status == scsi.TaskSetFull:
			last = ErrBusy
		case r.Sense == nil:
			last = fmt.Errorf("%w: status %#02x", ErrUnknown, byte(r.Status))
			if !harmless {
				return r, last
			}
		case r.Sense.Key == scsi.Miscompare.Key:
			return r, ErrDifferent
		case r.Sense.Key == scsi.OutOfRange.Key && r.Sense.Code == scsi.OutOfRange.Code:
			return r, ErrRange
		case r.Sense.Key == scsi.Becoming.Key && r.Sense.Qualifier == scsi.Becoming.Qualifier:
			last = r.Sense
		case r.Sense.Key == scsi.Unknown.Key:
			if last = fmt.Errorf("%w: %w", ErrUnknown, r.Sense); !harmless {
				return r, last
			}
		default:
			return r, r.Sense
		}
		select {
		case <-ctx.Done():
			return r, errors.Join(last, ctx.Err())
		case <-time.After(pause):
		}
		pause = min(2*pause, d.retry.Most)
	}
}

// blocks makes READ (16), WRITE (16) and their like.
func blocks(op byte, at uint64, n int) []byte {
	b := cdb(op)
	binary.BigEndian.PutUint64(b[2:], at)
	binary.BigEndian.PutUint32(b[10:], uint32(n))
	return b
}

// aligned tells whether a range is whole blocks within the disk.
func (d *Disk) aligned(offset int64, n int) error {
	size := int64(d.Block)
	if offset < 0 || offset%size != 0 || int64(n)%size != 0 {
		return fmt.Errorf("iscsi: %d bytes at %d are not whole blocks of %d", n, offset, d.Block)
	}
	if uint64(offset)/uint64(size)+uint64(n)/uint64(size) > d.Count {
		return ErrRange
	}
	return nil
}

// Size is the disk's bytes.
func (d *Disk) Size() int64 { return int64(d.Count) * int64(d.Block) }

// ReadAt reads whole blocks (io.ReaderAt).
func (d *Disk) ReadAt(p []byte, offset int64) (int, error) {
	return d.Read(context.Background(), p, offset)
}

// Read reads whole blocks.
func (d *Disk) Read(ctx context.Context, p []byte, offset int64) (done int, err error) {
	if err := d.aligned(offset, len(p)); err != nil {
		return 0, err
	}
	for done < len(p) {
		n := min(len(p)-done, d.most)
		r, err := d.command(ctx, blocks(0x88, uint64(offset+int64(done))/uint64(d.Block), n/int(d.Block)), nil, n, true)
		if err != nil {
			return done, err
		}
		if len(r.Data) != n {
			return done, io.ErrUnexpectedEOF
		}
		done += copy(p[done:], r.Data)
	}
	return done, nil
}

// WriteAt writes whole blocks (io.WriterAt).
func (d *Disk) WriteAt(p []byte, offset int64) (int, error) {
	return d.Write(context.Background(), p, offset)
}

// Write writes whole blocks. An error tells that they may be there in part.
func (d *Disk) Write(ctx context.Context, p []byte, offset int64) (done int, err error) {
	if err := d.aligned(offset, len(p)); err != nil {
		return 0, err
	}
	for done < len(p) {
		n := min(len(p)-done, d.most)
		if _, err := d.command(ctx, blocks(0x8a, uint64(offset+int64(done))/uint64(d.Block), n/int(d.Block)), p[done:done+n], 0, !d.retry.Once); err != nil {
			return done, err
		}
		done += n
	}
	return done, nil
}

// Compare compares blocks, and writes others in their place if they are the same, as one step. ErrDifferent: they are not.
// ErrUnknown: it may have been done; whether it was, reading tells.
func (d *Disk) Compare(ctx context.Context, want, next []byte, offset int64) error {
	if err := d.aligned(offset, len(want)); err != nil {
		return err
	}
	n := len(want) / int(d.Block)
	if len(next) != len(want) || n > 255 {
		return fmt.Errorf("iscsi: %d and %d bytes cannot be compared and written", len(want), len(next))
	}
	b := cdb(0x89)
	binary.BigEndian.PutUint64(b[2:], uint64(offset)/uint64(d.Block))
	b[13] = byte(n)
	_, err := d.command(ctx, b, append(append([]byte{}, want...), next...), 0, false)
	return err
}

// Sync puts on record what was written.
func (d *Disk) Sync(ctx context.Context) error {
	_, err := d.command(ctx, cdb(0x91), nil, 0, true)
	return err
}

// Unmap gives blocks back, which then read as zeros.
func (d *Disk) Unmap(ctx context.Context, offset int64, n int) error {
	if err := d.aligned(offset, n); err != nil {
		return err
	}
	list := make([]byte, 24)
	binary.BigEndian.PutUint16(list, 22)
	binary.BigEndian.PutUint16(list[2:], 16)
	binary.BigEndian.PutUint64(list[8:], uint64(offset)/uint64(d.Block))
	binary.BigEndian.PutUint32(list[16:], uint32(n/int(d.Block)))
	b := cdb(0x42)
	binary.BigEndian.PutUint16(b[7:], uint16(len(list)))
	_, err := d.command(ctx, b, list, 0, true)
	return err
}

// Break breaks the session off, as a crash does; the next request begins another.
func (d *Disk) Break() {
	d.lock.Lock()
	s := d.s
	d.lock.Unlock()
	if s != nil {
		s.Break()
	}
}

// Close logs out.
func (d *Disk) Close() error {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.s == nil {
		return nil
	}
	s := d.s
	d.s = nil
	return s.Close()
}
