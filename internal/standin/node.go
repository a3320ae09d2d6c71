// Package standin is a small storage node for tests, scripted days and demonstrations: it holds a shard's data, takes
// its time over what it is sent, and fails in the ways that it is told to.
package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/audit"
	"irispost/internal/backend/node"
	"irispost/internal/sftp"
)

// Options are what a node is made of.
type Options struct {
	Addr               string
	Zone               string
	Shard              int
	Store              *Store
	Cores              int           // executions carried out at a time
	UnitTime           time.Duration // time of a core for a unit; 0: none, and no queue
	Queue              int           // executions that may wait
	DeferredWriteShare float64       // part of a write's time that is put off and done in one go
	DedupWindow        time.Duration // how long the marks of referenced jobs are remembered
	SlowStart          bool          // it starts cold
	SlowStartFrom      float64       // the part of its speed that it starts with
	SlowStartTime      time.Duration
	SlowStartMultiple  float64 // sent more than this multiple of what it can do for the window, while cold, it falls over
	SlowStartWindow    time.Duration
	SlowStartFreeUnits float64 // units in a window that it bears in any case
	ORCA               bool    // load reports go out in ORCA form
	Seed               uint64
	Recorder           *audit.Recorder
}

// Node is a running stand-in.
type Node struct {
	opt    Options
	server *sftp.Server
	addr   string
	lock   sync.Mutex
	cond   sync.Cond
	rand   *rand.Rand
	queue  []*work
	held   int
	count  int64         // of executions that came in
	spent  time.Duration // of the latest executions, averaged
	late   time.Duration // put off
	born   time.Time
	served map[int64]*served
	got    []spent // while cold
	fault  faults
	down   bool
}

type work struct {
	call   *node.Call
	conn   *sftp.Conn
	id     uint32
	by     time.Time
	peer   *peer
	called bool // off
}

type spent struct {
	at    time.Time
	units float64
}

// served is what a volume was served here, in all and by gateway.
type served struct {
	all      float64
	own      map[string]float64
	reported map[string]float64 // of others, to the gateway
}

// faults are the troubles in force.
type faults struct {
	fail    float64 // share of executions that fail; of half of them the effect is there
	slow    float64 // factor
	drop    float64 // share of answers that are lost
	hang    bool
	refuse  bool
	cut     string // a gateway whose packets are lost both ways
	stallTo time.Time
}

// Start starts a node.
func Start(opt Options) (*Node, error) {
	n := &Node{opt: opt, born: time.Now(), served: map[int64]*served{}, rand: rand.New(rand.NewPCG(opt.Seed, 7))}
	n.cond.L = &n.lock
	n.fault.slow = 1
	bounds := sftp.DefaultLimits
	bounds.MaxPacket = 4 << 20
	s, err := sftp.Listen(opt.Addr, bounds, 0, func(c *sftp.Conn) sftp.Peer {
		n.lock.Lock()
		refuse := n.fault.refuse
		n.lock.Unlock()
		if refuse {
			c.Close(net.ErrClosed) // now, or it could greet before
		}
		return &peer{node: n, conn: c, number: connections.Add(1), handles: map[string]string{}}
	})
	if err != nil {
		return nil, err
	}
	n.server, n.addr = s, s.Addr()
	born := audit.Event{Type: audit.NodeStarted, Node: n.addr, Shard: opt.Shard}
	if opt.SlowStart && opt.UnitTime > 0 {
		born.Rate = float64(opt.Cores) / opt.UnitTime.Seconds()
	}
	opt.Recorder.Add(born)
	for range max(opt.Cores, 1) {
		go n.core()
	}
	if opt.DeferredWriteShare > 0 {
		go n.catchUp()
	}
	return n, nil
}

// Addr is the address that it serves at.
func (n *Node) Addr() string { return n.addr }

// StartedAt is when it started.
func (n *Node) StartedAt() time.Time { return n.born }

// Close stops it at once: what it holds is lost.
func (n *Node) Close() {
	n.lock.Lock()
	n.down = true
	n.queue = nil
	n.lock.Unlock()
	n.cond.Broadcast()
	n.server.Close()
}

