// Package initiator is a client of iSCSI targets (RFC 7143): sessions with many commands out, and disks with blocks that
// are read and written, with reconnects and repeats by what each answer promises.
package initiator

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"irispost/internal/iscsi"
	"irispost/internal/iscsi/negotiate"
	"irispost/internal/scsi"
)

// Options are what a session is opened with.
type Options struct {
	Address string // of the portal
	Name    string // the initiator's: iqn....
	Target  string
	ISID    [6]byte // tells sessions of one initiator apart; the same begins a session anew
	Account negotiate.Account
	Digests bool
	Within  time.Duration // for connecting and logging in; 0: 10 s
	Segment int           // bytes of data taken in a PDU; 0: 256 KiB
	Solicit bool          // no data goes before it is asked for
	Saw     func(Event)   // told of commands and their answers; nil: nobody
}

// Event is a command sent, or answered.
type Event struct {
	Session string // as the gateway calls it, or the connection's address
	Tag     uint32
	Op      byte // the command's first byte
	Sent    bool
	Status  scsi.Status // of an answer
	Lost    error       // the session is; nothing else is told then
}

// Errors of sessions.
var (
	ErrLost   = errors.New("iscsi: the session is lost")
	ErrClosed = errors.New("iscsi: logged out")
)

// Reply is a command's answer.
type Reply struct {
	Status   scsi.Status
	Sense    *scsi.Sense // of CheckCondition
	Data     []byte
	Residual int // bytes that were expected and did not pass; below 0: that would have passed beyond
}

// call is a command that is out.
type call struct {
	op      byte
	out, in []byte
	limit   int
	done    chan Reply
	asked   []func() // R2Ts that wait to be answered, one after the other
	sending bool
}

// Session is a connection to a target.
type Session struct {
	opt     Options
	conn    net.Conn
	params  negotiate.Params
	digests iscsi.Digests
	writing sync.Mutex
	lock    sync.Mutex
	cond    *sync.Cond
	tag     uint32
	cmdSN   uint32
	maxCmd  uint32
	expStat uint32
	calls   map[uint32]*call
	manages map[uint32]chan byte
	texts   map[uint32]chan []byte
	pings   map[uint32]chan struct{}
	lost    error
	asked   bool // to log out
	name    string
	TSIH    uint16
}

// Dial connects and logs in. An empty target makes a discovery session.
func Dial(ctx context.Context, opt Options) (*Session, error) {
	if opt.Within == 0 {
		opt.Within = 10 * time.Second
	}
	if opt.Segment == 0 {
		opt.Segment = 256 << 10
	}
	ctx, cancel := context.WithTimeout(ctx, opt.Within)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", opt.Address)
	if err != nil {
		return nil, err
	}
	s := &Session{opt: opt, conn: conn, params: negotiate.Protocol, cmdSN: 1, maxCmd: 1, calls: map[uint32]*call{}, manages: map[uint32]chan byte{},
		texts: map[uint32]chan []byte{}, pings: map[uint32]chan struct{}{}}
	s.cond = sync.NewCond(&s.lock)
	r := plain{bufio.NewReaderSize(conn, 64<<10)}
	end, _ := ctx.Deadline()
	_ = conn.SetDeadline(end)
	if err := s.login(r); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	go s.receive(r)
	return s, nil
}

// plain reads PDUs from a buffered connection.
type plain struct{ *bufio.Reader }

func (p plain) ReadBinary(n int) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(p.Reader, b)
	return b, err
}

func (p plain) Release() error { return nil }

