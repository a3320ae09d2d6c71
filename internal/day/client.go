package day

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/audit"
	"irispost/internal/config"
	"irispost/internal/front"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// block is the bytes that are written with one word, so that bytes that nobody wrote are noticed.
const block = 4096

// fill makes n bytes whose blocks each repeat one word.
func fill(n int, r *rand.Rand) []byte {
	b := make([]byte, n)
	for at := 0; at < n; at += block {
		word := r.Uint64() | 1
		for i := at; i < min(at+block, n); i += 8 {
			binary.LittleEndian.PutUint64(b[i:], word)
		}
	}
	return b
}

// whole tells whether each block repeats one word.
func whole(b []byte) bool {
	for at := 0; at+8 <= len(b); at += block {
		word := b[at : at+8]
		for i := at; i+8 <= min(at+block, len(b)); i += 8 {
			if !bytes.Equal(word, b[i:i+8]) {
				return false
			}
		}
	}
	return true
}

// link is a client's connection. It records what it asks and is told.
type link struct {
	conn    *sftp.Conn
	record  *audit.Recorder
	session string
	ready   chan struct{}
	lock    sync.Mutex
	next    uint32
	out     map[uint32]chan reply
	over    bool
	closing bool
}

type reply struct {
	kind sftp.Type
	body *sftp.Fields
	code sftp.Code
	text string
	err  error // the connection ended
}

var errBroken = errors.New("the connection broke")

// connect connects and waits for the gateway's greeting.
func connect(addr string, record *audit.Recorder) (*link, error) {
	l := &link{record: record, ready: make(chan struct{}), out: map[uint32]chan reply{}}
	conn, err := sftp.Dial(addr, sftp.DefaultLimits, time.Second, func(c *sftp.Conn) sftp.Peer { l.conn = c; return l })
	if err != nil {
		return nil, err
	}
	conn.Send(sftp.New(sftp.Init, sftp.ProtocolVersion))
	select {
	case <-l.ready:
		return l, nil
	case <-conn.Done():
		return nil, errBroken
	case <-time.After(5 * time.Second):
		conn.Close(nil)
		return nil, errors.New("the gateway does not greet")
	}
}

// Packet takes in an answer.
func (l *link) Packet(f sftp.Frame) error {
	id, body := f.ID()
	if f.Type == sftp.Version {
		for body.More() {
			name, data := body.Text(), body.Text()
			if name == front.SessionExtension {
				l.session = data
			}
		}
		l.record.Add(audit.Event{Type: audit.ClientConnected, Session: l.session})
		close(l.ready)
		return nil
	}
	r := reply{kind: f.Type, body: body}
	told := audit.Event{Type: audit.ResponseReceived, Session: l.session, ClientRequest: id}
	if f.Type == sftp.Status {
		r.code, r.text = sftp.Code(body.Uint32()), body.Text()
		switch {
		case strings.HasPrefix(r.text, "dismissed"):
			told.Outcome = audit.Rejected
		case strings.HasPrefix(r.text, "written off"):
			told.Outcome = audit.Failed
		}
	}
	l.record.Add(told)
	l.lock.Lock()
	done := l.out[id]
	delete(l.out, id)
	l.lock.Unlock()
	if done != nil {
		done <- r
	}
	return nil
}

// Closed ends what is out.
func (l *link) Closed(error) {
	l.lock.Lock()
	l.over = true
	out := l.out
	l.out = map[uint32]chan reply{}
	e := audit.Event{Type: audit.ClientDisconnected, Session: l.session, State: "broke"}
	if l.closing {
		e.State = "closed"
	}
	l.lock.Unlock()
	if e.Session != "" {
		l.record.Add(e)
	}
	for _, done := range out {
		done <- reply{err: errBroken}
	}
}

func (l *link) close() {
	l.lock.Lock()
	l.closing = true
	l.lock.Unlock()
	l.conn.Close(nil)
}

// ask sends a request and returns where its answer comes.
func (l *link) ask(t sftp.Type, product string, goal, limit time.Duration, fields func(*sftp.Packet)) <-chan reply {
	done := make(chan reply, 1)
	l.lock.Lock()
	if l.over {
		l.lock.Unlock()
		done <- reply{err: errBroken}
		return done
	}
	l.next++
	id := l.next
	l.out[id] = done
	l.lock.Unlock()
	p := sftp.New(t, id)
	fields(p)
	now := l.record.Clock()
	l.record.Add(audit.Event{At: now, Type: audit.RequestSent, Session: l.session, ClientRequest: id, RequestClass: product,
		ObjectiveBy: now + int64(goal), Deadline: now + int64(limit)})
	l.conn.Send(p)
	time.AfterFunc(limit+patience, func() { // the check finds it lost; the client must not wait for ever
		l.lock.Lock()
		waits := l.out[id] != nil
		delete(l.out, id)
		l.lock.Unlock()
		if waits {
			done <- reply{err: errors.New("no answer")}
		}
	})
	return done
}

