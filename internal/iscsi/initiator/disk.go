package initiator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// Errors returned by the methods of Disk.
var (
	ErrOutcomeUnknown = errors.New("iscsi: outcome unknown, the command may have been executed in full, partly or not at all")
	ErrMiscompare     = errors.New("iscsi: the blocks hold something else")
	ErrBusy           = errors.New("iscsi: target busy, the command was not executed and can be retried")
	ErrOutOfRange     = errors.New("iscsi: past the end of the disk")
)

// RetryPolicy configures the retries of a Disk.
type RetryPolicy struct {
	Timeout          time.Duration // total time of a command with its retries; 0: 30 s
	MinBackoff       time.Duration // first backoff, after BUSY or before a reconnect; doubled each time; 0: 20 ms
	MaxBackoff       time.Duration // maximum backoff; 0: 1 s
	NoRepeatedWrites bool          // retry writes only if they were not executed; for blocks with several writers, see Disk
}

// Defaults of RetryPolicy.
const (
	defaultRetryTimeout = 30 * time.Second
	defaultMinBackoff   = 20 * time.Millisecond
	defaultMaxBackoff   = time.Second
)

// Limits on the length of a transfer, in bytes.
const (
	defaultMaxTransfer = 256 << 10 // if the disk does not report a maximum
	transferLimit      = 4 << 20
)

// Disk is a logical unit. Its methods may be called concurrently. It replaces a lost session by a new one.
//
// Operations that are safe to repeat are retried: reads, and writes of given blocks. A write with an unknown outcome
// may have been done and is then done again, which overwrites what others wrote to the same blocks in between. Set
// RetryPolicy.NoRepeatedWrites for blocks with several writers. CompareAndWrite is retried only if it was not
// executed.
type Disk struct {
	BlockSize  uint32 // in bytes
	BlockCount uint64
	Model      string

	options     Options
	retry       RetryPolicy
	lun         uint16
	maxTransfer int // maximum length of a READ or WRITE in bytes

	lock    sync.Mutex // guards current
	current *Session
}

// Open connects to a logical unit and waits until it is ready.
func Open(ctx context.Context, options Options, lun uint16, retry RetryPolicy) (*Disk, error) {
	retry.Timeout = cmp.Or(retry.Timeout, defaultRetryTimeout)
	retry.MinBackoff = cmp.Or(retry.MinBackoff, defaultMinBackoff)
	retry.MaxBackoff = cmp.Or(retry.MaxBackoff, defaultMaxBackoff)
	d := &Disk{options: options, retry: retry, lun: lun}
	inquiry, err := d.command(ctx, newCDB(opInquiry, 0, 0, 0, 255), nil, 255, true)
	if err != nil {
		return nil, err
	}
	if err := d.identify(ctx, inquiry.Data); err != nil {
		_ = d.Close() // the error of identify is the one to report
		return nil, err
	}
	return d, nil
}

// identify reads the model, capacity and block size of the disk and waits until it is ready.
func (d *Disk) identify(ctx context.Context, inquiry []byte) error {
	const minInquiryLength, minCapacityLength = 36, 12
	if len(inquiry) < minInquiryLength || inquiry[0] != 0 {
		return fmt.Errorf("iscsi: target %s has no disk at LUN %d", d.options.Target, d.lun)
	}
	if _, err := d.command(ctx, newCDB(opTestUnitReady), nil, 0, true); err != nil {
		return err
	}
	d.Model = string(bytes.TrimSpace(inquiry[8:32])) // vendor and product identification
	capacity, err := d.command(ctx, readCapacityCDB(), nil, readCapacityLength, true)
	if err != nil || len(capacity.Data) < minCapacityLength {
		return fmt.Errorf("iscsi: cannot read the capacity of LUN %d: %w", d.lun, err)
	}
	d.BlockCount = binary.BigEndian.Uint64(capacity.Data) + 1
	d.BlockSize = binary.BigEndian.Uint32(capacity.Data[8:])
	d.readTransferLimit(ctx)
	return nil
}

// readTransferLimit reads the maximum transfer length from the VPD page Block Limits, which a disk need not have.
func (d *Disk) readTransferLimit(ctx context.Context) {
	const minLimitsLength = 12
	limits, err := d.command(ctx, newCDB(opInquiry, 1, pageBlockLimits, 0, 64), nil, 64, true)
	if err == nil && len(limits.Data) >= minLimitsLength {
		d.maxTransfer = int(binary.BigEndian.Uint32(limits.Data[8:])) * int(d.BlockSize)
	}
	if d.maxTransfer <= 0 {
		d.maxTransfer = defaultMaxTransfer
	}
	d.maxTransfer = min(d.maxTransfer, transferLimit)
}

