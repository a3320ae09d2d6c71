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
	taskReceivingUnsolicited taskState = iota // its unsolicited data is on its way
	taskQueued                                // it waits for its turn
	taskReceivingSolicited                    // its turn has come, and its data is solicited
	taskRunning                               // its requests are in flight
	taskEnded                                 // it has its answer, or will have none
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
	outstandingR2Ts  []*r2t
}

// setState is the one place where a task's state changes. The caller holds the session's lock.
func (t *task) setState(state taskState) {
	t.state = state
	if state == taskEnded {
		delete(t.session.tasks, t.tag)
		close(t.done)
	}
}

// handleCommand handles a SCSI command.
func (sess *session) handleCommand(pdu *iscsi.PDU) {
	t := &task{
		session:        sess,
		tag:            pdu.Tag(),
		expectedLength: pdu.Uint32(iscsi.OffsetExpectedLength),
		done:           make(chan struct{}),
	}
	copy(t.lun[:], pdu.LUN())
	sess.server.options.Front.BeginRequest()
	if !sess.addTask(t) {
		sess.server.options.Front.EndRequest()
		sess.reject(pdu, rejectTaskInProgress)
		return
	}
	if lun, known := scsi.DecodeLUN(t.lun[:]); known {
		t.unit = sess.target.Units[lun]
	}
	if t.unit == nil {
		t.answerMissingUnit(pdu.CDB())
		return
	}
	command, sense := t.unit.Parse(pdu.CDB())
	t.command = command
	if sense != nil {
		if name := scsi.ReservationName(pdu.CDB()[0]); name != "" {
			sess.server.options.Log.Info("reservation rejected", "command", name, "initiator", sess.identity.initiator)
		}
		t.answerSense(sense)
		return
	}
	if sess.server.options.Front.Draining() {
		t.answer(scsi.Busy, nil, nil)
		return
	}
	t.disk = t.unit.disk.Load()
	if !t.answerWithoutData() {
		t.receiveCommandData(pdu)
	}
}

// addTask adds a task; false: its tag is in use.
func (sess *session) addTask(t *task) bool {
	sess.lock.Lock()
	defer sess.lock.Unlock()
	if sess.tasks[t.tag] != nil {
		return false
	}
	sess.tasks[t.tag] = t
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
func (t *task) receiveCommandData(pdu *iscsi.PDU) {
	sess := t.session
	if dataOut, _ := t.command.DataLengths(&t.unit.Unit); dataOut > 0 {
		if pdu.Flags()&iscsi.Writes == 0 || uint64(t.expectedLength) < dataOut {
			t.answerSense(scsi.InvalidField) // it says that it brings less than it asks to write
			return
		}
		t.dataLength = uint32(dataOut)
	}
	sess.lock.Lock()
	if !t.acceptsImmediateData(pdu.Data) {
		sess.lock.Unlock()
		t.answerSense(scsi.NotEnoughUnsolicitedData)
		return
	}
	t.data = append(t.data, pdu.Data[:min(len(pdu.Data), int(t.dataLength))]...)
	t.unsolicited = uint32(len(pdu.Data))
	moreFollows := t.dataLength > 0 && !pdu.Final() && !sess.params.InitialR2T
	if moreFollows {
		t.unsolicitedLimit = uint32(min(sess.params.FirstBurst, int(t.expectedLength)))
	}
	sess.lock.Unlock()
	if !moreFollows {
		t.enqueue()
	}
}

// mayBeImmediate tells whether data may come with its command. The caller holds the session's lock.
func (t *task) acceptsImmediateData(data []byte) bool {
	params := &t.session.params
	if len(data) == 0 {
		return true
	}
	return params.ImmediateData && len(data) <= params.FirstBurst && uint32(len(data)) <= t.expectedLength
}

// enqueue has the task wait for its turn.
func (t *task) enqueue() {
	sess := t.session
	sess.lock.Lock()
	switch {
	case t.state == taskEnded:
		sess.lock.Unlock()
		return
	case sess.state == stateEnded:
		t.setState(taskEnded)
		sess.lock.Unlock()
		sess.server.options.Front.EndRequest()
		return
	}
	t.setState(taskQueued)
	t.paced = &pace.Command{Cost: t.cost(), Owner: t}
	sess.server.pacerLock.Lock()
	sess.pacing.Enqueue(t.paced)
	sess.server.pacerLock.Unlock()
	sess.lock.Unlock()
	sess.server.startCommands()
}

// cost is the bytes that a task counts for: those that it brings, or reads.
func (t *task) cost() int {
	if t.command.Kind == scsi.Read || t.command.Kind == scsi.Verify {
		return int(t.command.Blocks * uint64(t.unit.BlockSize))
	}
	return int(t.dataLength)
}

// begin begins a command whose turn has come: its data is solicited, or it runs.
func (t *task) start() {
	sess := t.session
	sess.lock.Lock()
	switch {
	case t.aborted || sess.state == stateEnded:
		sess.lock.Unlock()
		t.endWithStatus(scsi.TaskAborted)
	case sess.conn.Unsent() > sess.server.options.Limits.Unread:
		sess.lock.Unlock()
		t.endWithStatus(scsi.TaskSetFull)
	case uint32(len(t.data)) < t.dataLength:
		t.setState(taskReceivingSolicited)
		t.data = append(make([]byte, 0, t.dataLength), t.data...)
		t.solicited = uint32(len(t.data))
		t.solicitData()
		sess.lock.Unlock()
	default:
		t.setState(taskRunning)
		sess.lock.Unlock()
		go t.run()
	}
}

// endWith ends a command that has begun with a status that tells nothing of the nodes' load.
func (t *task) endWithStatus(status scsi.Status) {
	t.releasePacer(pace.Failed)
	t.answer(status, nil, nil)
	t.session.server.startCommands()
}

// leavePacer tells the pacer that the command no longer runs.
func (t *task) releasePacer(outcome pace.Outcome) {
	s := t.session.server
	s.pacerLock.Lock()
	defer s.pacerLock.Unlock()
	s.pacer.Done(t.paced, outcome)
}

// discard ends a command without an answer, as its session has ended.
func (t *task) discard() {
	sess := t.session
	sess.lock.Lock()
	if t.state == taskEnded {
		sess.lock.Unlock()
		return
	}
	t.setState(taskEnded)
	sess.lock.Unlock()
	sess.server.options.Front.EndRequest()
}

// abort aborts a command: at once while it waits, else when its requests have ended. Aborted by its own session it gets
// no answer; by another, TASK ABORTED. The channel is closed when it is over.
func (t *task) abort(own bool) <-chan struct{} {
	sess := t.session
	sess.lock.Lock()
	t.aborted = true
	t.reportAbort = !own
	state := t.state
	removed := state == taskReceivingUnsolicited
	switch state {
	case taskQueued:
		sess.server.pacerLock.Lock()
		removed = sess.pacing.Remove(t.paced)
		sess.server.pacerLock.Unlock()
	case taskReceivingSolicited:
		t.setState(taskRunning) // its data is ignored from now on
	}
	sess.lock.Unlock()
	switch {
	case removed:
		t.answer(scsi.TaskAborted, nil, nil)
	case state == taskReceivingSolicited:
		t.endWithStatus(scsi.TaskAborted)
	}
	return t.done
}
