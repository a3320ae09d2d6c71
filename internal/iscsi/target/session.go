package target

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"irispost/internal/front"
	"irispost/internal/iscsi"
	"irispost/internal/iscsi/negotiate"
	"irispost/internal/iscsi/pace"
	"irispost/internal/packetconn"
	"irispost/internal/scsi"
)

// sessionState is where a session stands. Only session.move changes it.
type sessionState uint8

const (
	loggingIn sessionState = iota
	full                   // full feature phase
	leaving                // it was asked to log out, or has
	ended
)

// session is one initiator's connection.
type session struct {
	server   *Server
	conn     *packetconn.Conn
	login    *negotiate.Login
	late     *time.Timer // ends a login that takes too long
	client   *front.Client
	pace     *pace.Session
	target   *Target // nil: a discovery session
	identity identity

	lock     sync.Mutex
	state    sessionState
	digests  iscsi.Digests
	params   negotiate.Params
	handle   uint16
	begun    bool
	expCmd   uint32 // the command number that comes next
	maxCmd   uint32 // the last that may come
	statSN   uint32
	transfer uint32 // the next tag of an R2T
	tasks    map[uint32]*task
	early    map[uint32]*iscsi.PDU // commands whose turn has not come, by their number
	texts    []byte
}

func newSession(s *Server, c *packetconn.Conn) *session {
	x := &session{server: s, conn: c, tasks: map[uint32]*task{}, early: map[uint32]*iscsi.PDU{}, statSN: 1, client: s.opt.Front.NewClient()}
	opt := s.login()
	opt.Session = x.client.Name
	x.login = negotiate.NewLogin(opt)
	x.late = time.AfterFunc(s.opt.Limits.Login, func() {
		x.lock.Lock()
		late := x.state == loggingIn
		x.lock.Unlock()
		if late {
			c.Close(errors.New("the login takes too long"))
		}
	})
	return x
}

// move is the one place where a session's state changes; the lock is held.
func (x *session) move(to sessionState) { x.state = to }

// Closed ends the session: its requests are left.
func (x *session) Closed(why error) {
	x.server.opt.Log.Debug("session ended", "initiator", x.identity.initiator, "why", why)
	x.end()
}

// end ends it once.
func (x *session) end() {
	x.late.Stop()
	x.lock.Lock()
	was := x.state
	x.move(ended)
	x.lock.Unlock()
	if was == ended || was == loggingIn {
		return
	}
	x.server.leave(x)
	if x.target == nil {
		return
	}
	x.client.Close()
	x.server.pacing.Lock()
	rest := x.pace.Close()
	x.server.pacing.Unlock()
	for _, i := range rest {
		i.Owner.(*task).gone()
	}
	x.lock.Lock()
	var inside, outside []*task // that will get no data any more
	for _, t := range x.tasks {
		switch t.state {
		case collecting:
			t.move(working)
			inside = append(inside, t)
		case gathering:
			outside = append(outside, t)
		}
	}
	x.lock.Unlock()
	for _, t := range inside {
		t.finish(front.Result{Outcome: front.ClientGone}, nil)
	}
	for _, t := range outside {
		t.gone()
	}
}

// ReadPacket takes a PDU.
func (x *session) ReadPacket(r netpoll.Reader) error {
	x.lock.Lock()
	d, most := x.digests, x.params.OwnMaxSegment
	if x.state == loggingIn {
		most = 8192
	}
	x.lock.Unlock()
	p, err := iscsi.Read(r, d, most)
	if err != nil {
		return err
	}
	if p.BadDataDigest && p.Opcode() != iscsi.DataOut {
		x.reject(p, 0x02)
		return errors.New("a data digest does not fit")
	}
	x.lock.Lock()
	state := x.state
	x.lock.Unlock()
	switch state {
	case loggingIn:
		return x.step(p)
	case ended:
		return packetconn.ErrPeerClosed
	}
	return x.take(p)
}

