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
	Done       Outcome = iota
	Dismissed          // it never ran, or only read: trying again is harmless
	WrittenOff         // it may have been done in part or not at all
	Left               // its client has gone: there is nobody to answer
	Gone               // the file is no longer there
	Different          // compared, and not equal
)

// Result is a block request's one final answer.
type Result struct {
	Outcome Outcome
	Wait    time.Duration // of a dismissal: when to come back
	Why     string
	At      int // Different: the first byte
}

// Disk is a file of a volume, shown as a disk. Reads and writes go the way of file requests: same jobs, products, units and
// orders. What is written is in its extents at once, and in its record with Sync, as a file's is.
type Disk struct {
	front *Front
	file  *file
	size  uint64
	lock  sync.Mutex
	held  []*span
}

// span is a run of bytes that somebody holds: writes share, a compare with its write does not.
type span struct {
	from, to uint64
	alone    bool
	done     chan struct{}
}

// Client is a connection's end at the gateway: when it leaves, its requests are left.
type Client struct {
	front *Front
	loop  *gateway.Session
}

// Client names one. The name has to be unique in the installation, with a part for the gateway and its start.
func (f *Front) Client() *Client {
	name := fmt.Sprintf("%s/%s/%d", f.opt.Name, f.boot, f.sessions.Add(1))
	return &Client{f, gateway.NewSession(name)}
}

// Name is its name, with which its jobs' names begin.
func (c *Client) Name() string { return c.loop.Name }

// Leave leaves what is still out.
func (c *Client) Leave() { c.front.opt.Loop.CloseSession(c.loop) }

// Begin counts a request that is under way, so that a drain waits for it.
func (f *Front) Begin() { f.busy.begin() }

// End counts a request of Begin as done.
func (f *Front) End() { f.busy.end() }

// Stopping tells whether the gateway takes nothing new any more.
func (f *Front) Stopping() bool { return f.stopping.Load() }

// Disk opens a file as a disk of so many bytes, and makes it where there is none. A file that is longer is refused: its end
// would not be seen.
func (f *Front) Disk(path string, size uint64) (*Disk, error) {
	p, fail := parse(path)
	if fail != nil {
		return nil, fail
	}
	v, fail := f.volume(p)
	if fail != nil {
		return nil, fail
	}
	t := f.duty()
	o, fail := t.open(v, p, sftp.FlagRead|sftp.FlagWrite|sftp.FlagCreate, sftp.Attrs{})
	if fail != nil {
		return nil, fail
	}
	o.lock.Lock()
	now := o.size
	o.lock.Unlock()
	if now > size {
		o.release()
		return nil, fmt.Errorf("%s has %d bytes, more than the %d of the disk", p, now, size)
	}
	if now < size {
		if fail := f.duty().resize(o, size); fail != nil {
			o.release()
			return nil, fail
		}
	}
	return &Disk{front: f, file: o, size: size}, nil
}

// Close puts on record what was written, and lets the file go.
func (d *Disk) Close() error {
	fail := d.front.duty().commit(d.file)
	d.file.release()
	if fail != nil {
		return fail
	}
	return nil
}

// Extent is the bytes of an extent.
func (d *Disk) Extent() uint32 {
	d.file.lock.Lock()
	defer d.file.lock.Unlock()
	return d.file.record.Extent
}

// task is a request of a client's.
func (c *Client) task(number uint32) *task {
	return &task{front: c.front, session: c.loop, number: number, arrived: c.front.opt.Loop.Now()}
}

// result is what a failure says to a block client.
func result(err *failure) Result {
	switch {
	case err == nil:
		return Result{}
	case err.left:
		return Result{Outcome: Left}
	case err.dismissed && !err.ran:
		return Result{Outcome: Dismissed, Wait: err.wait, Why: err.text}
	case err.code == sftp.NoSuchFile:
		return Result{Outcome: Gone, Why: err.text}
	}
	return Result{Outcome: WrittenOff, Why: err.text}
}

