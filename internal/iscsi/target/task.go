package target

import (
	"irispost/internal/front"
	"irispost/internal/iscsi"
	"irispost/internal/iscsi/pace"
	"irispost/internal/scsi"
)

// taskState is the state of a command. Only task.setState changes it.
type taskState uint8

const (
	taskGathering  taskState = iota // its unsolicited data is on its way
	taskQueued                      // it waits for its turn
	taskCollecting                  // its turn has come, and its data is solicited
	taskRunning                     // its requests are in flight
	taskOver                        // it has its answer, or will have none
)

// task is a SCSI command. It gets exactly one answer, unless it was aborted or its session has ended.
type task struct {
	session        *session
	unit           *Unit       // nil: there is none of the number
	disk           *front.Disk // nil before its file is open
	tag            uint32
	lun            [8]byte
	command        scsi.Command
	expectedLength uint32        // bytes that the initiator expects to transfer, either way
	dataLength     uint32        // bytes that the command brings
	paced          *pace.Command // set when the task is queued
	done           chan struct{} // closed when it is over

	// The session's lock guards what follows.
	state            taskState
	aborted          bool
	reportAbort      bool   // aborted by another session: its answer says so
	data             []byte // that has come
	unsolicited      uint32 // bytes that have come unsolicited
	unsolicitedLimit uint32 // bytes that may come unsolicited
	nextDataSN       uint32 // of unsolicited data
	solicited        uint32 // bytes that were asked for, or have come unsolicited
	r2tCount         uint32 // R2Ts sent
	transfers        []*transfer
}

// setState is the one place where a task's state changes. The caller holds the session's lock.
func (t *task) setState(state taskState) {
	t.state = state
	if state == taskOver {
		delete(t.session.tasks, t.tag)
		close(t.done)
	}
}

// handleCommand handles a SCSI command.
func (x *session) handleCommand(pdu *iscsi.PDU) {
	t := &task{
		session:        x,
		tag:            pdu.Tag(),
		expectedLength: pdu.Uint32(iscsi.OffsetExpectedLength),
		done:           make(chan struct{}),
	}
	copy(t.lun[:], pdu.LUN())
	x.server.options.Front.BeginRequest()
	if !x.addTask(t) {
		x.server.options.Front.EndRequest()
		x.reject(pdu, rejectTaskInProgress)
		return
	}
	if lun, known := scsi.DecodeLUN(t.lun[:]); known {
		t.unit = x.target.Units[lun]
	}
	if t.unit == nil {
		t.answerMissingUnit(pdu.CDB())
		return
	}
	command, sense := t.unit.Parse(pdu.CDB())
	t.command = command
	if sense != nil {
		if name := scsi.ReservationName(pdu.CDB()[0]); name != "" {
			x.server.options.Log.Info("reservation rejected", "command", name, "initiator", x.identity.initiator)
		}
		t.answerSense(sense)
		return
	}
	if x.server.options.Front.Draining() {
		t.answer(scsi.Busy, nil, nil)
		return
	}
	t.disk = t.unit.disk.Load()
	if !t.answerWithoutData() {
		t.receive(pdu)
	}
}

// addTask adds a task; false: its tag is in use.
func (x *session) addTask(t *task) bool {
	x.lock.Lock()
	defer x.lock.Unlock()
	if x.tasks[t.tag] != nil {
		return false
	}
	x.tasks[t.tag] = t
	return true
}

// answerMissingUnit answers a command to a unit that is not there (SPC-4, 6.4.2 and 6.33).
func (t *task) answerMissingUnit(cdb []byte) {
	const noDevice = 0x7f // there is none, and cannot be
	missing := &scsi.Unit{BlockSize: 512, Blocks: 1}
	command, sense := missing.Parse(cdb)
	switch {
	case sense == nil && command.Kind == scsi.ReportLUNs:
		data, _ := missing.ResponseData(&command, t.session.target.luns())
		t.answer(scsi.Good, nil, data)
	case sense == nil && command.Kind == scsi.Inquiry && !command.VitalProductData:
		data, _ := missing.ResponseData(&command, nil)
		if len(data) > 0 {
			data[0] = noDevice
		}
		t.answer(scsi.Good, nil, data)
	default:
		t.answerSense(scsi.LUNNotSupported)
	}
}

// answerWithoutData answers a command that needs no data of the disk, and any while the disk is not ready; false: the
// command needs data.
func (t *task) answerWithoutData() bool {
	switch t.command.Kind {
	case scsi.Inquiry, scsi.ReportLUNs, scsi.ReadCapacity10, scsi.ReadCapacity16, scsi.ModeSense, scsi.RequestSense:
		data, sense := t.unit.ResponseData(&t.command, t.session.target.luns())
		if sense != nil {
			t.answerSense(sense)
			return true
		}
		t.answer(scsi.Good, nil, data)
		return true
	}
	switch {
	case t.disk == nil:
		t.answerSense(scsi.BecomingReady)
		return true
	case t.command.Kind == scsi.TestUnitReady:
		t.answer(scsi.Good, nil, nil)
		return true
	}
	return false
}