// step takes a login request.
func (x *session) step(p *iscsi.PDU) error {
	if p.Opcode() != iscsi.LoginRequest {
		return fmt.Errorf("a PDU of kind %#x before the login", byte(p.Opcode()))
	}
	x.lock.Lock()
	if !x.begun {
		x.begun, x.expCmd, x.maxCmd = true, p.Uint32(24), p.Uint32(24)
		copy(x.identity.isid[:], p.Header[8:14])
	}
	x.lock.Unlock()
	var a negotiate.Answer
	var refusal *negotiate.Rejection
	switch {
	case p.Header[3] > 0: // the least version that it speaks
		refusal = &negotiate.Rejection{Class: 2, Detail: 5, Reason: "version 0 is spoken"}
	case p.Uint16(14) != 0:
		refusal = &negotiate.Rejection{Class: 2, Detail: 6, Reason: "a session has one connection"}
	case x.server.opt.Front.Stopping():
		refusal = &negotiate.Rejection{Class: 3, Detail: 1, Reason: "the gateway is stopping"}
	default:
		a, refusal = x.login.Step(negotiate.Request{Current: negotiate.Stage(p.Flags() >> 2 & 3), Next: negotiate.Stage(p.Flags() & 3),
			Transit: p.Final(), Continue: p.Flags()&iscsi.Continue != 0, Text: p.Data})
	}
	out := iscsi.New(iscsi.LoginResponse, 0).SetUint32(16, p.Tag())
	copy(out.Header[8:14], p.Header[8:14])
	if refusal != nil {
		x.server.opt.Log.Warn("login refused", "from", x.conn.RemoteAddr(), "initiator", x.login.Initiator, "why", refusal.Reason)
		out.SetByte(1, p.Flags()&0x0c).SetByte(36, refusal.Class).SetByte(37, refusal.Detail)
		x.lock.Lock()
		x.send(out, true)
		x.lock.Unlock()
		x.conn.WaitSent(time.Second)
		return refusal
	}
	flags := byte(a.Current) << 2
	if a.Transit {
		flags |= iscsi.Final | byte(a.Next)
	}
	out.SetByte(1, flags).SetData(iscsi.EncodeText(a.Pairs))
	done := a.Transit && a.Next == negotiate.FullFeature
	if done {
		x.enter(out)
	}
	x.lock.Lock()
	x.send(out, true)
	if done { // what follows has what was agreed
		x.digests = iscsi.Digests{Header: x.params.HeaderDigest, Data: x.params.DataDigest}
	}
	x.lock.Unlock()
	return nil
}

// enter begins the full feature phase.
func (x *session) enter(out *iscsi.PDU) {
	x.late.Stop()
	l := x.login
	x.identity.initiator, x.identity.target = l.Initiator, l.Target
	if !l.Discovery {
		x.target = x.server.targets[l.Target]
		x.server.pacing.Lock()
		x.pace = x.server.pacer.NewSession()
		x.server.pacing.Unlock()
	}
	x.lock.Lock()
	x.params = l.Params
	x.handle = uint16(x.server.handles.Add(1)%0xffff + 1)
	x.move(full)
	x.lock.Unlock()
	out.SetUint16(14, x.handle)
	if !l.Discovery {
		x.server.enter(x)
	}
	x.server.opt.Log.Info("session", "initiator", l.Initiator, "target", l.Target, "discovery", l.Discovery, "digests", x.params.HeaderDigest || x.params.DataDigest)
}

// send fills in the numbers of the session and sends; the lock is held. status: the PDU has a number of its own.
func (x *session) send(p *iscsi.PDU, status bool) {
	room := int32(1)
	switch {
	case x.state != loggingIn && x.pace == nil: // a discovery session
		room = 8
	case x.pace != nil:
		x.server.pacing.Lock()
		room = int32(x.pace.Window() - x.pace.Outstanding())
		x.server.pacing.Unlock()
	}
	if top := x.expCmd + uint32(max(room, 0)) - 1; int32(top-x.maxCmd) > 0 { // a window never shrinks (RFC 7143, 4.2.2.1)
		x.maxCmd = top
	}
	p.SetUint32(28, x.expCmd).SetUint32(32, x.maxCmd)
	if op := p.Opcode(); op != iscsi.DataIn || status {
		p.SetUint32(24, x.statSN)
	}
	if status {
		x.statSN++
	}
	x.conn.Send(p.Encode(x.digests))
}