// exchange sends login keys and reads those of the answer.
func (s *Session) exchange(r plain, now, next negotiate.Stage, pairs []iscsi.Pair) (map[string]string, bool, error) {
	flags := byte(now)<<2 | byte(next)
	if now != next {
		flags |= iscsi.Final
	}
	p := iscsi.New(iscsi.LoginAsk, flags).Put(16, 1).Put(24, s.cmdSN).Put(28, s.expStat).With(iscsi.Text(pairs))
	p.Head[0] |= 0x40
	copy(p.Head[8:14], s.opt.ISID[:])
	if err := s.write(p); err != nil {
		return nil, false, err
	}
	a, err := iscsi.Read(r, iscsi.Digests{}, 64<<10)
	if err != nil {
		return nil, false, err
	}
	if a.Op() != iscsi.LoginTell {
		return nil, false, fmt.Errorf("iscsi: a login is answered by a PDU of kind %#x", byte(a.Op()))
	}
	if class, detail := a.Head[36], a.Head[37]; class != 0 {
		return nil, false, &negotiate.Refusal{Class: class, Detail: detail, Why: "the target says so"}
	}
	s.expStat, s.maxCmd, s.TSIH = a.U32(24)+1, a.U32(32), a.U16(14)
	list, err := iscsi.ReadText(a.Data)
	keys := map[string]string{}
	for _, p := range list {
		keys[p.Key] = p.Value
	}
	return keys, a.Final(), err
}

func (s *Session) login(r plain) error {
	o := &s.opt
	first := []iscsi.Pair{{Key: "InitiatorName", Value: o.Name}, {Key: "SessionType", Value: "Discovery"}}
	if o.Target != "" {
		first = []iscsi.Pair{{Key: "InitiatorName", Value: o.Name}, {Key: "SessionType", Value: "Normal"}, {Key: "TargetName", Value: o.Target}}
	}
	method := "None"
	if o.Account.Secret != "" {
		method = "CHAP,None"
	}
	first = append(first, iscsi.Pair{Key: "AuthMethod", Value: method})
	keys, over, err := s.exchange(r, negotiate.Security, negotiate.Operational, first)
	if err != nil {
		return err
	}
	if keys["AuthMethod"] == "CHAP" {
		if over, err = s.prove(r); err != nil {
			return err
		}
	}
	if !over {
		return errors.New("iscsi: the target does not end the security stage")
	}
	digest := "None"
	if o.Digests {
		digest = "CRC32C,None"
	}
	word := func(b bool) string { return map[bool]string{true: "Yes", false: "No"}[b] }
	ask := []iscsi.Pair{{Key: negotiate.SessionKey, Value: "?"}, {Key: "HeaderDigest", Value: digest}, {Key: "DataDigest", Value: digest}, {Key: "MaxRecvDataSegmentLength", Value: strconv.Itoa(o.Segment)},
		{Key: "DefaultTime2Wait", Value: "0"}, {Key: "DefaultTime2Retain", Value: "0"}, {Key: "ErrorRecoveryLevel", Value: "0"}}
	if o.Target != "" {
		ask = append(ask, iscsi.Pair{Key: "InitialR2T", Value: word(o.Solicit)}, iscsi.Pair{Key: "ImmediateData", Value: word(!o.Solicit)},
			iscsi.Pair{Key: "MaxBurstLength", Value: "1048576"}, iscsi.Pair{Key: "FirstBurstLength", Value: "262144"},
			iscsi.Pair{Key: "MaxOutstandingR2T", Value: "4"}, iscsi.Pair{Key: "MaxConnections", Value: "1"})
	}
	keys, over, err = s.exchange(r, negotiate.Operational, negotiate.Full, ask)
	if err != nil {
		return err
	}
	if !over {
		return errors.New("iscsi: the target does not end the login")
	}
	p := &s.params
	p.OurSegment = o.Segment
	for key, to := range map[string]*int{"MaxRecvDataSegmentLength": &p.TheirSegment, "MaxBurstLength": &p.MaxBurst, "FirstBurstLength": &p.FirstBurst} {
		if v, told := keys[key]; told {
			if *to, err = strconv.Atoi(v); err != nil || *to < 512 {
				return fmt.Errorf("iscsi: the target answers %s=%q", key, v)
			}
		}
	}
	if s.name = keys[negotiate.SessionKey]; s.name == "" || s.name == "NotUnderstood" {
		s.name = s.conn.LocalAddr().String()
	}
	p.InitialR2T = keys["InitialR2T"] != "No"
	p.ImmediateData = keys["ImmediateData"] != "No"
	s.digests = iscsi.Digests{Head: keys["HeaderDigest"] == "CRC32C", Data: keys["DataDigest"] == "CRC32C"}
	return nil
}