// patience is how long over its limit a client waits for a late answer, to record it.
const patience = 5 * time.Second

// totals are what the clients have seen, with their tries folded into the first.
type totals struct {
	lock     sync.Mutex
	requests int
	inGoal   int
	torn     atomic.Int64 // answers with bytes that nobody wrote
}

// client is one scripted client.
type client struct {
	plan   ClientPlan
	name   string
	addr   func() string // of its gateway, which may change
	volume *front.Volume
	conf   *config.Config
	record *audit.Recorder
	totals *totals
	rand   *rand.Rand
	lock   sync.Mutex
	link   *link
	files  []string // names
	open   []string // handles on link
	stop   chan struct{}
	count  int
	// Of a disk client.
	diskAddr func() string
	lun      uint16
	base     int64
	disk     *disk
}

// product is what a request counts as, with its goal and the longest that its client may wait for the answer.
func (c *client) product(sorts ...front.Sort) (name string, goal, limit time.Duration) {
	for i, s := range sorts {
		p := c.volume.Product(s, layout.Path{Volume: c.plan.Volume, Rel: c.files[0]}, uint64(c.plan.Bytes*c.plan.Blocks))
		if i == 0 {
			name = p.Name
		}
		goal, limit = max(goal, c.conf.RequestClasses[p.Name].LatencyObjective), max(limit, p.Patience)
	}
	return name, goal, limit
}

// one does one request and waits for it.
func (c *client) one(l *link, t sftp.Type, fields func(*sftp.Packet), sorts ...front.Sort) reply {
	name, goal, limit := c.product(sorts...)
	return <-l.ask(t, name, goal, limit, fields)
}

func (r reply) failed() error {
	switch {
	case r.err != nil:
		return r.err
	case r.kind == sftp.Status && r.code != sftp.OK:
		return fmt.Errorf("%v: %s", r.code, r.text)
	}
	return nil
}