// reject answers a PDU that cannot be taken (RFC 7143, 11.17).
func (x *session) reject(p *iscsi.PDU, reason byte) {
	x.lock.Lock()
	defer x.lock.Unlock()
	x.send(iscsi.New(iscsi.Reject, iscsi.Final).SetByte(2, reason).SetUint32(16, iscsi.NoTag).SetData(slices.Clone(p.Header[:])), true)
}

// mostEarly is how many commands are kept whose turn has not come.
const mostEarly = 32

const protocolError, notSupported, badField = 0x04, 0x05, 0x09

// take takes a PDU of the full feature phase. Requests that have a command number are taken in its order.
func (x *session) take(p *iscsi.PDU) error {
	switch p.Opcode() {
	case iscsi.DataOut:
		return x.data(p)
	case iscsi.SNACK:
		x.reject(p, 0x03) // nothing is kept to be sent again
		return nil
	case iscsi.Command, iscsi.TaskManagementRequest, iscsi.TextRequest, iscsi.LogoutRequest, iscsi.NopOut:
	default:
		x.reject(p, protocolError)
		return fmt.Errorf("a PDU of kind %#x in the full feature phase", byte(p.Opcode()))
	}
	if p.Immediate() {
		return x.do(p)
	}
	number := p.Uint32(24)
	x.lock.Lock()
	switch {
	case int32(number-x.expCmd) < 0 || int32(number-x.maxCmd) > 0: // a repeat, or outside of the window: let be (RFC 7143, 4.2.2.1)
		x.lock.Unlock()
		return nil
	case number != x.expCmd:
		if len(x.early) < mostEarly { // others are let be: what is missing before them has to be sent again in any case
			x.early[number] = p
		}
		x.lock.Unlock()
		return nil
	}
	x.lock.Unlock()
	for p != nil {
		x.lock.Lock()
		x.expCmd++
		x.lock.Unlock()
		if err := x.do(p); err != nil {
			return err
		}
		x.lock.Lock()
		p = x.early[x.expCmd]
		delete(x.early, x.expCmd)
		x.lock.Unlock()
	}
	return nil
}

// do carries out a request whose turn has come.
func (x *session) do(p *iscsi.PDU) error {
	switch p.Opcode() {
	case iscsi.NopOut:
		x.lock.Lock()
		defer x.lock.Unlock()
		if p.Tag() != iscsi.NoTag {
			out := iscsi.New(iscsi.NopIn, iscsi.Final).SetUint32(16, p.Tag()).SetUint32(20, iscsi.NoTag).SetData(p.Data[:min(len(p.Data), x.params.PeerMaxSegment)])
			copy(out.Header[8:16], p.LUN())
			x.send(out, true)
		}
	case iscsi.TextRequest:
		x.text(p)
	case iscsi.LogoutRequest:
		return x.logout(p)
	case iscsi.TaskManagementRequest:
		x.manage(p)
	case iscsi.Command:
		if x.target == nil {
			x.reject(p, protocolError)
			return errors.New("a command in a discovery session")
		}
		x.command(p)
	}
	return nil
}

// text answers SendTargets (RFC 7143, Appendix C).
func (x *session) text(p *iscsi.PDU) {
	x.lock.Lock()
	x.texts = append(x.texts, p.Data...)
	whole := x.texts
	more := p.Flags()&iscsi.Continue != 0
	if !more || len(whole) > 64<<10 {
		x.texts = nil
	}
	x.lock.Unlock()
	out := iscsi.New(iscsi.TextResponse, iscsi.Final).SetUint32(16, p.Tag()).SetUint32(20, iscsi.NoTag)
	if more {
		if len(whole) > 64<<10 {
			x.reject(p, protocolError)
			return
		}
		out.SetByte(1, 0).SetUint32(20, 1) // go on
	} else {
		pairs, err := iscsi.DecodeText(whole)
		if err != nil {
			x.reject(p, badField)
			return
		}
		var tell []iscsi.Pair
		for _, pair := range pairs {
			if pair.Key != "SendTargets" {
				tell = append(tell, iscsi.Pair{Key: pair.Key, Value: "NotUnderstood"})
				continue
			}
			for _, name := range slices.Sorted(maps.Keys(x.server.targets)) {
				if x.target == nil && (pair.Value == "All" || pair.Value == name) || x.target != nil && x.target.Name == name && (pair.Value == "" || pair.Value == name) {
					tell = append(tell, iscsi.Pair{Key: "TargetName", Value: name}, iscsi.Pair{Key: "TargetAddress", Value: x.server.Addr() + ",1"})
				}
			}
		}
		out.SetData(iscsi.EncodeText(tell))
		if len(out.Data) > x.params.PeerMaxSegment {
			x.reject(p, notSupported) // more targets than one answer holds
			return
		}
	}
	x.lock.Lock()
	x.send(out, true)
	x.lock.Unlock()
}