// receive takes the immediate data of a command, and queues the command unless more unsolicited data follows.
func (t *task) receive(pdu *iscsi.PDU) {
	x := t.session
	if brings, _ := t.command.DataLengths(&t.unit.Unit); brings > 0 {
		if pdu.Flags()&iscsi.Writes == 0 || uint64(t.expectedLength) < brings {
			t.answerSense(scsi.InvalidField) // it says that it brings less than it asks to write
			return
		}
		t.dataLength = uint32(brings)
	}
	x.lock.Lock()
	if !t.mayBeImmediate(pdu.Data) {
		x.lock.Unlock()
		t.answerSense(scsi.NotEnoughUnsolicitedData)
		return
	}
	t.data = append(t.data, pdu.Data[:min(len(pdu.Data), int(t.dataLength))]...)
	t.unsolicited = uint32(len(pdu.Data))
	moreFollows := t.dataLength > 0 && !pdu.Final() && !x.params.InitialR2T
	if moreFollows {
		t.unsolicitedLimit = uint32(min(x.params.FirstBurst, int(t.expectedLength)))
	}
	x.lock.Unlock()
	if !moreFollows {
		t.enqueue()
	}
}

// mayBeImmediate tells whether data may come with its command. The caller holds the session's lock.
func (t *task) mayBeImmediate(data []byte) bool {
	params := &t.session.params
	if len(data) == 0 {
		return true
	}
	return params.ImmediateData && len(data) <= params.FirstBurst && uint32(len(data)) <= t.expectedLength
}

// enqueue has the task wait for its turn.
func (t *task) enqueue() {
	x := t.session
	x.lock.Lock()
	switch {
	case t.state == taskOver:
		x.lock.Unlock()
		return
	case x.state == stateEnded:
		t.setState(taskOver)
		x.lock.Unlock()
		x.server.options.Front.EndRequest()
		return
	}
	t.setState(taskQueued)
	t.paced = &pace.Command{Cost: t.cost(), Owner: t}
	x.server.pacerLock.Lock()
	x.pacing.Enqueue(t.paced)
	x.server.pacerLock.Unlock()
	x.lock.Unlock()
	x.server.startCommands()
}

// cost is the bytes that a task counts for: those that it brings, or reads.
func (t *task) cost() int {
	if t.command.Kind == scsi.Read || t.command.Kind == scsi.Verify {
		return int(t.command.Blocks * uint64(t.unit.BlockSize))
	}
	return int(t.dataLength)
}

// begin begins a command whose turn has come: its data is solicited, or it runs.
func (t *task) begin() {
	x := t.session
	x.lock.Lock()
	switch {
	case t.aborted || x.state == stateEnded:
		x.lock.Unlock()
		t.endWith(scsi.TaskAborted)
	case x.conn.Unsent() > x.server.options.Limits.Unread:
		x.lock.Unlock()
		t.endWith(scsi.TaskSetFull)
	case uint32(len(t.data)) < t.dataLength:
		t.setState(taskCollecting)
		t.data = append(make([]byte, 0, t.dataLength), t.data...)
		t.solicited = uint32(len(t.data))
		t.solicitData()
		x.lock.Unlock()
	default:
		t.setState(taskRunning)
		x.lock.Unlock()
		go t.run()
	}
}

// endWith ends a command that has begun with a status that tells nothing of the nodes' load.
func (t *task) endWith(status scsi.Status) {
	t.leavePacer(pace.Failed)
	t.answer(status, nil, nil)
	t.session.server.startCommands()
}

// leavePacer tells the pacer that the command no longer runs.
func (t *task) leavePacer(outcome pace.Outcome) {
	s := t.session.server
	s.pacerLock.Lock()
	defer s.pacerLock.Unlock()
	s.pacer.Done(t.paced, outcome)
}

// discard ends a command without an answer, as its session has ended.
func (t *task) discard() {
	x := t.session
	x.lock.Lock()
	if t.state == taskOver {
		x.lock.Unlock()
		return
	}
	t.setState(taskOver)
	x.lock.Unlock()
	x.server.options.Front.EndRequest()
}

// abort aborts a command: at once while it waits, else when its requests have ended. Aborted by its own session it gets
// no answer; by another, TASK ABORTED. The channel is closed when it is over.
func (t *task) abort(own bool) <-chan struct{} {
	x := t.session
	x.lock.Lock()
	t.aborted = true
	t.reportAbort = !own
	state := t.state
	removed := state == taskGathering
	switch state {
	case taskQueued:
		x.server.pacerLock.Lock()
		removed = x.pacing.Remove(t.paced)
		x.server.pacerLock.Unlock()
	case taskCollecting:
		t.setState(taskRunning) // its data is ignored from now on
	}
	x.lock.Unlock()
	switch {
	case removed:
		t.answer(scsi.TaskAborted, nil, nil)
	case state == taskCollecting:
		t.endWith(scsi.TaskAborted)
	}
	return t.done
}
