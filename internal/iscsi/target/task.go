package target

import (
	"irispost/internal/front"
	"irispost/internal/iscsi"
	"irispost/internal/iscsi/pace"
	"irispost/internal/scsi"
)

// taskState is where a command stands. Only task.move changes it.
type taskState uint8

const (
	gathering  taskState = iota // its unsolicited data is on its way
	queued                      // it waits for its turn
	collecting                  // it is inside, and its data is asked for
	working                     // its jobs are out
	over                        // it has its answer, or will have none
)

// transfer is a run of data that was asked for with an R2T.
type transfer struct {
	tag  uint32
	at   uint32 // the next byte
	to   uint32
	next uint32 // the next DataSN
}

// task is one SCSI command. It gets exactly one answer, unless it was aborted or its session has gone.
type task struct {
	session *session
	unit    *Unit
	disk    *front.Disk
	tag     uint32
	lun     [8]byte
	command scsi.Command
	expects uint32 // bytes that the initiator expects to pass, either way
	item    *pace.Command
	state   taskState // under the session's lock, as are all that follow
	dead    bool      // aborted: no answer
	told    bool      // aborted by another session: its answer says so
	done    chan struct{}
	data    []byte // that has come, as far as it is wanted
	came    uint32 // bytes that have come unsolicited
	want    uint32 // bytes of data
	burst   uint32 // unsolicited bytes that may come
	nextOut uint32 // DataSN of unsolicited data
	asked   uint32 // bytes that were asked for
	r2t     uint32 // R2Ts sent
	out     []*transfer
}

// move is the one place where a task's state changes; the session's lock is held.
func (t *task) move(to taskState) {
	if t.state = to; to == over {
		delete(t.session.tasks, t.tag)
		close(t.done)
	}
}

// command takes in a SCSI command.
func (x *session) command(p *iscsi.PDU) {
	t := &task{session: x, tag: p.Tag(), expects: p.Uint32(20), done: make(chan struct{})}
	copy(t.lun[:], p.LUN())
	x.server.opt.Front.BeginRequest()
	x.lock.Lock()
	if x.tasks[t.tag] != nil {
		x.lock.Unlock()
		x.server.opt.Front.EndRequest()
		x.reject(p, 0x07) // the tag is in use
		return
	}
	x.tasks[t.tag] = t
	x.lock.Unlock()
	lun, known := scsi.DecodeLUN(t.lun[:])
	if known {
		t.unit = x.target.Units[lun]
	}
	cdb := p.Header[32:48]
	if t.unit == nil {
		t.without(cdb)
		return
	}
	var sense *scsi.Sense
	if t.command, sense = t.unit.Parse(cdb); sense != nil {
		if name := scsi.ReservationName(cdb[0]); name != "" {
			x.server.opt.Log.Info("refused", "command", name, "initiator", x.identity.initiator)
		}
		t.answer(scsi.CheckCondition, sense, nil)
		return
	}
	if x.server.opt.Front.Stopping() {
		t.answer(scsi.Busy, nil, nil)
		return
	}
	in, _ := t.command.DataLengths(&t.unit.Unit)
	t.disk = t.unit.disk.Load()
	switch t.command.Kind {
	case scsi.TestReady:
		if t.disk == nil {
			t.answer(scsi.CheckCondition, scsi.BecomingReady, nil)
			return
		}
		t.answer(scsi.Good, nil, nil)
		return
	case scsi.Inquiry, scsi.ReportLUNs, scsi.ReadCapacity10, scsi.ReadCapacity16, scsi.ModeSense, scsi.RequestSense:
		data, sense := t.unit.Answer(&t.command, x.target.luns())
		if sense != nil {
			t.answer(scsi.CheckCondition, sense, nil)
			return
		}
		t.answer(scsi.Good, nil, data)
		return
	}
	if t.disk == nil { // its file could not be opened yet
		t.answer(scsi.CheckCondition, scsi.BecomingReady, nil)
		return
	}
	if in > 0 {
		if p.Flags()&iscsi.Writes == 0 || uint64(t.expects) < in {
			t.answer(scsi.CheckCondition, scsi.InvalidField, nil) // it says that it brings less than it asks to write
			return
		}
		t.want = uint32(in)
	}
	x.lock.Lock()
	if len(p.Data) > 0 && (!x.params.ImmediateData || len(p.Data) > x.params.FirstBurst || uint32(len(p.Data)) > t.expects) {
		x.lock.Unlock()
		t.answer(scsi.CheckCondition, scsi.NotEnoughUnsolicitedData, nil)
		return
	}
	t.data, t.came = append(t.data, p.Data[:min(len(p.Data), int(t.want))]...), uint32(len(p.Data))
	if t.want > 0 && !p.Final() && !x.params.InitialR2T {
		t.burst = uint32(min(x.params.FirstBurst, int(t.expects)))
		x.lock.Unlock()
		return // the rest of the first burst follows by itself
	}
	x.lock.Unlock()
	t.queue()
}