// prove answers the target's challenge, and asks it for a proof of its own where a secret for that is known.
func (s *Session) prove(r plain) (bool, error) {
	a := &s.opt.Account
	keys, _, err := s.exchange(r, negotiate.Security, negotiate.Security, []iscsi.Pair{{Key: "CHAP_A", Value: "5"}})
	if err != nil {
		return false, err
	}
	challenge, err := negotiate.Binary(keys["CHAP_C"])
	id, err2 := strconv.Atoi(keys["CHAP_I"])
	if err = errors.Join(err, err2); err != nil || keys["CHAP_A"] != "5" {
		return false, fmt.Errorf("iscsi: the target's challenge cannot be read: %w", err)
	}
	pairs := []iscsi.Pair{{Key: "CHAP_N", Value: a.Name}, {Key: "CHAP_R", Value: negotiate.Hex(negotiate.Proof(byte(id), a.Secret, challenge))}}
	var ours []byte
	if a.OurSecret != "" {
		ours = binary.BigEndian.AppendUint64(negotiate.Proof(byte(id), a.OurSecret, challenge), uint64(time.Now().UnixNano()))
		pairs = append(pairs, iscsi.Pair{Key: "CHAP_I", Value: "7"}, iscsi.Pair{Key: "CHAP_C", Value: negotiate.Hex(ours)})
	}
	keys, over, err := s.exchange(r, negotiate.Security, negotiate.Operational, pairs)
	if err != nil {
		return false, err
	}
	if ours != nil && keys["CHAP_R"] != negotiate.Hex(negotiate.Proof(7, a.OurSecret, ours)) {
		return false, errors.New("iscsi: the target does not prove who it is")
	}
	return over, nil
}

// write sends a PDU as it is.
func (s *Session) write(p *iscsi.PDU) error {
	head, tail := p.Seal(s.digests).Bytes()
	s.writing.Lock()
	defer s.writing.Unlock()
	_, err := (&net.Buffers{head, tail}).WriteTo(s.conn)
	return err
}

// fail ends the session.
func (s *Session) fail(why error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.lost != nil {
		return
	}
	s.lost = fmt.Errorf("%w: %w", ErrLost, why)
	_ = s.conn.Close()
	if s.opt.Saw != nil {
		s.opt.Saw(Event{Session: s.name, Lost: why})
	}
	for _, c := range s.calls {
		close(c.done)
	}
	for _, m := range s.manages {
		close(m)
	}
	for _, t := range s.texts {
		close(t)
	}
	for _, p := range s.pings {
		close(p)
	}
	s.calls, s.manages, s.texts, s.pings = nil, nil, nil, nil
	s.cond.Broadcast()
}

// receive takes what the target sends.
func (s *Session) receive(r plain) {
	for {
		p, err := iscsi.Read(r, s.digests, s.opt.Segment)
		if err == nil && p.Bad {
			err = errors.New("a data digest does not fit")
		}
		if err == nil {
			err = s.take(p)
		}
		if err != nil {
			s.fail(err)
			return
		}
	}
}