// setUp connects, makes the client's files and fills them, as often as it takes.
func (c *client) setUp() error {
	var err error
	for range 50 {
		if err = c.again(true); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("client %s: %w", c.name, err)
}

// again connects anew and opens the client's files.
func (c *client) again(prepare bool) error {
	if c.plan.onDisk() {
		return c.openDisk(prepare)
	}
	l, err := connect(c.addr(), c.record)
	if err != nil {
		return err
	}
	var open []string
	for _, file := range c.files {
		path := "/" + c.plan.Volume + "/" + file
		r := c.one(l, sftp.Open, func(p *sftp.Packet) {
			p.Text(path).Uint32(sftp.FlagRead | sftp.FlagWrite | sftp.FlagCreate).Attrs(sftp.Attrs{})
		}, front.Change, front.Look)
		if err := r.failed(); err != nil {
			l.close()
			return err
		}
		handle := r.body.Text()
		open = append(open, handle)
		for i := 0; prepare && i < c.plan.Blocks; i++ {
			data := fill(c.plan.Bytes, c.rand)
			r := c.one(l, sftp.Write, func(p *sftp.Packet) { p.Text(handle).Uint64(uint64(i * len(data))).Tail(data) }, front.Write)
			if err := r.failed(); err != nil {
				l.close()
				return err
			}
		}
		if prepare {
			r := c.one(l, sftp.Extended, func(p *sftp.Packet) { p.Text("fsync@openssh.com").Text(handle) }, front.Change, front.Look)
			if err := r.failed(); err != nil {
				l.close()
				return err
			}
		}
	}
	c.lock.Lock()
	c.link, c.open = l, open
	c.lock.Unlock()
	return nil
}

// run sends requests at the client's rate until it is stopped, each on its own way.
func (c *client) run(all *sync.WaitGroup) {
	defer all.Done()
	var mine sync.WaitGroup
	began := time.Now()
	next := began.Add(c.plan.From)
	for {
		if c.plan.Until > 0 && next.After(began.Add(c.plan.Until)) {
			next = began.Add(24 * time.Hour) // it asks nothing more, and waits for the day's end
		}
		next = next.Add(time.Duration(c.rand.ExpFloat64() / c.plan.Rate * float64(time.Second)))
		select {
		case <-c.stop:
			mine.Wait()
			c.lock.Lock()
			l, d := c.link, c.disk
			c.lock.Unlock()
			if l != nil {
				l.close()
			}
			if d != nil {
				_ = d.Close()
			}
			return
		case <-time.After(time.Until(next)):
		}
		c.count++
		file, at, data, tag := c.rand.IntN(len(c.files)), c.rand.IntN(c.plan.Blocks), []byte(nil), c.count
		if c.plan.Operation == "write" || c.plan.Operation == "create" || c.plan.Operation == "disk-write" {
			data = fill(c.plan.Bytes, c.rand)
		}
		mine.Add(1)
		go func() {
			defer mine.Done()
			c.request(file, at, tag, data)
		}()
	}
}

// request does one request with its further tries, and counts it once.
func (c *client) request(file, at, tag int, data []byte) {
	_, goal, _ := c.product(map[string]front.Sort{"read": front.Read, "write": front.Write, "create": front.Write,
		"look": front.Look, "disk-read": front.Read, "disk-write": front.Write}[c.plan.Operation])
	if c.plan.Operation == "create" { // open, write and close each have their goal
		_, change, _ := c.product(front.Change)
		goal += 2 * change
	}
	began, served := time.Now(), false
	for try := 0; try <= c.plan.Retries && !served; try++ {
		if try > 0 {
			time.Sleep(c.plan.RetryDelay)
		}
		c.lock.Lock()
		l, d := c.link, c.disk
		broken := l == nil && d == nil
		handle := ""
		if l != nil {
			handle = c.open[file]
		}
		c.lock.Unlock()
		if broken {
			continue
		}
		var err error
		if d != nil {
			err = c.diskTry(d, c.plan.Operation == "disk-write", at, data)
		} else {
			err = c.try(l, handle, at, tag, data)
		}
		served = err == nil
		if errors.Is(err, errBroken) {
			c.reconnect(l, d)
		}
	}
	c.totals.lock.Lock()
	c.totals.requests++
	if served && time.Since(began) <= goal {
		c.totals.inGoal++
	}
	c.totals.lock.Unlock()
}

// reconnect replaces a link that broke, once.
func (c *client) reconnect(old *link, disk *disk) {
	c.lock.Lock()
	mine := c.link == old && c.disk == disk
	if mine {
		c.link, c.disk = nil, nil
	}
	c.lock.Unlock()
	if !mine {
		return
	}
	go func() {
		for c.again(false) != nil {
			select {
			case <-c.stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
}

// try does one try.
func (c *client) try(l *link, handle string, at, tag int, data []byte) error {
	offset := uint64(at * c.plan.Bytes)
	var wait <-chan reply
	switch c.plan.Operation {
	case "read":
		name, goal, limit := c.product(front.Read, front.Look)
		wait = l.ask(sftp.Read, name, goal, limit, func(p *sftp.Packet) { p.Text(handle).Uint64(offset).Uint32(uint32(c.plan.Bytes)) })
	case "write":
		name, goal, limit := c.product(front.Write)
		wait = l.ask(sftp.Write, name, goal, limit, func(p *sftp.Packet) { p.Text(handle).Uint64(offset).Tail(data) })
	case "look":
		name, goal, limit := c.product(front.Look, front.Change)
		wait = l.ask(sftp.Stat, name, goal, limit, func(p *sftp.Packet) { p.Text("/" + c.plan.Volume + "/" + c.files[0]) })
	case "create":
		path := fmt.Sprintf("/%s/%s-%d", c.plan.Volume, c.name, tag)
		r := c.one(l, sftp.Open, func(p *sftp.Packet) {
			p.Text(path).Uint32(sftp.FlagWrite | sftp.FlagCreate | sftp.FlagTrunc).Attrs(sftp.Attrs{})
		}, front.Change, front.Look)
		if err := r.failed(); err != nil {
			return err
		}
		made := r.body.Text()
		r = c.one(l, sftp.Write, func(p *sftp.Packet) { p.Text(made).Uint64(0).Tail(data) }, front.Write)
		end := c.one(l, sftp.Close, func(p *sftp.Packet) { p.Text(made) }, front.Change, front.Look)
		if err := r.failed(); err != nil {
			return err
		}
		return end.failed()
	}
	var r reply
	if c.plan.CancelAfter > 0 {
		select {
		case r = <-wait:
		case <-time.After(c.plan.CancelAfter):
			l.close()
			return errBroken
		}
	} else {
		r = <-wait
	}
	if err := r.failed(); err != nil {
		return err
	}
	if c.plan.Operation == "read" {
		if got := r.body.Bytes(); !whole(got) || len(got) != c.plan.Bytes {
			c.totals.torn.Add(1)
			return fmt.Errorf("%d bytes that nobody wrote", len(got))
		}
	}
	return nil
}
