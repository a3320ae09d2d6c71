package front

import (
	"fmt"
	"sync"
	"time"

	"irispost/internal/gateway"
	"irispost/internal/sftp"
)

// Outcome is what became of a block request.
type Outcome uint8

// The outcomes of block requests.
const (
	Succeeded  Outcome = iota
	Rejected           // it never ran, or only read: trying again is harmless
	Failed             // it may have been done in part or not at all
	ClientGone         // its client has gone: there is nobody to answer
	FileGone           // the file is no longer there
	Mismatch           // compared, and not equal
)

// Result is a block request's one final answer.
type Result struct {
	Outcome        Outcome
	RetryAfter     time.Duration // of a dismissal: when to come back
	Reason         string
	MismatchOffset int // Different: the first byte
}

// Disk is a file of a volume, shown as a disk. Reads and writes go the way of file requests: same jobs, products, units and
// orders. What is written is in its extents at once, and in its record with Sync, as a file's is.
type Disk struct {
	front  *Front
	file   *openFile
	size   uint64
	lock   sync.Mutex
	locked []*rangeLock
}

// rangeLock is a run of bytes that somebody holds: writes share, a compare with its write does not.
type rangeLock struct {
	from, to  uint64
	exclusive bool
	done      chan struct{}
}

// Client is a connection's end at the gateway: when it leaves, its requests are left.
type Client struct {
	front   *Front
	session *gateway.Session
}

// NewClient names one. The name has to be unique in the installation, with a part for the gateway and its start.
func (f *Front) NewClient() *Client {
	name := fmt.Sprintf("%s/%s/%d", f.options.Name, f.incarnation, f.lastSession.Add(1))
	return &Client{f, gateway.NewSession(name)}
}

// Name is its name, with which its jobs' names begin.
func (c *Client) Name() string { return c.session.Name }

// Close leaves what is still out.
func (c *Client) Close() { c.front.options.Loop.CloseSession(c.session) }

// BeginRequest counts a request that is under way, so that a drain waits for it.
func (f *Front) BeginRequest() { f.inFlight.begin() }

// EndRequest counts a request of Begin as done.
func (f *Front) EndRequest() { f.inFlight.end() }

// Stopping tells whether the gateway takes nothing new any more.
func (f *Front) Stopping() bool { return f.draining.Load() }

// Disk opens a file as a disk of so many bytes, and makes it where there is none. A file that is longer is refused: its end
// would not be seen.
func (f *Front) Disk(path string, size uint64) (*Disk, error) {
	filePath, failure := parsePath(path)
	if failure != nil {
		return nil, failure
	}
	volume, failure := f.findVolume(filePath)
	if failure != nil {
		return nil, failure
	}
	task := f.backgroundTask()
	opened, failure := task.openFile(volume, filePath, sftp.FlagRead|sftp.FlagWrite|sftp.FlagCreate, sftp.Attrs{})
	if failure != nil {
		return nil, failure
	}
	opened.lock.Lock()
	current := opened.size
	opened.lock.Unlock()
	if current > size {
		opened.release()
		return nil, fmt.Errorf("%s has %d bytes, more than the %d of the disk", filePath, current, size)
	}
	if current < size {
		if failure := f.backgroundTask().resize(opened, size); failure != nil {
			opened.release()
			return nil, failure
		}
	}
	return &Disk{front: f, file: opened, size: size}, nil
}

// Close puts on record what was written, and lets the file go.
func (d *Disk) Close() error {
	fail := d.front.backgroundTask().commit(d.file)
	d.file.release()
	if fail != nil {
		return fail
	}
	return nil
}

// ExtentSize is the bytes of an extent.
func (d *Disk) ExtentSize() uint32 {
	d.file.lock.Lock()
	defer d.file.lock.Unlock()
	return d.file.record.ExtentSize
}

// task is a request of a client's.
func (c *Client) task(number uint32) *task {
	return &task{front: c.front, session: c.session, requestID: number, arrived: c.front.options.Loop.Now()}
}

// blockResult is what a failure says to a block client.
func blockResult(err *failure) Result {
	switch {
	case err == nil:
		return Result{}
	case err.clientGone:
		return Result{Outcome: ClientGone}
	case err.rejected && !err.mayHaveRun:
		return Result{Outcome: Rejected, RetryAfter: err.retryAfter, Reason: err.message}
	case err.code == sftp.NoSuchFile:
		return Result{Outcome: FileGone, Reason: err.message}
	}
	return Result{Outcome: Failed, Reason: err.message}
}