func (s *Session) take(p *iscsi.PDU) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.lost != nil {
		return s.lost
	}
	if top := p.U32(32); int32(top-s.maxCmd) > 0 {
		s.maxCmd = top
		s.cond.Broadcast()
	}
	ping := p.Op() == iscsi.NopIn && p.Tag() == iscsi.NoTag // asks for an answer, and has no number of its own
	status := !ping && p.Op() != iscsi.ReadyTo && (p.Op() != iscsi.DataIn || p.Flags()&iscsi.HasStatus != 0)
	if status {
		s.expStat = p.U32(24) + 1
	}
	c := s.calls[p.Tag()]
	switch p.Op() {
	case iscsi.DataIn:
		if c == nil {
			return nil // it was aborted
		}
		if int(p.U32(40)) != len(c.in) || len(c.in)+len(p.Data) > c.limit {
			return fmt.Errorf("data at %d of %d bytes, %d were expected next", p.U32(40), c.limit, len(c.in))
		}
		c.in = append(c.in, p.Data...)
		if status {
			s.over(c, p, nil)
		}
	case iscsi.Response:
		if c != nil {
			var sense *scsi.Sense
			if len(p.Data) > 2 {
				sense, _ = scsi.ReadSense(p.Data[2:])
			}
			s.over(c, p, sense)
		}
	case iscsi.ReadyTo:
		if c == nil {
			return nil
		}
		from, n := p.U32(40), p.U32(44)
		if uint64(from)+uint64(n) > uint64(len(c.out)) || n == 0 {
			return fmt.Errorf("%d bytes at %d are asked for, %d are there", n, from, len(c.out))
		}
		c.asked = append(c.asked, func() { s.data(p.Tag(), p.U32(20), p.Lun(), from, c.out[from:from+n]) })
		if !c.sending {
			c.sending = true
			go s.serveAsked(c)
		}
	case iscsi.TaskAnswer:
		if m := s.manages[p.Tag()]; m != nil {
			m <- p.Head[2]
			delete(s.manages, p.Tag())
		}
	case iscsi.TextTell:
		if t := s.texts[p.Tag()]; t != nil {
			t <- p.Data
			delete(s.texts, p.Tag())
		}
	case iscsi.NopIn:
		if ping := s.pings[p.Tag()]; ping != nil {
			close(ping)
			delete(s.pings, p.Tag())
		}
		if ttt := p.U32(20); ttt != iscsi.NoTag {
			out := iscsi.New(iscsi.NopOut, iscsi.Final).Put(16, iscsi.NoTag).Put(20, ttt).Put(24, s.cmdSN).Put(28, s.expStat)
			out.Head[0] |= 0x40
			copy(out.Head[8:16], p.Lun())
			go func() { _ = s.write(out) }() // a write that fails ends the session
		}
	case iscsi.LogoutTell:
		return ErrClosed
	case iscsi.Async:
		s.asked = true
	case iscsi.Reject:
		return fmt.Errorf("the target rejects a PDU, reason %#x", p.Head[2])
	}
	return nil
}

// over ends a command; the lock is held.
func (s *Session) over(c *call, p *iscsi.PDU, sense *scsi.Sense) {
	r := Reply{Status: scsi.Status(p.Head[3]), Sense: sense, Data: c.in}
	switch n := int(p.U32(44)); {
	case p.Flags()&iscsi.Underflow != 0:
		r.Residual = n
	case p.Flags()&iscsi.Overflow != 0:
		r.Residual = -n
	}
	delete(s.calls, p.Tag())
	if s.opt.Saw != nil {
		s.opt.Saw(Event{Session: s.name, Tag: p.Tag(), Op: c.op, Status: r.Status})
	}
	c.done <- r
	close(c.done)
}

// serveAsked sends what was asked for, in the order in which it was (DataSequenceInOrder).
func (s *Session) serveAsked(c *call) {
	for {
		s.lock.Lock()
		if len(c.asked) == 0 {
			c.sending = false
			s.lock.Unlock()
			return
		}
		send := c.asked[0]
		c.asked = c.asked[1:]
		s.lock.Unlock()
		send()
	}
}