// without answers a command to a unit that is not there (SPC-4, 6.4.2 and 6.33).
func (t *task) without(cdb []byte) {
	none := &scsi.Unit{BlockSize: 512, Blocks: 1}
	c, sense := none.Parse(cdb)
	switch {
	case sense == nil && c.Kind == scsi.ReportLUNs:
		data, _ := none.Answer(&c, t.session.target.luns())
		t.answer(scsi.Good, nil, data)
	case sense == nil && c.Kind == scsi.Inquiry && !c.VitalProductData:
		data, _ := none.Answer(&c, nil)
		if len(data) > 0 {
			data[0] = 0x7f // there is none, and cannot be
		}
		t.answer(scsi.Good, nil, data)
	default:
		t.answer(scsi.CheckCondition, scsi.LUNNotSupported, nil)
	}
}

// luns are a target's, in order.
func (t *Target) luns() (list []uint16) {
	for l := range 1 << 14 {
		if t.Units[uint16(l)] != nil {
			if list = append(list, uint16(l)); len(list) == len(t.Units) {
				break
			}
		}
	}
	return list
}

// queue has the task wait for its turn.
func (t *task) queue() {
	x := t.session
	x.lock.Lock()
	if t.state == over {
		x.lock.Unlock()
		return
	}
	if x.state == ended {
		t.move(over)
		x.lock.Unlock()
		x.server.opt.Front.EndRequest()
		return
	}
	t.move(queued)
	cost := int(t.want)
	if t.command.Kind == scsi.Read || t.command.Kind == scsi.Verify {
		cost = int(t.command.Blocks * uint64(t.unit.BlockSize))
	}
	t.item = &pace.Command{Cost: cost, Owner: t}
	x.server.pacing.Lock()
	x.pace.Enqueue(t.item)
	x.server.pacing.Unlock()
	x.lock.Unlock()
	x.server.pump()
}

// goIn begins the command: its data is asked for, or its jobs go.
func (t *task) goIn() {
	x := t.session
	x.lock.Lock()
	switch {
	case t.dead || x.state == ended:
		x.lock.Unlock()
		t.letOut(pace.Failed)
		t.answer(scsi.Aborted, nil, nil)
		x.server.pump()
		return
	case x.conn.Unsent() > x.server.opt.Limits.Unread:
		x.lock.Unlock()
		t.letOut(pace.Failed) // it says nothing of the nodes' load
		t.answer(scsi.TaskSetFull, nil, nil)
		x.server.pump()
		return
	case uint32(len(t.data)) < t.want:
		t.move(collecting)
		t.data = append(make([]byte, 0, t.want), t.data...)
		t.asked = uint32(len(t.data))
		t.ask()
		x.lock.Unlock()
		return
	}
	t.move(working)
	x.lock.Unlock()
	go t.work()
}

// ask asks for data, as far as may be out at a time; the session's lock is held.
func (t *task) ask() {
	x := t.session
	for t.asked < t.want && len(t.out) < x.params.MaxOutstandingR2T {
		n := min(t.want-t.asked, uint32(x.params.MaxBurst))
		x.transfer++
		if x.transfer == iscsi.NoTag {
			x.transfer = 1
		}
		tr := &transfer{tag: x.transfer, at: t.asked, to: t.asked + n}
		t.out = append(t.out, tr)
		p := iscsi.New(iscsi.ReadyToTransfer, iscsi.Final).SetUint32(16, t.tag).SetUint32(20, tr.tag).SetUint32(36, t.r2t).SetUint32(40, tr.at).SetUint32(44, n)
		copy(p.Header[8:16], t.lun[:])
		x.send(p, false)
		t.asked += n
		t.r2t++
	}
}