// session returns the current session, or a new one if that is lost or the target has requested a logout.
func (d *Disk) session(ctx context.Context) (*Session, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.current != nil {
		logoutRequested := d.current.LogoutRequested()
		if d.current.Err() == nil && !logoutRequested {
			return d.current, nil
		}
		if logoutRequested {
			go func() { _ = d.current.Close() }()
		}
	}
	session, err := Dial(ctx, d.options)
	if err == nil {
		d.current = session
	}
	return session, err
}

// checkRange checks that a range is aligned to blocks and lies within the disk.
func (d *Disk) checkRange(offset int64, length int) error {
	size := int64(d.BlockSize)
	if offset < 0 || offset%size != 0 || int64(length)%size != 0 {
		return fmt.Errorf("iscsi: %d bytes at offset %d are not aligned to blocks of %d bytes", length, offset, d.BlockSize)
	}
	if uint64(offset)/uint64(size)+uint64(length)/uint64(size) > d.BlockCount {
		return ErrOutOfRange
	}
	return nil
}

// lba returns the logical block address of an offset.
func (d *Disk) lba(offset int64) uint64 { return uint64(offset) / uint64(d.BlockSize) }

// Size returns the disk's size in bytes.
func (d *Disk) Size() int64 { return int64(d.BlockCount) * int64(d.BlockSize) }

// ReadAt reads whole blocks. It implements io.ReaderAt.
func (d *Disk) ReadAt(p []byte, offset int64) (int, error) {
	return d.Read(context.Background(), p, offset)
}

// Read reads whole blocks and returns the number of bytes read.
func (d *Disk) Read(ctx context.Context, p []byte, offset int64) (done int, err error) {
	if err := d.checkRange(offset, len(p)); err != nil {
		return 0, err
	}
	for done < len(p) {
		length := min(len(p)-done, d.maxTransfer)
		cdb := blockCDB(opRead16, d.lba(offset+int64(done)), length/int(d.BlockSize))
		reply, err := d.command(ctx, cdb, nil, length, true)
		if err != nil {
			return done, err
		}
		if len(reply.Data) != length {
			return done, io.ErrUnexpectedEOF
		}
		done += copy(p[done:], reply.Data)
	}
	return done, nil
}

// WriteAt writes whole blocks. It implements io.WriterAt.
func (d *Disk) WriteAt(p []byte, offset int64) (int, error) {
	return d.Write(context.Background(), p, offset)
}

// Write writes whole blocks and returns the number of bytes written. If it fails, some of the bytes after those may
// have been written as well.
func (d *Disk) Write(ctx context.Context, p []byte, offset int64) (done int, err error) {
	if err := d.checkRange(offset, len(p)); err != nil {
		return 0, err
	}
	for done < len(p) {
		length := min(len(p)-done, d.maxTransfer)
		cdb := blockCDB(opWrite16, d.lba(offset+int64(done)), length/int(d.BlockSize))
		if _, err := d.command(ctx, cdb, p[done:done+length], 0, !d.retry.NoRepeatedWrites); err != nil {
			return done, err
		}
		done += length
	}
	return done, nil
}

// maxCompareBlocks is the maximum number of blocks of a COMPARE AND WRITE.
const maxCompareBlocks = 255

// CompareAndWrite atomically compares blocks with want and, if they are equal, replaces them by next. It returns
// ErrMiscompare if they differ, and ErrOutcomeUnknown if the write may have been done; a read shows whether it was.
func (d *Disk) CompareAndWrite(ctx context.Context, want, next []byte, offset int64) error {
	if err := d.checkRange(offset, len(want)); err != nil {
		return err
	}
	blocks := len(want) / int(d.BlockSize)
	if len(next) != len(want) || blocks > maxCompareBlocks {
		return fmt.Errorf("iscsi: cannot compare %d bytes and write %d: lengths differ or exceed 255 blocks", len(want), len(next))
	}
	data := append(append([]byte{}, want...), next...)
	_, err := d.command(ctx, compareAndWriteCDB(d.lba(offset), blocks), data, 0, false)
	return err
}

// Sync commits all written data to stable storage (SYNCHRONIZE CACHE).
func (d *Disk) Sync(ctx context.Context) error {
	_, err := d.command(ctx, newCDB(opSynchronizeCache16), nil, 0, true)
	return err
}

// Unmap deallocates blocks, which then read as zeros.
func (d *Disk) Unmap(ctx context.Context, offset int64, length int) error {
	if err := d.checkRange(offset, length); err != nil {
		return err
	}
	list := unmapList(d.lba(offset), length/int(d.BlockSize))
	_, err := d.command(ctx, unmapCDB(len(list)), list, 0, true)
	return err
}

// Disconnect closes the connection without a logout, as a crash would; the next request opens a new session.
func (d *Disk) Disconnect() {
	d.lock.Lock()
	session := d.current
	d.lock.Unlock()
	if session != nil {
		session.Disconnect()
	}
}

// Close logs out and closes the current session, if there is one.
func (d *Disk) Close() error {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.current == nil {
		return nil
	}
	session := d.current
	d.current = nil
	return session.Close()
}