// data sends what was asked for, or the first burst.
func (s *Session) data(tag, transfer uint32, lun []byte, at uint32, data []byte) {
	for sn, from := uint32(0), 0; from < len(data); sn++ {
		n := min(len(data)-from, s.params.TheirSegment)
		p := iscsi.New(iscsi.DataOut, 0).Put(16, tag).Put(20, transfer).Put(28, s.expStat).Put(36, sn).Put(40, at+uint32(from)).With(data[from : from+n])
		copy(p.Head[8:16], lun)
		if from += n; from == len(data) {
			p.Byte(1, iscsi.Final)
		}
		if err := s.write(p); err != nil {
			s.fail(err)
			return
		}
	}
}

// Name is the connection's.
func (s *Session) Name() string { return s.name }

// Asked tells whether the target has asked to log out.
func (s *Session) Asked() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.asked
}

// Lost is why the session is lost; nil: it is not.
func (s *Session) Lost() error {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.lost
}

// Start sends a command when the window has room, and returns its tag and where its answer comes. The channel closes without
// one if the session is lost.
func (s *Session) Start(lun uint16, cdb, out []byte, in int) (uint32, <-chan Reply, error) {
	s.lock.Lock()
	for s.lost == nil && int32(s.cmdSN-s.maxCmd) > 0 {
		s.cond.Wait()
	}
	if s.lost != nil {
		defer s.lock.Unlock()
		return 0, nil, s.lost
	}
	s.tag++
	tag := s.tag
	c := &call{op: cdb[0], out: out, limit: in, done: make(chan Reply, 1)}
	s.calls[tag] = c
	flags, expects := byte(0x01), uint32(in) // a simple task
	if in > 0 {
		flags |= iscsi.Reads
	}
	first := 0 // bytes that go before they are asked for
	if len(out) > 0 {
		flags, expects = flags|iscsi.Writes, uint32(len(out))
		if !s.params.InitialR2T {
			first = min(len(out), s.params.FirstBurst)
		}
	}
	p := iscsi.New(iscsi.Command, 0).Put(16, tag).Put(20, expects).Put(24, s.cmdSN).Put(28, s.expStat)
	copy(p.Head[8:16], scsi.EncodeLun(lun))
	copy(p.Head[32:48], cdb)
	immediate := 0
	if s.params.ImmediateData {
		immediate = min(len(out), s.params.TheirSegment, s.params.FirstBurst)
		p.With(out[:immediate])
	}
	rest := max(first-immediate, 0)
	if rest == 0 {
		flags |= iscsi.Final
	}
	p.Byte(1, flags)
	s.cmdSN++
	if s.opt.Saw != nil {
		s.opt.Saw(Event{Session: s.name, Tag: tag, Op: c.op, Sent: true})
	}
	s.writing.Lock() // in the order of their numbers
	s.lock.Unlock()
	head, tail := p.Seal(s.digests).Bytes()
	_, err := (&net.Buffers{head, tail}).WriteTo(s.conn)
	s.writing.Unlock()
	if err != nil {
		s.fail(err)
		return 0, nil, s.Lost()
	}
	if rest > 0 {
		s.data(tag, iscsi.NoTag, scsi.EncodeLun(lun), uint32(immediate), out[immediate:immediate+rest])
	}
	return tag, c.done, nil
}

// Do sends a command and waits for its answer. If the context ends first the command is aborted.
func (s *Session) Do(ctx context.Context, lun uint16, cdb, out []byte, in int) (Reply, error) {
	tag, done, err := s.Start(lun, cdb, out, in)
	if err != nil {
		return Reply{}, err
	}
	select {
	case r, there := <-done:
		if !there {
			return Reply{}, s.Lost()
		}
		return r, nil
	case <-ctx.Done():
		_, _ = s.Abort(lun, tag) // the caller has given up either way
		return Reply{}, ctx.Err()
	}
}

