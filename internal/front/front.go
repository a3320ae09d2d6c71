// Package front serves SFTP version 3 (draft-ietf-secsh-filexfer-02) to clients and turns what they ask into jobs of
// the gateway. A path is /VOLUME/REL. Where files lie is package layout's; which job goes when is the module's.
package front

import (
	"context"
	"fmt"
	"log/slog"
	"path"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
	"irispost/scheduler"
)

// Sort is what an operation is to the rules that name its product.
type Sort string

// The sorts of operations, as the configuration names them.
const (
	Read   Sort = "read"   // bytes of a file
	Write  Sort = "write"  // bytes of a file
	Look   Sort = "look"   // a record, or a folder's
	Change Sort = "change" // a record
)

// Product is what the front has to know of a kind of job.
type Product struct {
	Name     string
	Kind     uint8         // as in node.Call
	Patience time.Duration // how long a client waits
	InTurn   bool          // jobs of one key run one at a time
}

// Rule names the product of some operations on a volume. The first that fits counts.
type Rule struct {
	Sorts   []Sort
	Match   string // a pattern for the path in the volume, or for its last name; empty: all
	Larger  uint64 // only files of more bytes
	Product *Product
}

// Volume is a customer's tree of files.
type Volume struct {
	gateway.Volume
	Name  string
	Rules []Rule // the last ones fit everything
}

// Product names the product of an operation.
func (v *Volume) Product(s Sort, p layout.Path, size uint64) *Product {
	for _, r := range v.Rules {
		fits := r.Larger == 0 || size > r.Larger
		if fits && r.Match != "" {
			whole, _ := path.Match(r.Match, p.Rel)
			last, _ := path.Match(r.Match, p.Name())
			fits = whole || last
		}
		for _, o := range r.Sorts {
			if fits && o == s {
				return r.Product
			}
		}
	}
	return v.Rules[len(v.Rules)-1].Product
}

// Units turns bytes into units.
type Units struct {
	Bytes float64 // of one unit
	Least float64 // units of the smallest job
}

// Of is the units of so many bytes.
func (u Units) Of(bytes int) float64 { return max(u.Least, float64(bytes)/u.Bytes) }

// Limits bound what one connection may hold.
type Limits struct {
	Connections int
	Outstanding int // requests without an answer; more wait at the socket
	Handles     int
	Entries     int // of one folder's listing
	Wire        sftp.Limits
}

// Options are what a front is started with.
type Options struct {
	Name    string // of the gateway, unique in the installation
	Loop    *gateway.Loop
	Volumes map[string]*Volume
	Shards  int
	Extent  uint32 // bytes of an extent of a new file
	Units   Units
	Limits  Limits
	Log     *slog.Logger
}

// Front is a running front.
type Front struct {
	opt      Options
	boot     string
	server   *sftp.Server
	sessions atomic.Int64
	marks    atomic.Int64
	lock     sync.Mutex
	files    map[layout.Path]*file
	stopping atomic.Bool
	busy     tally // requests without an answer, and duties
}

// Start listens at an address.
func Start(addr string, opt Options) (*Front, error) {
	f := &Front{opt: opt, boot: strconv.FormatInt(opt.Loop.Now(), 36), files: map[layout.Path]*file{}}
	s, err := sftp.Listen(addr, opt.Limits.Wire, opt.Limits.Connections, func(c *sftp.Conn) sftp.Peer {
		return newSession(f, c)
	})
	if err != nil {
		return nil, err
	}
	f.server = s
	return f, nil
}

// Addr is the address that clients connect to.
func (f *Front) Addr() string { return f.server.Addr() }