// Command sets a trouble: "fail SHARE", "slow FACTOR", "drop SHARE", "hang", "stall DURATION", "refuse", "cut
// GATEWAY", "reset" (breaks all connections), or "well" for an end to all.
func (n *Node) Command(text string) error {
	word, arg, _ := strings.Cut(text, " ")
	number, numberErr := strconv.ParseFloat(arg, 64)
	n.lock.Lock()
	defer n.lock.Unlock()
	defer n.cond.Broadcast()
	f := &n.fault
	switch word {
	case "fail", "slow", "drop":
		if numberErr != nil || number < 0 {
			return fmt.Errorf("%q needs a number", word)
		}
		*map[string]*float64{"fail": &f.fail, "slow": &f.slow, "drop": &f.drop}[word] = number
	case "hang":
		f.hang = true
	case "refuse":
		f.refuse = true
		go n.reset()
	case "reset":
		go n.reset()
	case "cut":
		f.cut = arg
	case "stall":
		d, err := time.ParseDuration(arg)
		if err != nil {
			return err
		}
		f.stallTo = time.Now().Add(d)
	case "well":
		*f = faults{slow: 1}
	default:
		return fmt.Errorf("no such trouble: %q", text)
	}
	return nil
}

func (n *Node) reset() {
	for _, c := range n.server.Conns() {
		c.Close(errors.New("reset"))
	}
}

// part is what a cold node can do of its full speed.
func (n *Node) part(now time.Time) float64 {
	age := now.Sub(n.born)
	if !n.opt.SlowStart || age >= n.opt.SlowStartTime {
		return 1
	}
	return n.opt.SlowStartFrom + (1-n.opt.SlowStartFrom)*float64(age)/float64(n.opt.SlowStartTime)
}

// take takes in an execution: it is turned away, or queued, or with cores that cost nothing carried out at once.
func (n *Node) take(w *work) {
	c, now := w.call, time.Now()
	n.lock.Lock()
	if n.down || n.fault.cut != "" && n.fault.cut == c.Gateway {
		n.lock.Unlock()
		return
	}
	n.count++
	n.opt.Recorder.Add(audit.Event{Type: audit.AttemptReceived, Node: n.addr, Zone: n.opt.Zone, Shard: n.opt.Shard, Gateway: c.Gateway,
		RequestID: c.RequestID, Attempt: c.Attempt, Volume: c.Volume, Units: c.Units, Idempotency: c.Idempotency, OrderingKey: c.OrderingKey, IdempotencyKey: c.IdempotencyKey,
		Timeout: int64(c.Timeout), Connection: w.peer.number, Writes: c.Op.Writes()})
	if n.opt.SlowStart && n.part(now) < 1 && n.opt.SlowStartMultiple > 0 && n.opt.UnitTime > 0 {
		n.got = append(n.got, spent{now, c.Units})
		sum := 0.0
		for len(n.got) > 0 && now.Sub(n.got[0].at) > n.opt.SlowStartWindow {
			n.got = n.got[1:]
		}
		for _, s := range n.got {
			sum += s.units
		}
		can := float64(n.opt.Cores) / n.opt.UnitTime.Seconds() * n.part(now) * n.opt.SlowStartWindow.Seconds()
		if sum > max(n.opt.SlowStartMultiple*can, n.opt.SlowStartFreeUnits) {
			n.lock.Unlock()
			n.opt.Recorder.Add(audit.Event{Type: audit.NodeOverloaded, Node: n.addr})
			go n.Close()
			return
		}
	}
	turnedAway := node.Reply{Outcome: node.Executed}
	switch {
	case c.Shard >= 0 && c.Shard != n.opt.Shard:
		turnedAway = node.Reply{Outcome: node.WrongShard, Message: fmt.Sprintf("shard %d is not here", c.Shard)}
	case n.opt.UnitTime > 0 && len(n.queue) >= n.opt.Queue:
		turnedAway = node.Reply{Outcome: node.QueueFull, Message: "the node's queue is full"}
	}
	if turnedAway.Outcome != node.Executed {
		n.lock.Unlock()
		n.answer(w, turnedAway)
		return
	}
	n.held++
	if n.opt.UnitTime == 0 && !n.fault.hang && len(n.queue) == 0 {
		n.lock.Unlock()
		n.carryOut(w, 0)
		return
	}
	n.queue = append(n.queue, w)
	n.lock.Unlock()
	n.cond.Signal()
}