// Read reads bytes. What was never written reads as zeros.
func (c *Client) Read(d *Disk, number uint32, offset uint64, n int) ([]byte, Result) {
	data, err := c.task(number).read(d.file, offset, n)
	if err == nil && len(data) < n { // another has cut the file: a disk keeps its size
		data = append(data, make([]byte, n-len(data))...)
	}
	if err != nil && err.code == sftp.EOF {
		return make([]byte, n), Result{}
	}
	if err != nil {
		err.ran = false // what only reads never leaves anything
	}
	return data, result(err)
}

// Write writes bytes. through: they are on record before the answer.
func (c *Client) Write(d *Disk, number uint32, offset uint64, data []byte, through bool) Result {
	t := c.task(number)
	s, err := d.hold(t, offset, offset+uint64(len(data)), false)
	if err == nil {
		err = t.write(d.file, offset, data)
		d.free(s)
	}
	if err == nil && through {
		err = t.commit(d.file)
		if err != nil {
			err.ran = true
		}
	}
	return result(err)
}

// Zero writes zeros, in pieces of an extent; what was never written is left as it is.
func (c *Client) Zero(d *Disk, number uint32, offset, n uint64) Result {
	t := c.task(number)
	s, err := d.hold(t, offset, offset+n, false)
	if err != nil {
		return result(err)
	}
	defer d.free(s)
	run, some := uint64(d.Extent()), false
	for end := offset + n; offset < end && err == nil; {
		part := min(run-offset%run, end-offset)
		d.file.lock.Lock()
		hole := d.file.extent(int(offset/run)).Object == "" && d.file.placing[int(offset/run)] == nil
		d.file.lock.Unlock()
		if !hole {
			if err = t.write(d.file, offset, make([]byte, part)); err != nil {
				err.ran = err.ran || some
			}
			some = true
		}
		offset += part
	}
	return result(err)
}

// Compare compares bytes and writes others in their place, as one step among all writes that come through this gateway.
func (c *Client) Compare(d *Disk, number uint32, offset uint64, want, data []byte, through bool) Result {
	t := c.task(number)
	s, err := d.hold(t, offset, offset+uint64(len(data)), true)
	if err != nil {
		return result(err)
	}
	defer d.free(s)
	if len(data) == 0 {
		return Result{}
	}
	now, err := t.read(d.file, offset, len(want))
	if err != nil && err.code == sftp.EOF {
		now, err = nil, nil
	}
	if err != nil {
		err.ran = false
		return result(err)
	}
	for i := range want {
		is := byte(0)
		if i < len(now) {
			is = now[i]
		}
		if is != want[i] {
			return Result{Outcome: Different, At: i}
		}
	}
	if err = t.write(d.file, offset, data); err == nil && through {
		if err = t.commit(d.file); err != nil {
			err.ran = true
		}
	}
	return result(err)
}

// Sync puts on record what was written.
func (c *Client) Sync(d *Disk, number uint32) Result { return result(c.task(number).commit(d.file)) }

// hold takes a run of bytes, as long as the client waits.
func (d *Disk) hold(t *task, from, to uint64, alone bool) (*span, *failure) {
	s := &span{from, to, alone, make(chan struct{})}
	product := d.file.volume.Product(Write, d.file.path, d.size)
	for {
		var wait chan struct{}
		d.lock.Lock()
		for _, o := range d.held {
			if (o.alone || alone) && o.from < to && from < o.to {
				wait = o.done
				break
			}
		}
		if wait == nil {
			d.held = append(d.held, s)
			d.lock.Unlock()
			return s, nil
		}
		d.lock.Unlock()
		if err := t.await(wait, product); err != nil {
			return nil, err
		}
	}
}

func (d *Disk) free(s *span) {
	d.lock.Lock()
	for i, o := range d.held {
		if o == s {
			d.held = append(d.held[:i], d.held[i+1:]...)
			break
		}
	}
	d.lock.Unlock()
	close(s.done)
}