// manage sends a task management function and waits for its answer.
func (s *Session) manage(function byte, lun uint16, tag uint32) (byte, error) {
	s.lock.Lock()
	if s.lost != nil {
		defer s.lock.Unlock()
		return 0, s.lost
	}
	s.tag++
	mine := s.tag
	m := make(chan byte, 1)
	s.manages[mine] = m
	p := iscsi.New(iscsi.TaskRequest, iscsi.Final|function).Put(16, mine).Put(20, tag).Put(24, s.cmdSN).Put(28, s.expStat)
	p.Head[0] |= 0x40
	copy(p.Head[8:16], scsi.EncodeLun(lun))
	s.lock.Unlock()
	if err := s.write(p); err != nil {
		s.fail(err)
	}
	code, there := <-m
	if !there {
		return 0, s.Lost()
	}
	return code, nil
}

// Abort aborts a command: after this no effect of it comes any more. It returns the target's word (RFC 7143, 11.6.1).
func (s *Session) Abort(lun uint16, tag uint32) (byte, error) {
	code, err := s.manage(1, lun, tag)
	s.lock.Lock()
	delete(s.calls, tag)
	s.lock.Unlock()
	return code, err
}

// Reset resets a unit: all commands at it are aborted, of all sessions.
func (s *Session) Reset(lun uint16) (byte, error) { return s.manage(5, lun, iscsi.NoTag) }

// Ping asks for a sign of life.
func (s *Session) Ping() error {
	s.lock.Lock()
	if s.lost != nil {
		defer s.lock.Unlock()
		return s.lost
	}
	s.tag++
	done := make(chan struct{})
	s.pings[s.tag] = done
	p := iscsi.New(iscsi.NopOut, iscsi.Final).Put(16, s.tag).Put(20, iscsi.NoTag).Put(24, s.cmdSN).Put(28, s.expStat).With([]byte("ping"))
	p.Head[0] |= 0x40
	s.lock.Unlock()
	if err := s.write(p); err != nil {
		s.fail(err)
	}
	<-done
	return s.Lost()
}

// Found is a target that was discovered.
type Found struct{ Name, Address string }

// Discover asks a portal for its targets.
func Discover(ctx context.Context, opt Options) ([]Found, error) {
	opt.Target = ""
	s, err := Dial(ctx, opt)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	s.lock.Lock()
	s.tag++
	t := make(chan []byte, 1)
	s.texts[s.tag] = t
	p := iscsi.New(iscsi.TextAsk, iscsi.Final).Put(16, s.tag).Put(20, iscsi.NoTag).Put(24, s.cmdSN).Put(28, s.expStat).
		With(iscsi.Text([]iscsi.Pair{{Key: "SendTargets", Value: "All"}}))
	p.Head[0] |= 0x40
	s.lock.Unlock()
	if err := s.write(p); err != nil {
		return nil, err
	}
	var data []byte
	select {
	case d, there := <-t:
		if !there {
			return nil, s.Lost()
		}
		data = d
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	list, err := iscsi.ReadText(data)
	var out []Found
	for _, pair := range list {
		switch pair.Key {
		case "TargetName":
			out = append(out, Found{Name: pair.Value})
		case "TargetAddress":
			if len(out) > 0 {
				out[len(out)-1].Address, _, _ = strings.Cut(pair.Value, ",")
			}
		}
	}
	slices.SortFunc(out, func(a, b Found) int { return strings.Compare(a.Name, b.Name) })
	return out, err
}

// Close logs out and closes the connection.
func (s *Session) Close() error {
	s.lock.Lock()
	if s.lost != nil {
		s.lock.Unlock()
		return nil
	}
	s.tag++
	p := iscsi.New(iscsi.LogoutAsk, iscsi.Final).Put(16, s.tag).Put(24, s.cmdSN).Put(28, s.expStat)
	p.Head[0] |= 0x40
	s.lock.Unlock()
	err := s.write(p)
	s.lock.Lock()
	late := time.AfterFunc(time.Second, func() { s.fail(net.ErrClosed) })
	for s.lost == nil {
		s.cond.Wait()
	}
	s.lock.Unlock()
	late.Stop()
	return err
}

// Break breaks the connection off, as a crash does.
func (s *Session) Break() { s.fail(net.ErrClosed) }