// core carries executions out, one after the other.
func (n *Node) core() {
	for {
		n.lock.Lock()
		for !n.down && (len(n.queue) == 0 || n.fault.hang) {
			n.cond.Wait()
		}
		if n.down {
			n.lock.Unlock()
			return
		}
		w := n.queue[0]
		n.queue = n.queue[1:]
		now := time.Now()
		stall := n.fault.stallTo.Sub(now)
		if w.called || now.After(w.by) { // one whose time is up is not begun
			n.held--
			n.lock.Unlock()
			continue
		}
		took := time.Duration(w.call.Units * float64(n.opt.UnitTime) * n.fault.slow / n.part(now))
		if w.call.Op.Writes() && n.opt.DeferredWriteShare > 0 {
			off := time.Duration(float64(took) * n.opt.DeferredWriteShare)
			n.late += off
			took -= off
		}
		n.lock.Unlock()
		time.Sleep(max(stall, 0) + took)
		n.carryOut(w, took)
	}
}

// catchUp does what was put off, every second, in place of a core.
func (n *Node) catchUp() {
	for {
		time.Sleep(time.Second)
		n.lock.Lock()
		late := n.late
		n.late = 0
		if n.down {
			n.lock.Unlock()
			return
		}
		n.fault.stallTo = time.Now().Add(late / time.Duration(max(n.opt.Cores, 1)))
		n.lock.Unlock()
	}
}

// carryOut does an execution's work and answers it.
func (n *Node) carryOut(w *work, took time.Duration) {
	c := w.call
	n.lock.Lock()
	if n.down {
		n.lock.Unlock()
		return
	}
	fails, effect, lost := n.rand.Float64() < n.fault.fail, n.rand.Float64() < 0.5, n.rand.Float64() < n.fault.drop
	n.held--
	n.spent += (took - n.spent) / 8
	n.lock.Unlock()
	a := node.Reply{Outcome: node.Failed, Message: "the node failed it"}
	if !fails || effect {
		done, ran := n.opt.Store.do(c, time.Now(), n.opt.DedupWindow)
		if ran {
			n.opt.Recorder.Add(audit.Event{Type: audit.AttemptExecuted, Node: n.addr, Shard: n.opt.Shard, RequestID: c.RequestID, Attempt: c.Attempt,
				Idempotency: c.Idempotency, IdempotencyKey: c.IdempotencyKey, Writes: c.Op.Writes()})
		}
		if !fails {
			a = done
		}
	}
	if a.Outcome == node.Executed {
		a.UnitsElsewhere = n.others(c)
	}
	if !lost {
		n.answer(w, a)
	}
}

// others counts what a volume is served, and tells what others were since this gateway's last answer.
func (n *Node) others(c *node.Call) float64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	s := n.served[c.Volume]
	if s == nil {
		s = &served{own: map[string]float64{}, reported: map[string]float64{}}
		n.served[c.Volume] = s
	}
	s.all += c.Units
	s.own[c.Gateway] += c.Units
	others := s.all - s.own[c.Gateway]
	news := others - s.reported[c.Gateway]
	s.reported[c.Gateway] = others
	return news
}

// answer sends an answer with the load report.
func (n *Node) answer(w *work, a node.Reply) {
	n.lock.Lock()
	a.InFlight, a.Latency, a.Shard, a.ORCA = n.held, n.spent, n.opt.Shard, n.opt.ORCA
	n.lock.Unlock()
	n.opt.Recorder.Add(audit.Event{Type: audit.AttemptAnswered, Node: n.addr, Gateway: w.call.Gateway, RequestID: w.call.RequestID,
		Attempt: w.call.Attempt, NotExecuted: a.Outcome == node.QueueFull || a.Outcome == node.WrongShard})
	w.conn.Send(a.Packet(w.id))
}

// connections numbers the connections to all nodes of a process.
var connections atomic.Int64

// peer is one connection to the node.
type peer struct {
	node    *Node
	number  int64
	conn    *sftp.Conn
	handles map[string]string // of the plain file service
}

