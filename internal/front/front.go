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
func (v *Volume) Product(kind Sort, file layout.Path, size uint64) *Product {
	for _, rule := range v.Rules {
		fits := rule.Larger == 0 || size > rule.Larger
		if fits && rule.Match != "" {
			whole, _ := path.Match(rule.Match, file.Rel)
			last, _ := path.Match(rule.Match, file.Name())
			fits = whole || last
		}
		for _, ruled := range rule.Sorts {
			if fits && ruled == kind {
				return rule.Product
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
	options     Options
	incarnation string
	server      *sftp.Server
	lastSession atomic.Int64
	lastName    atomic.Int64
	lock        sync.Mutex
	openFiles   map[layout.Path]*openFile
	draining    atomic.Bool
	inFlight    requestCounter // requests without an answer, and duties
}

// Start listens at an address.
func Start(addr string, options Options) (*Front, error) {
	front := &Front{options: options, incarnation: strconv.FormatInt(options.Loop.Now(), 36), openFiles: map[layout.Path]*openFile{}}
	server, err := sftp.Listen(addr, options.Limits.Wire, options.Limits.Connections, func(conn *sftp.Conn) sftp.Peer {
		return newSession(front, conn)
	})
	if err != nil {
		return nil, err
	}
	front.server = server
	return front, nil
}

// Addr is the address that clients connect to.
func (f *Front) Addr() string { return f.server.Addr() }

// Drain stops taking requests and waits until all that were taken have their answers, or the context ends.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	select {
	case <-f.inFlight.idle():
		for _, conn := range f.server.Conns() {
			conn.WaitSent(time.Second)
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all connections.
func (f *Front) Close() { f.server.Close() }

// uniqueName is a new name for a change or an object, unique in the installation.
func (f *Front) uniqueName() string {
	return f.options.Name + "-" + f.incarnation + "-" + strconv.FormatInt(f.lastName.Add(1), 36)
}

// failure is why a request is not answered with what it asked for.
type failure struct {
	code       sftp.Code
	message    string
	clientGone bool          // the client has gone: there is nobody to answer
	rejected   bool          // trying again is harmless
	retryAfter time.Duration // of a dismissal: when to come back
	mayHaveRun bool          // of a dismissal: it may have run all the same, and to do it once more is harmless by its kind
}

func failuref(code sftp.Code, format string, args ...any) *failure {
	return &failure{code: code, message: fmt.Sprintf(format, args...)}
}

// task is a client's request, or a duty of the gateway's own, on its way through its jobs.
type task struct {
	front          *Front
	session        *gateway.Session // nil for a duty
	arrived        scheduler.Time
	requestID      uint32 // of the request
	mayHaveChanged bool   // a job of it may have changed something
}

// backgroundTask is a task that no client waits for.
func (f *Front) backgroundTask() *task { return &task{front: f, arrived: f.options.Loop.Now()} }

// submit hands in a job. Its client waits from the task's arrival on, a duty's patience begins with the job.
func (t *task) submit(volume *Volume, class *Product, units float64, key uint64, call node.Call) <-chan gateway.Result {
	waitsFrom := t.arrived
	if t.session == nil {
		waitsFrom = t.front.options.Loop.Now()
	}
	if !class.InTurn {
		key = 0
	}
	if call.Op == node.CompareAndSwapRecord && call.IdempotencyKey == "" {
		call.IdempotencyKey = t.front.uniqueName()
	}
	return t.front.options.Loop.Submit(t.session, &gateway.RequestSpec{Volume: &volume.Volume, Class: class.Name, Units: units,
		Key: int64(key >> 1), HasKey: key != 0, Deadline: waitsFrom + int64(class.Patience), Idempotency: class.Kind, ClientRequest: t.requestID, Call: call})
}

// waitFor waits for another task's step, as long as the client of a product's job waits.
func (t *task) waitFor(done <-chan struct{}, class *Product) *failure {
	select {
	case <-done:
		return nil
	default:
	}
	if class == nil { // at the root of all volumes, where no request has jobs to wait for
		<-done
		return nil
	}
	timer := time.NewTimer(time.Duration(t.arrived + int64(class.Patience) - t.front.options.Loop.Now()))
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-timer.C:
		return rejection(0, "an earlier request for the same bytes is still out")
	}
}

// execute runs a job to its end.
func (t *task) execute(volume *Volume, class *Product, units float64, key uint64, call node.Call) (node.Reply, *failure) {
	return t.replyOf(<-t.submit(volume, class, units, key, call), call.Op)
}

// replyOf turns a job's final answer into an answer or a failure. What each says to the client is in
// docs/operators.md.
func (t *task) replyOf(result gateway.Result, op node.Operation) (node.Reply, *failure) {
	switch result.State {
	case scheduler.RequestSucceeded:
		if op == node.CompareAndSwapRecord && result.Reply.Status == node.OK {
			t.mayHaveChanged = true
		}
		return result.Reply, nil
	case scheduler.RequestClientCancelled:
		return node.Reply{}, &failure{clientGone: true}
	case scheduler.RequestRejected:
		if !t.mayHaveChanged {
			failure := rejection(result.RetryAfter, result.Reason)
			failure.mayHaveRun = result.MayHaveRun
			return node.Reply{}, failure
		}
	}
	if op == node.CompareAndSwapRecord {
		t.mayHaveChanged = true
	}
	text := "written off: it may have been done in part or not at all"
	if result.Reason != "" {
		text += "; " + result.Reason
	}
	return node.Reply{}, failuref(sftp.Failure, "%s", text)
}

func rejection(retryAfter time.Duration, reason string) *failure {
	text := "dismissed: trying again is harmless"
	if retryAfter > 0 {
		text += ", come back in " + retryAfter.Round(time.Millisecond).String()
	}
	if reason != "" {
		text += "; " + reason
	}
	return &failure{code: sftp.Failure, message: text, rejected: true, retryAfter: retryAfter}
}

// findVolume finds the volume of a path.
func (f *Front) findVolume(path layout.Path) (*Volume, *failure) {
	if volume := f.options.Volumes[path.Volume]; volume != nil {
		return volume, nil
	}
	return nil, failuref(sftp.NoSuchFile, "there is no volume %q", path.Volume)
}

// parsePath reads a path as a client sends it.
func parsePath(text string) (layout.Path, *failure) {
	path, err := layout.Parse(text)
	if err != nil {
		return path, failuref(sftp.Denied, "%v", err)
	}
	return path, nil
}

// requestCounter counts what is under way, and tells when nothing is. Unlike a WaitGroup it may be waited for while more begins.
type requestCounter struct {
	lock    sync.Mutex
	count   int
	waiters []chan struct{}
}

func (t *requestCounter) begin() {
	t.lock.Lock()
	t.count++
	t.lock.Unlock()
}

func (t *requestCounter) end() {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.count--; t.count == 0 {
		for _, waiter := range t.waiters {
			close(waiter)
		}
		t.waiters = nil
	}
}

// idle returns what is closed once nothing is under way.
func (t *requestCounter) idle() <-chan struct{} {
	t.lock.Lock()
	defer t.lock.Unlock()
	waiter := make(chan struct{})
	if t.count == 0 {
		close(waiter)
	} else {
		t.waiters = append(t.waiters, waiter)
	}
	return waiter
}