// data takes in a Data-Out. What does not belong anywhere is let be: its command has ended.
func (x *session) data(p *iscsi.PDU) error {
	x.lock.Lock()
	t := x.tasks[p.Tag()]
	if t == nil || t.state != gathering && t.state != collecting {
		x.lock.Unlock()
		return nil
	}
	at, n, sn := p.Uint32(40), uint32(len(p.Data)), p.Uint32(36)
	bad := func(sense *scsi.Sense, reason byte) error {
		state := t.state
		x.lock.Unlock()
		x.reject(p, reason)
		if state == gathering {
			t.answer(scsi.CheckCondition, sense, nil)
		} else {
			t.fail(sense)
		}
		return nil
	}
	if p.BadDataDigest {
		return bad(scsi.CRCError, 0x02)
	}
	if t.state == gathering { // unsolicited
		if p.Uint32(20) != iscsi.NoTag || sn != t.nextOut || at != t.came && n > 0 || at+n > t.burst || at+n < at {
			return bad(scsi.NotEnoughUnsolicitedData, protocolError)
		}
		t.nextOut++
		t.came += n
		t.data = append(t.data, p.Data[:min(n, t.want-min(t.want, at))]...)
		x.lock.Unlock()
		if p.Final() {
			t.queue()
		}
		return nil
	}
	var tr *transfer
	for _, o := range t.out {
		if o.tag == p.Uint32(20) {
			tr = o
		}
	}
	if tr == nil || tr != t.out[0] || at != tr.at || sn != tr.next || at+n < at || at+n > tr.to || p.Final() != (at+n == tr.to) {
		return bad(scsi.NotEnoughUnsolicitedData, protocolError)
	}
	tr.next++
	tr.at += n
	t.data = append(t.data, p.Data...)
	if tr.at < tr.to {
		x.lock.Unlock()
		return nil
	}
	t.out = t.out[1:]
	if uint32(len(t.data)) < t.want {
		t.ask()
		x.lock.Unlock()
		return nil
	}
	t.move(working)
	x.lock.Unlock()
	go t.work()
	return nil
}

// work carries the command out.
func (t *task) work() {
	c, u, client := &t.command, t.unit, t.session.client
	block := uint64(u.BlockSize)
	at, n := c.LBA*block, c.Blocks*block
	var r front.Result
	var data []byte
	switch c.Kind {
	case scsi.Read:
		if n > 0 {
			data, r = client.Read(t.disk, t.tag, at, int(n))
		}
	case scsi.Verify:
		if n > 0 {
			_, r = client.Read(t.disk, t.tag, at, int(n))
		}
	case scsi.Write:
		if n > 0 {
			r = client.Write(t.disk, t.tag, at, t.data, c.ForceUnitAccess)
		}
	case scsi.SynchronizeCache:
		r = client.Sync(t.disk, t.tag)
	case scsi.CompareAndWrite:
		r = client.CompareAndWrite(t.disk, t.tag, at, t.data[:n], t.data[n:], c.ForceUnitAccess)
	case scsi.WriteSame:
		r = t.same(at, n)
	case scsi.Unmap:
		ranges, sense := u.ParseUnmap(t.data)
		if sense != nil {
			t.fail(sense)
			return
		}
		for _, g := range ranges {
			if r = client.Zero(t.disk, t.tag, g.LBA*block, g.Blocks*block); r.Outcome != front.Succeeded {
				break
			}
		}
	}
	t.finish(r, data)
}

// same writes one block over a range.
func (t *task) same(at, n uint64) front.Result {
	u, client := t.unit, t.session.client
	zeros := true
	for _, b := range t.data {
		zeros = zeros && b == 0
	}
	if zeros {
		return client.Zero(t.disk, t.tag, at, n)
	}
	run := uint64(max(u.ExtentSize/u.BlockSize, 1)) * uint64(u.BlockSize)
	for end := at + n; at < end; {
		part := min(run-at%run, end-at)
		data := make([]byte, part)
		for i := uint64(0); i < part; i += uint64(u.BlockSize) {
			copy(data[i:], t.data)
		}
		if r := client.Write(t.disk, t.tag, at, data, false); r.Outcome != front.Succeeded {
			return r
		}
		at += part
	}
	return front.Result{}
}

// finish ends a command that was inside.
func (t *task) finish(r front.Result, data []byte) {
	end := pace.Failed
	switch r.Outcome {
	case front.Succeeded, front.Mismatch:
		end = pace.Served
	case front.Rejected:
		end = pace.Rejected
	}
	t.letOut(end)
	switch r.Outcome {
	case front.Succeeded:
		t.answer(scsi.Good, nil, data)
	case front.ClientGone:
		t.gone()
	case front.Rejected:
		t.answer(scsi.Busy, nil, nil)
	case front.Mismatch:
		t.answer(scsi.CheckCondition, &scsi.Sense{Key: scsi.Miscompare.Key, Code: scsi.Miscompare.Code, Information: uint32(r.MismatchOffset), Valid: true}, nil)
	case front.FileGone:
		t.answer(scsi.CheckCondition, scsi.NotReady, nil)
	default:
		t.answer(scsi.CheckCondition, scsi.CommandTimeout, nil)
	}
	t.session.server.pump()
}

