package target

import (
	"irispost/internal/front"
	"irispost/internal/iscsi"
	"irispost/internal/iscsi/pace"
	"irispost/internal/scsi"
)

// taskState is the state of a task. Only task.setState changes it.
type taskState uint8

const (
	taskReceivingUnsolicited taskState = iota // its unsolicited data is being received
	taskQueued                                // it waits in the pacer's queue
	taskReceivingSolicited                    // the pacer has started it, and its remaining data is solicited
	taskRunning                               // its requests to the event loop are in flight
	taskEnded                                 // its response has been sent, or there will be none
)

// task is a SCSI command. It gets exactly one response, unless it was aborted by its own session or its session has
// ended.
type task struct {
	session        *session
	unit           *Unit       // nil: the logical unit does not exist
	disk           *front.Disk // nil until the unit has its disk
	tag            uint32
	lun            [8]byte
	command        scsi.Command
	expectedLength uint32        // Expected Data Transfer Length, in either direction
	dataLength     uint32        // bytes of Data-Out
	paced          *pace.Command // set when the task is queued
	done           chan struct{} // closed when the task has ended

	// The session's lock guards the fields below.
	state            taskState
	aborted          bool
	reportAbort      bool   // aborted by another session: the response is TASK ABORTED
	data             []byte // received Data-Out
	unsolicited      uint32 // unsolicited bytes received
	unsolicitedLimit uint32 // maximum unsolicited bytes
	nextDataSN       uint32 // next DataSN of unsolicited data
	solicited        uint32 // bytes solicited so far, plus those received unsolicited
	r2tCount         uint32 // R2Ts sent
	outstandingR2Ts  []*r2t
}

// setState sets the task's state; nothing else does. The caller holds the session's lock.
func (t *task) setState(state taskState) {
	t.state = state
	if state == taskEnded {
		delete(t.session.tasks, t.tag)
		close(t.done)
	}
}

// handleCommand creates the task of a SCSI command and answers, queues or rejects the command.
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

// addTask adds a task to the session. It returns false if the tag is in use.
func (sess *session) addTask(t *task) bool {
	sess.lock.Lock()
	defer sess.lock.Unlock()
	if sess.tasks[t.tag] != nil {
		return false
	}
	sess.tasks[t.tag] = t
	return true
}

// answerMissingUnit responds to a command for a logical unit that does not exist (SPC-4, 6.4.2 and 6.33).
func (t *task) answerMissingUnit(cdb []byte) {
	const noDevice = 0x7f // peripheral qualifier 3, device type 0x1f: no device is supported at this LUN
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

// answerWithoutData responds to commands that do not access the medium, and to all commands while the disk is not
// ready. It returns false if the command has to access the medium.
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

// receiveCommandData stores the immediate data of a command, and queues the command unless more unsolicited data
// follows.
func (t *task) receiveCommandData(pdu *iscsi.PDU) {
	sess := t.session
	if dataOut, _ := t.command.DataLengths(&t.unit.Unit); dataOut > 0 {
		if pdu.Flags()&iscsi.Writes == 0 || uint64(t.expectedLength) < dataOut {
			t.answerSense(scsi.InvalidField) // the initiator announces less data than the command writes
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

// acceptsImmediateData reports whether the parameters allow this immediate data. The caller holds the session's lock.
func (t *task) acceptsImmediateData(data []byte) bool {
	params := &t.session.params
	if len(data) == 0 {
		return true
	}
	return params.ImmediateData && len(data) <= params.FirstBurst && uint32(len(data)) <= t.expectedLength
}

// enqueue adds the task to the pacer's queue.
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

// cost returns a task's cost to the pacer: the bytes of its Data-Out, or those that it reads.
func (t *task) cost() int {
	if t.command.Kind == scsi.Read || t.command.Kind == scsi.Verify {
		return int(t.command.Blocks * uint64(t.unit.BlockSize))
	}
	return int(t.dataLength)
}

// start starts a command that the pacer has admitted: it solicits the remaining data, or runs the command if there is
// none.
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

// endWithStatus ends a started command that was not executed, so that its status says nothing about the load of the
// nodes.
func (t *task) endWithStatus(status scsi.Status) {
	t.releasePacer(pace.Failed)
	t.answer(status, nil, nil)
	t.session.server.startCommands()
}

// releasePacer reports to the pacer that the command no longer runs.
func (t *task) releasePacer(outcome pace.Outcome) {
	s := t.session.server
	s.pacerLock.Lock()
	defer s.pacerLock.Unlock()
	s.pacer.Done(t.paced, outcome)
}

// discard ends a command without a response, since its session has ended.
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

// abort aborts a command. A waiting command ends at once, a running one when its requests have ended. A command aborted
// by its own session gets no response, one aborted by another session gets TASK ABORTED. The returned channel is closed
// when the command has ended.
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
		t.setState(taskRunning) // further Data-Out is ignored
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
