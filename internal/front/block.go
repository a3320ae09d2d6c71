package front

import (
	"time"

	"irispost/internal/gateway"
	"irispost/internal/sftp"
)

// Outcome is the outcome of a block request.
type Outcome uint8

// The outcomes of block requests.
const (
	Succeeded  Outcome = iota
	Rejected           // it was not executed, or only read: it can be retried safely
	Failed             // it may have been executed partly or not at all
	ClientGone         // the client has closed its connection and gets no response
	FileGone           // the file does not exist any more
	Mismatch           // the compared bytes differ
)

// Result is the result of a block request.
type Result struct {
	Outcome        Outcome
	RetryAfter     time.Duration // of Rejected; 0: unknown
	Reason         string        // of Rejected, Failed and FileGone
	MismatchOffset int           // of Mismatch: index of the first differing byte in the compared bytes
}

// Client is a connection of a block client. Closing it cancels its requests. Its methods may be called concurrently;
// the parameter number is the client's number for the request.
type Client struct {
	front          *Front
	gatewaySession *gateway.Session
}

// NewClient returns a client with a name that is unique in the installation.
func (f *Front) NewClient() *Client {
	return &Client{front: f, gatewaySession: gateway.NewSession(f.newSessionName())}
}

// Name returns the client's name, which prefixes the IDs of its requests.
func (c *Client) Name() string { return c.gatewaySession.Name }

// Close cancels the client's requests in flight.
func (c *Client) Close() { c.front.options.Loop.CloseSession(c.gatewaySession) }

// BeginRequest counts a request as in flight. Drain waits until EndRequest ends it.
func (f *Front) BeginRequest() { f.inFlight.begin() }

// EndRequest ends a request that was counted by BeginRequest.
func (f *Front) EndRequest() { f.inFlight.end() }

// Draining reports whether the gateway is draining and rejects new requests.
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

// Read reads length bytes. Bytes that were never written, or that lie beyond the end of the file, read as zeros.
func (c *Client) Read(disk *Disk, number uint32, offset uint64, length int) ([]byte, Result) {
	data, err := c.task(number).readFile(disk.file, offset, length)
	switch {
	case err == nil && len(data) < length:
		data = append(data, make([]byte, length-len(data))...)
	case err != nil && err.code == sftp.EOF:
		return make([]byte, length), Result{Outcome: Succeeded}
	case err != nil:
		err.mayHaveRun = false // a read has no side effects
	}
	return data, blockResult(err)
}

// Write writes bytes. With writeThrough it also commits them before it returns.
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

// commitWritten commits what this task has written. If the commit fails, the bytes may still have been written.
func (t *task) commitWritten(disk *Disk) *failure {
	err := t.commit(disk.file)
	if err != nil {
		err.mayHaveRun = true
	}
	return err
}

// Zero writes zeros, at most an extent at a time. It skips extents that were never written: they read as zeros anyway.
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

// CompareAndWrite compares the bytes at offset with expected and, if they are equal, writes data. It is atomic with
// respect to all writes through the same Disk.
func (c *Client) CompareAndWrite(disk *Disk, number uint32, offset uint64, expected, data []byte,
	writeThrough bool) Result {
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
		err.mayHaveRun = false // a read has no side effects
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

// firstDifference returns the index of the first differing byte, or -1 if there is none. Bytes past the end of current
// count as zeros.
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

// Sync commits everything that was written to the disk.
func (c *Client) Sync(disk *Disk, number uint32) Result {
	return blockResult(c.task(number).commit(disk.file))
}