// fail ends a command that was inside with a sense.
func (t *task) fail(sense *scsi.Sense) {
	t.letOut(pace.Failed)
	t.answer(scsi.CheckCondition, sense, nil)
	t.session.server.pump()
}

// letOut tells the pacer that the command is no longer inside.
func (t *task) letOut(e pace.Outcome) {
	s := t.session.server
	s.pacing.Lock()
	s.pacer.Done(t.item, e)
	s.pacing.Unlock()
}

// gone ends a command that nobody is told of.
func (t *task) gone() {
	x := t.session
	x.lock.Lock()
	if t.state == over {
		x.lock.Unlock()
		return
	}
	t.move(over)
	x.lock.Unlock()
	x.server.opt.Front.EndRequest()
}

// abort ends a command: at once while it waits, when its jobs have ended otherwise. By its own session it gets no answer;
// by another, TASK ABORTED.
func (t *task) abort(own bool) <-chan struct{} {
	x := t.session
	x.lock.Lock()
	t.dead, t.told = true, !own
	dropped := false
	switch t.state {
	case gathering:
		dropped = true
	case queued:
		x.server.pacing.Lock()
		dropped = x.pace.Remove(t.item)
		x.server.pacing.Unlock()
	}
	collects := t.state == collecting
	if collects {
		t.move(working) // its data is let be from now on
	}
	x.lock.Unlock()
	switch {
	case dropped:
		t.answer(scsi.Aborted, nil, nil)
	case collects:
		t.letOut(pace.Failed)
		t.answer(scsi.Aborted, nil, nil)
		x.server.pump()
	}
	return t.done
}

// answer gives the command its one answer: data with its status, or the status alone. One that was aborted by its own
// session gets none.
func (t *task) answer(status scsi.Status, sense *scsi.Sense, data []byte) {
	x := t.session
	x.lock.Lock()
	if t.state == over {
		x.lock.Unlock()
		return
	}
	if t.dead {
		status, sense, data = scsi.Aborted, nil, nil
	}
	if !t.dead || t.told {
		t.send(status, sense, data)
	}
	t.move(over)
	x.lock.Unlock()
	x.server.opt.Front.EndRequest()
}

// send sends the answer; the session's lock is held.
func (t *task) send(status scsi.Status, sense *scsi.Sense, data []byte) {
	x := t.session
	passed := uint32(len(data))
	if t.want > 0 && status == scsi.Good {
		passed = t.want
	}
	flags, residual := byte(0), uint32(0)
	switch {
	case uint64(t.expects) < uint64(len(data)):
		data = data[:t.expects]
		flags, residual = iscsi.Overflow, passed-t.expects
	case passed < t.expects:
		flags, residual = iscsi.Underflow, t.expects-passed
	}
	sn := uint32(0)
	if len(data) > 0 && status == scsi.Good {
		for at, burst := 0, 0; at < len(data); {
			n := min(len(data)-at, x.params.PeerMaxSegment, x.params.MaxBurst-burst)
			p := iscsi.New(iscsi.DataIn, 0).SetUint32(16, t.tag).SetUint32(20, iscsi.NoTag).SetUint32(36, sn).SetUint32(40, uint32(at)).SetData(data[at : at+n])
			copy(p.Header[8:16], t.lun[:])
			sn++
			at += n
			last := at == len(data)
			if burst += n; burst == x.params.MaxBurst || last {
				p.SetByte(1, iscsi.Final)
				burst = 0
			}
			if last {
				p.SetByte(1, iscsi.Final|iscsi.HasStatus|flags).SetByte(3, byte(status)).SetUint32(44, residual)
			}
			x.send(p, last)
		}
		return
	}
	p := iscsi.New(iscsi.Response, iscsi.Final|flags).SetByte(3, byte(status)).SetUint32(16, t.tag).SetUint32(36, t.r2t).SetUint32(44, residual)
	if sense != nil {
		b := sense.Bytes()
		p.SetData(append([]byte{0, byte(len(b))}, b...))
	}
	x.send(p, true)
}
