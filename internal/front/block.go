package front

import (
	"time"

	"irispost/internal/gateway"
	"irispost/internal/sftp"
)

// Outcome is how a block request ended.
type Outcome uint8

// The outcomes of block requests.
const (
	Succeeded  Outcome = iota
	Rejected           // it never ran, or only read: a retry is harmless
	Failed             // it may have been done in part or not at all
	ClientGone         // its client has closed the connection: there is nobody to answer
	FileGone           // the file is no longer there
	Mismatch           // the bytes that were compared are not equal
)

// Result is the final result of a block request.
type Result struct {
	Outcome        Outcome
	RetryAfter     time.Duration // of Rejected; 0: not known
	Reason         string        // of Rejected, Failed and FileGone
	MismatchOffset int           // of Mismatch: the first byte that differs, in the bytes compared
}

// Client is a connection of a block client, whose requests are cancelled when it closes. Its methods may be called
// concurrently; each takes the client's number of the request.
type Client struct {
	front          *Front
	gatewaySession *gateway.Session
}

// NewClient returns a client with a name that is unique in the installation.
func (f *Front) NewClient() *Client {
	return &Client{front: f, gatewaySession: gateway.NewSession(f.newSessionName())}
}

// Name returns the client's name, with which the IDs of its requests begin.
func (c *Client) Name() string { return c.gatewaySession.Name }

// Close cancels the client's requests in flight.
func (c *Client) Close() { c.front.options.Loop.CloseSession(c.gatewaySession) }

// BeginRequest counts a request in flight, for which Drain waits.
func (f *Front) BeginRequest() { f.inFlight.begin() }

// EndRequest ends a request that BeginRequest has counted.
func (f *Front) EndRequest() { f.inFlight.end() }

// Draining tells whether the gateway is draining and takes no new requests.
func (f *Front) Draining() bool { return f.draining.Load() }

func (c *Client) task(number uint32) *task {
	return &task{
		front:          c.front,
		gatewaySession: c.gatewaySession,
		requestID:      number,
		arrived:        c.front.options.Loop.Now(),
	}
}

func blockResult(err *failure) Result {
	switch {
	case err == nil:
		return Result{Outcome: Succeeded}
	case err.clientGone:
		return Result{Outcome: ClientGone}
	case err.rejected && !err.mayHaveRun:
		return Result{Outcome: Rejected, RetryAfter: err.retryAfter, Reason: err.message}
	case err.code == sftp.NoSuchFile:
		return Result{Outcome: FileGone, Reason: err.message}
	}
	return Result{Outcome: Failed, Reason: err.message}
}

// Read reads length bytes. What was never written, or was cut from the file, reads as zeros.
func (c *Client) Read(disk *Disk, number uint32, offset uint64, length int) ([]byte, Result) {
	data, err := c.task(number).readFile(disk.file, offset, length)
	switch {
	case err == nil && len(data) < length:
		data = append(data, make([]byte, length-len(data))...)
	case err != nil && err.code == sftp.EOF:
		return make([]byte, length), Result{Outcome: Succeeded}
	case err != nil:
		err.mayHaveRun = false // a read leaves nothing
	}
	return data, blockResult(err)
}

// Write writes bytes. With writeThrough they are committed before it returns.
func (c *Client) Write(disk *Disk, number uint32, offset uint64, data []byte, writeThrough bool) Result {
	task := c.task(number)
	lock, err := disk.lockRange(task, offset, offset+uint64(len(data)), false)
	if err != nil {
		return blockResult(err)
	}
	err = task.writeFile(disk.file, offset, data)
	disk.unlockRange(lock)
	if err == nil && writeThrough {
		err = task.commitWritten(disk)
	}
	return blockResult(err)
}

// commitWritten commits what this task has written. Where that fails, the bytes may be there all the same.
func (t *task) commitWritten(disk *Disk) *failure {
	err := t.commit(disk.file)
	if err != nil {
		err.mayHaveRun = true
	}
	return err
}

// Zero writes zeros, at most an extent at a time. Extents that were never written stay holes.
func (c *Client) Zero(disk *Disk, number uint32, offset, length uint64) Result {
	task := c.task(number)
	end := offset + length
	lock, err := disk.lockRange(task, offset, end, false)
	if err != nil {
		return blockResult(err)
	}
	defer disk.unlockRange(lock)
	extentSize := uint64(disk.ExtentSize())
	written := false
	for offset < end {
		count := min(extentSize-offset%extentSize, end-offset)
		if !disk.hasHole(int(offset / extentSize)) {
			if err := task.writeFile(disk.file, offset, make([]byte, count)); err != nil {
				err.mayHaveRun = err.mayHaveRun || written
				return blockResult(err)
			}
			written = true
		}
		offset += count
	}
	return Result{Outcome: Succeeded}
}

// CompareAndWrite compares bytes and, where they are equal, writes others in their place. It is atomic among all writes
// that come through this gateway.
func (c *Client) CompareAndWrite(disk *Disk, number uint32, offset uint64, expected, data []byte, writeThrough bool) Result {
	task := c.task(number)
	lock, err := disk.lockRange(task, offset, offset+uint64(len(data)), true)
	if err != nil {
		return blockResult(err)
	}
	defer disk.unlockRange(lock)
	if len(data) == 0 {
		return Result{Outcome: Succeeded}
	}
	current, err := task.readFile(disk.file, offset, len(expected))
	if err != nil && err.code != sftp.EOF {
		err.mayHaveRun = false // a read leaves nothing
		return blockResult(err)
	}
	if err != nil {
		current = nil
	}
	if index := firstDifference(current, expected); index >= 0 {
		return Result{Outcome: Mismatch, MismatchOffset: index}
	}
	err = task.writeFile(disk.file, offset, data)
	if err == nil && writeThrough {
		err = task.commitWritten(disk)
	}
	return blockResult(err)
}

// firstDifference returns the index of the first byte that differs, -1 where none does. Bytes past the end of current
// are zeros.
func firstDifference(current, expected []byte) int {
	for i, want := range expected {
		got := byte(0)
		if i < len(current) {
			got = current[i]
		}
		if got != want {
			return i
		}
	}
	return -1
}

// Sync commits what was written.
func (c *Client) Sync(disk *Disk, number uint32) Result {
	return blockResult(c.task(number).commit(disk.file))
}