// Drain stops taking requests and waits until all that were taken have their answers, or the context ends.
func (f *Front) Drain(ctx context.Context) error {
	f.stopping.Store(true)
	select {
	case <-f.busy.none():
		for _, c := range f.server.Conns() {
			c.WaitSent(time.Second)
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all connections.
func (f *Front) Close() { f.server.Close() }

// mark is a new name for a change or an object, unique in the installation.
func (f *Front) mark() string {
	return f.opt.Name + "-" + f.boot + "-" + strconv.FormatInt(f.marks.Add(1), 36)
}

// failure is why a request is not answered with what it asked for.
type failure struct {
	code      sftp.Code
	text      string
	left      bool          // the client has gone: there is nobody to answer
	dismissed bool          // trying again is harmless
	wait      time.Duration // of a dismissal: when to come back
	ran       bool          // of a dismissal: it may have run all the same, and to do it once more is harmless by its kind
}

func failed(code sftp.Code, format string, args ...any) *failure {
	return &failure{code: code, text: fmt.Sprintf(format, args...)}
}

// task is a client's request, or a duty of the gateway's own, on its way through its jobs.
type task struct {
	front    *Front
	session  *gateway.Session // nil for a duty
	arrived  scheduler.Time
	number   uint32 // of the request
	affected bool   // a job of it may have changed something
}

// duty is a task that no client waits for.
func (f *Front) duty() *task { return &task{front: f, arrived: f.opt.Loop.Now()} }

// start hands in a job. Its client waits from the task's arrival on, a duty's patience begins with the job.
func (t *task) start(v *Volume, p *Product, units float64, key uint64, call node.Call) <-chan gateway.Result {
	from := t.arrived
	if t.session == nil {
		from = t.front.opt.Loop.Now()
	}
	if !p.InTurn {
		key = 0
	}
	if call.Op == node.CompareAndSwapRecord && call.IdempotencyKey == "" {
		call.IdempotencyKey = t.front.mark()
	}
	return t.front.opt.Loop.Submit(t.session, &gateway.RequestSpec{Volume: &v.Volume, Class: p.Name, Units: units,
		Key: int64(key >> 1), HasKey: key != 0, Deadline: from + int64(p.Patience), Idempotency: p.Kind, ClientRequest: t.number, Call: call})
}

// await waits for another task's step, as long as the client of a product's job waits.
func (t *task) await(step <-chan struct{}, p *Product) *failure {
	select {
	case <-step:
		return nil
	default:
	}
	if p == nil { // at the root of all volumes, where no request has jobs to wait for
		<-step
		return nil
	}
	timer := time.NewTimer(time.Duration(t.arrived + int64(p.Patience) - t.front.opt.Loop.Now()))
	defer timer.Stop()
	select {
	case <-step:
		return nil
	case <-timer.C:
		return dismissal(0, "an earlier request for the same bytes is still out")
	}
}

// do runs a job to its end.
func (t *task) do(v *Volume, p *Product, units float64, key uint64, call node.Call) (node.Reply, *failure) {
	return t.finish(<-t.start(v, p, units, key, call), call.Op)
}

// finish turns a job's final answer into an answer or a failure. What each says to the client is in
// docs/operators.md.
func (t *task) finish(r gateway.Result, op node.Operation) (node.Reply, *failure) {
	switch r.State {
	case scheduler.RequestSucceeded:
		if op == node.CompareAndSwapRecord && r.Reply.Status == node.OK {
			t.affected = true
		}
		return r.Reply, nil
	case scheduler.RequestClientCancelled:
		return node.Reply{}, &failure{left: true}
	case scheduler.RequestRejected:
		if !t.affected {
			d := dismissal(r.RetryAfter, r.Reason)
			d.ran = r.MayHaveRun
			return node.Reply{}, d
		}
	}
	if op == node.CompareAndSwapRecord {
		t.affected = true
	}
	text := "written off: it may have been done in part or not at all"
	if r.Reason != "" {
		text += "; " + r.Reason
	}
	return node.Reply{}, failed(sftp.Failure, "%s", text)
}

func dismissal(wait time.Duration, why string) *failure {
	text := "dismissed: trying again is harmless"
	if wait > 0 {
		text += ", come back in " + wait.Round(time.Millisecond).String()
	}
	if why != "" {
		text += "; " + why
	}
	return &failure{code: sftp.Failure, text: text, dismissed: true, wait: wait}
}

// volume finds the volume of a path.
func (f *Front) volume(p layout.Path) (*Volume, *failure) {
	if v := f.opt.Volumes[p.Volume]; v != nil {
		return v, nil
	}
	return nil, failed(sftp.NoSuchFile, "there is no volume %q", p.Volume)
}

// parse reads a path as a client sends it.
func parse(s string) (layout.Path, *failure) {
	p, err := layout.Parse(s)
	if err != nil {
		return p, failed(sftp.Denied, "%v", err)
	}
	return p, nil
}

// tally counts what is under way, and tells when nothing is. Unlike a WaitGroup it may be waited for while more begins.
type tally struct {
	lock  sync.Mutex
	count int
	waits []chan struct{}
}

func (t *tally) begin() {
	t.lock.Lock()
	t.count++
	t.lock.Unlock()
}

func (t *tally) end() {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.count--; t.count == 0 {
		for _, w := range t.waits {
			close(w)
		}
		t.waits = nil
	}
}

// none returns what is closed once nothing is under way.
func (t *tally) none() <-chan struct{} {
	t.lock.Lock()
	defer t.lock.Unlock()
	w := make(chan struct{})
	if t.count == 0 {
		close(w)
	} else {
		t.waits = append(t.waits, w)
	}
	return w
}