// Packet takes in a packet: executions, and a plain file service by names for whoever speaks SFTP to a node directly.
func (p *peer) Packet(f sftp.Frame) error {
	if f.Type == sftp.Init {
		p.conn.Send(sftp.Hello(node.ExecExtension, "1", node.CancelExtension, "1", FaultExtension, "1"))
		return nil
	}
	id, r := f.ID()
	if f.Type != sftp.Extended {
		p.plain(f.Type, id, r)
		return nil
	}
	switch name := r.Text(); name {
	case node.ExecExtension:
		c, err := node.DecodeCall(r)
		if err != nil {
			p.conn.Send(sftp.StatusOf(id, sftp.BadMessage, err.Error()))
			return nil
		}
		p.node.take(&work{call: c, conn: p.conn, peer: p, id: id, by: time.Now().Add(c.Timeout)})
	case node.CancelExtension:
		exec := r.Uint32()
		p.node.lock.Lock()
		for _, w := range p.node.queue {
			if w.id == exec && w.conn == p.conn {
				w.called = true
			}
		}
		p.node.lock.Unlock()
		p.node.opt.Recorder.Add(audit.Event{Type: audit.AttemptCancelled, Node: p.node.addr, RequestID: r.Text(), Attempt: int(r.Uint32())})
	case FaultExtension:
		if err := p.node.Command(r.Text()); err != nil {
			p.conn.Send(sftp.StatusOf(id, sftp.Failure, err.Error()))
		} else {
			p.conn.Send(sftp.StatusOf(id, sftp.OK, "ok"))
		}
	default:
		p.conn.Send(sftp.StatusOf(id, sftp.OpUnsupported, name))
	}
	return nil
}

// FaultExtension carries a trouble's command to a stand-in.
const FaultExtension = "fault@irispost"

// Closed is called when the connection has ended; what it asked for goes on.
func (p *peer) Closed(error) {
	p.node.opt.Recorder.Add(audit.Event{Type: audit.NodeConnectionEnded, Node: p.node.addr, Connection: p.number})
}

// plain serves files by name, each one object.
func (p *peer) plain(t sftp.Type, id uint32, r *sftp.Fields) {
	s := p.node.opt.Store
	status := func(c sftp.Code) { p.conn.Send(sftp.StatusOf(id, c, c.String())) }
	do := func(c node.Call) node.Reply {
		a, _ := s.do(&c, time.Now(), 0)
		return a
	}
	size := func(name string) (uint64, bool) {
		s.lock.Lock()
		defer s.lock.Unlock()
		o := s.objects[name]
		if o == nil {
			return 0, false
		}
		return uint64(len(o.data)), true
	}
	switch t {
	case sftp.Open:
		name, flags := r.Text(), r.Uint32()
		if _, there := size(name); !there && flags&sftp.FlagCreate == 0 {
			status(sftp.NoSuchFile)
			return
		}
		if flags&sftp.FlagTrunc != 0 {
			do(node.Call{Op: node.DeleteObject, Name: name})
		}
		if flags&sftp.FlagCreate != 0 {
			do(node.Call{Op: node.PutObject, Name: name, Owner: "plain"})
		}
		p.handles[name] = name
		p.conn.Send(sftp.New(sftp.Handle, id).Text(name))
	case sftp.Close:
		delete(p.handles, r.Text())
		status(sftp.OK)
	case sftp.Read:
		a := do(node.Call{Op: node.GetObject, Name: r.Text(), Offset: r.Uint64(), Length: r.Uint32()})
		if len(a.Data) == 0 {
			status(sftp.EOF)
			return
		}
		p.conn.Send(sftp.New(sftp.Data, id).Tail(a.Data))
	case sftp.Write:
		do(node.Call{Op: node.PutObject, Name: r.Text(), Owner: "plain", Offset: r.Uint64(), Data: r.Bytes()})
		status(sftp.OK)
	case sftp.Stat, sftp.Lstat, sftp.Fstat:
		n, there := size(r.Text())
		if !there {
			status(sftp.NoSuchFile)
			return
		}
		p.conn.Send(sftp.New(sftp.Attributes, id).Attrs(sftp.Attrs{HasSize: true, Size: n, HasMode: true, Mode: sftp.ModeFile | 0o644}))
	case sftp.Remove:
		do(node.Call{Op: node.DeleteObject, Name: r.Text()})
		status(sftp.OK)
	default:
		status(sftp.OpUnsupported)
	}
}

// AttemptsReceived counts the executions that have come in, whatever became of them.
func (n *Node) AttemptsReceived() int64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.count
}