// Read reads bytes. What was never written reads as zeros.
func (c *Client) Read(disk *Disk, number uint32, offset uint64, length int) ([]byte, Result) {
	data, err := c.task(number).readFile(disk.file, offset, length)
	if err == nil && len(data) < length { // another has cut the file: a disk keeps its size
		data = append(data, make([]byte, length-len(data))...)
	}
	if err != nil && err.code == sftp.EOF {
		return make([]byte, length), Result{}
	}
	if err != nil {
		err.mayHaveRun = false // what only reads never leaves anything
	}
	return data, blockResult(err)
}

// Write writes bytes. through: they are on record before the answer.
func (c *Client) Write(disk *Disk, number uint32, offset uint64, data []byte, through bool) Result {
	task := c.task(number)
	locked, err := disk.lockRange(task, offset, offset+uint64(len(data)), false)
	if err == nil {
		err = task.writeFile(disk.file, offset, data)
		disk.unlockRange(locked)
	}
	if err == nil && through {
		err = task.commit(disk.file)
		if err != nil {
			err.mayHaveRun = true
		}
	}
	return blockResult(err)
}

// Zero writes zeros, in pieces of an extent; what was never written is left as it is.
func (c *Client) Zero(disk *Disk, number uint32, offset, length uint64) Result {
	task := c.task(number)
	locked, err := disk.lockRange(task, offset, offset+length, false)
	if err != nil {
		return blockResult(err)
	}
	defer disk.unlockRange(locked)
	extentSize, written := uint64(disk.ExtentSize()), false
	for end := offset + length; offset < end && err == nil; {
		zeros := min(extentSize-offset%extentSize, end-offset)
		disk.file.lock.Lock()
		hole := disk.file.extentAt(int(offset/extentSize)).Object == "" && disk.file.allocating[int(offset/extentSize)] == nil
		disk.file.lock.Unlock()
		if !hole {
			if err = task.writeFile(disk.file, offset, make([]byte, zeros)); err != nil {
				err.mayHaveRun = err.mayHaveRun || written
			}
			written = true
		}
		offset += zeros
	}
	return blockResult(err)
}

// CompareAndWrite compares bytes and writes others in their place, as one step among all writes that come through this gateway.
func (c *Client) CompareAndWrite(disk *Disk, number uint32, offset uint64, expected, data []byte, through bool) Result {
	task := c.task(number)
	locked, err := disk.lockRange(task, offset, offset+uint64(len(data)), true)
	if err != nil {
		return blockResult(err)
	}
	defer disk.unlockRange(locked)
	if len(data) == 0 {
		return Result{}
	}
	current, err := task.readFile(disk.file, offset, len(expected))
	if err != nil && err.code == sftp.EOF {
		current, err = nil, nil
	}
	if err != nil {
		err.mayHaveRun = false
		return blockResult(err)
	}
	for index := range expected {
		actual := byte(0)
		if index < len(current) {
			actual = current[index]
		}
		if actual != expected[index] {
			return Result{Outcome: Mismatch, MismatchOffset: index}
		}
	}
	if err = task.writeFile(disk.file, offset, data); err == nil && through {
		if err = task.commit(disk.file); err != nil {
			err.mayHaveRun = true
		}
	}
	return blockResult(err)
}

// Sync puts on record what was written.
func (c *Client) Sync(disk *Disk, number uint32) Result {
	return blockResult(c.task(number).commit(disk.file))
}

// lockRange takes a run of bytes, as long as the client waits.
func (d *Disk) lockRange(task *task, from, to uint64, exclusive bool) (*rangeLock, *failure) {
	lock := &rangeLock{from, to, exclusive, make(chan struct{})}
	product := d.file.volume.Product(Write, d.file.path, d.size)
	for {
		var wait chan struct{}
		d.lock.Lock()
		for _, other := range d.locked {
			if (other.exclusive || exclusive) && other.from < to && from < other.to {
				wait = other.done
				break
			}
		}
		if wait == nil {
			d.locked = append(d.locked, lock)
			d.lock.Unlock()
			return lock, nil
		}
		d.lock.Unlock()
		if err := task.waitFor(wait, product); err != nil {
			return nil, err
		}
	}
}

func (d *Disk) unlockRange(lock *rangeLock) {
	d.lock.Lock()
	for index, other := range d.locked {
		if other == lock {
			d.locked = append(d.locked[:index], d.locked[index+1:]...)
			break
		}
	}
	d.lock.Unlock()
	close(lock.done)
}
