package target

import (
	"maps"
	"slices"

	"irispost/internal/iscsi"
	"irispost/internal/scsi"
)

// Task management functions (RFC 7143, 11.5.1).
const (
	functionMask         = 0x7f
	functionAbortTask    = 1
	functionAbortTaskSet = 2
	functionClearTaskSet = 4
	functionLUNReset     = 5
	functionTaskReassign = 8
)

// Responses to task management functions (RFC 7143, 11.6.1).
const (
	responseComplete       = 0
	responseNoTask         = 1
	responseNoLUN          = 2
	responseNoReassignment = 4
	responseNotSupported   = 5
)

// handleTaskManagement executes a task management function. The response is sent once all aborted tasks have ended, so
// that none of them has any effect after it.
func (sess *session) handleTaskManagement(pdu *iscsi.PDU) {
	if sess.target == nil {
		sess.reject(pdu, rejectProtocolError)
		return
	}
	tasks, response := sess.selectTasks(pdu)
	if response != responseComplete {
		sess.answerManagement(pdu, response)
		return
	}
	var ends []<-chan struct{}
	for _, t := range tasks {
		ends = append(ends, t.abort(t.session == sess))
	}
	go func() {
		for _, end := range ends {
			<-end
		}
		sess.answerManagement(pdu, responseComplete)
	}()
}

func (sess *session) answerManagement(pdu *iscsi.PDU, response byte) {
	sess.lockAndSend(iscsi.New(iscsi.TaskManagementResponse, iscsi.Final).
		SetByte(iscsi.OffsetResponse, response).
		SetUint32(iscsi.OffsetTag, pdu.Tag()), true)
}

// selectTasks returns the tasks that a function aborts. A response other than responseComplete says why it aborts none.
func (sess *session) selectTasks(pdu *iscsi.PDU) (tasks []*task, response byte) {
	switch function := pdu.Flags() & functionMask; function {
	case functionAbortTask:
		sess.lock.Lock()
		defer sess.lock.Unlock()
		t := sess.tasks[pdu.Uint32(iscsi.OffsetReferencedTag)]
		if t == nil {
			return nil, responseNoTask
		}
		return []*task{t}, responseComplete
	case functionAbortTaskSet, functionClearTaskSet, functionLUNReset:
		lun, known := scsi.DecodeLUN(pdu.LUN())
		unit := sess.target.Units[lun]
		if !known || unit == nil {
			return nil, responseNoLUN
		}
		tasks = sess.tasksOf(unit)
		if function == functionAbortTaskSet {
			return tasks, responseComplete
		}
		for _, other := range sess.server.otherSessions(sess) {
			tasks = append(tasks, other.tasksOf(unit)...)
		}
		return tasks, responseComplete
	case functionTaskReassign:
		return nil, responseNoReassignment
	}
	return nil, responseNotSupported
}

// tasksOf returns the session's tasks on a unit, in order of their tags.
func (sess *session) tasksOf(unit *Unit) (tasks []*task) {
	sess.lock.Lock()
	defer sess.lock.Unlock()
	for _, tag := range slices.Sorted(maps.Keys(sess.tasks)) {
		if t := sess.tasks[tag]; t.unit == unit {
			tasks = append(tasks, t)
		}
	}
	return tasks
}