// logout ends the session, with an answer.
func (x *session) logout(p *iscsi.PDU) error {
	out := iscsi.New(iscsi.LogoutResponse, iscsi.Final).SetUint32(16, p.Tag())
	x.lock.Lock()
	if p.Flags()&0x7f > 1 {
		out.SetByte(2, 2) // connections are not recovered
		x.send(out, true)
		x.lock.Unlock()
		return nil
	}
	x.move(leaving)
	out.SetUint16(40, uint16(x.params.TimeToWait)).SetUint16(42, uint16(x.params.TimeToRetain))
	x.send(out, true)
	x.lock.Unlock()
	x.conn.WaitSent(time.Second)
	return errors.New("logged out")
}

// askToLeave asks the initiator to log out (RFC 7143, 11.9.1, event 1).
func (x *session) askToLeave() {
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.state != full {
		return
	}
	x.send(iscsi.New(iscsi.AsyncMessage, iscsi.Final).SetUint32(16, iscsi.NoTag).SetByte(36, 1).SetUint16(42, 3), true)
}

// Task management functions and answers (RFC 7143, 11.5 and 11.6).
const (
	abortTask, abortTaskSet, clearTaskSet, unitReset = 1, 2, 4, 5
	complete, noTask, noUnit, noReassign, noFunction = 0, 1, 2, 4, 5
)

// manage carries out a task management function. The answer goes out when what it aborts has ended: after that, no effect
// of theirs comes any more.
func (x *session) manage(p *iscsi.PDU) {
	if x.target == nil {
		x.reject(p, protocolError)
		return
	}
	answer := func(code byte) {
		x.lock.Lock()
		defer x.lock.Unlock()
		x.send(iscsi.New(iscsi.TaskManagementResponse, iscsi.Final).SetByte(2, code).SetUint32(16, p.Tag()), true)
	}
	lun, known := scsi.DecodeLUN(p.LUN())
	unit := x.target.Units[lun]
	var list []*task
	switch p.Flags() & 0x7f {
	case abortTask:
		x.lock.Lock()
		t := x.tasks[p.Uint32(20)]
		x.lock.Unlock()
		if t == nil {
			answer(noTask)
			return
		}
		list = []*task{t}
	case abortTaskSet, clearTaskSet, unitReset:
		if !known || unit == nil {
			answer(noUnit)
			return
		}
		list = x.of(unit)
		if f := p.Flags() & 0x7f; f != abortTaskSet {
			for _, o := range x.server.others(x) {
				list = append(list, o.of(unit)...)
			}
		}
	case 8:
		answer(noReassign)
		return
	default:
		answer(noFunction)
		return
	}
	var waits []<-chan struct{}
	for _, t := range list {
		waits = append(waits, t.abort(t.session == x))
	}
	go func() {
		for _, w := range waits {
			<-w
		}
		answer(complete)
	}()
}

// of are the session's tasks at a unit.
func (x *session) of(u *Unit) (list []*task) {
	x.lock.Lock()
	defer x.lock.Unlock()
	for _, tag := range slices.Sorted(maps.Keys(x.tasks)) {
		if t := x.tasks[tag]; t.unit == u {
			list = append(list, t)
		}
	}
	return list
}
