package initiator

import (
	"context"

	"irispost/internal/iscsi"
	"irispost/internal/scsi"
)

// taskAttributeSimple is the task attribute SIMPLE in the flags of a SCSI command (RFC 7143, 11.3.1).
const taskAttributeSimple = 0x01

// Task management functions (RFC 7143, 11.5.1).
const (
	functionAbortTask = 1
	functionLUNReset  = 5
)

// Start sends a SCSI command as soon as the command window allows. It returns the task tag and a channel that
// delivers the reply; the channel is closed without a reply if the session is lost. out is the data to send, in the
// maximum number of bytes to receive.
func (s *Session) Start(lun uint16, cdb, out []byte, in int) (uint32, <-chan Reply, error) {
	s.lock.Lock()
	for s.err == nil && int32(s.cmdSN-s.maxCmdSN) > 0 {
		s.stateChanged.Wait()
	}
	if s.err != nil {
		defer s.lock.Unlock()
		return 0, nil, s.err
	}
	tag := s.newTag()
	pending := &pendingCommand{opcode: cdb[0], out: out, maxIn: in, done: make(chan Reply, 1)}
	s.pendingCommands[tag] = pending
	immediate, unsolicited := s.splitFirstBurst(len(out))
	pdu := s.newCommand(tag, lun, cdb, len(out), in).SetData(out[:immediate])
	if unsolicited == 0 {
		pdu.SetByte(iscsi.OffsetFlags, pdu.Flags()|iscsi.Final)
	}
	s.cmdSN++
	s.emitEvent(Event{Session: s.name, Tag: tag, Op: pending.opcode, Sent: true})
	s.writeLock.Lock() // taken before lock is released, so that commands are sent in the order of their CmdSN
	s.lock.Unlock()
	err := s.writeLocked(pdu)
	s.writeLock.Unlock()
	if err != nil {
		s.fail(err)
		return 0, nil, s.Err()
	}
	if unsolicited > 0 {
		data := out[immediate : immediate+unsolicited]
		s.sendData(tag, iscsi.NoTag, scsi.EncodeLUN(lun), uint32(immediate), data)
	}
	return tag, pending.done, nil
}

// newCommand returns the PDU of a SCSI command without its data. The caller holds the lock.
func (s *Session) newCommand(tag uint32, lun uint16, cdb []byte, out, in int) *iscsi.PDU {
	flags, expected := byte(taskAttributeSimple), in
	if in > 0 {
		flags |= iscsi.Reads
	}
	if out > 0 {
		flags |= iscsi.Writes
		expected = out
	}
	pdu := s.newRequest(iscsi.Command, flags, tag).
		SetLUN(scsi.EncodeLUN(lun)).
		SetUint32(iscsi.OffsetExpectedLength, uint32(expected))
	copy(pdu.CDB(), cdb)
	return pdu
}

// splitFirstBurst returns how many bytes of a command's data are sent as immediate data in the command PDU, and how
// many as unsolicited Data-Out PDUs after it.
func (s *Session) splitFirstBurst(out int) (immediate, unsolicited int) {
	burst := min(out, s.params.FirstBurst)
	if s.params.ImmediateData {
		immediate = min(burst, s.params.PeerMaxSegment)
	}
	if !s.params.InitialR2T {
		unsolicited = burst - immediate
	}
	return immediate, unsolicited
}

// Do sends a SCSI command and waits for its reply. If the context ends first, it aborts the command.
func (s *Session) Do(ctx context.Context, lun uint16, cdb, out []byte, in int) (Reply, error) {
	tag, done, err := s.Start(lun, cdb, out, in)
	if err != nil {
		return Reply{}, err
	}
	select {
	case reply, answered := <-done:
		if !answered {
			return Reply{}, s.Err()
		}
		return reply, nil
	case <-ctx.Done():
		_, _ = s.AbortTask(lun, tag) // Do returns the context's error in any case
		return Reply{}, ctx.Err()
	}
}

// requestTaskManagement sends a task management function and returns the response code.
func (s *Session) requestTaskManagement(function byte, lun uint16, referenced uint32) (byte, error) {
	s.lock.Lock()
	if s.err != nil {
		defer s.lock.Unlock()
		return 0, s.err
	}
	tag := s.newTag()
	answer := make(chan byte, 1)
	s.pendingTaskManagement[tag] = answer
	pdu := s.newRequest(iscsi.TaskManagementRequest, iscsi.Final|function, tag).
		SetImmediate().
		SetLUN(scsi.EncodeLUN(lun)).
		SetUint32(iscsi.OffsetReferencedTag, referenced)
	s.lock.Unlock()
	s.writeOrFail(pdu)
	response, answered := <-answer
	if !answered {
		return 0, s.Err()
	}
	return response, nil
}

// AbortTask aborts a command. Once it returns, the command has no further effect. It returns the target's response
// (RFC 7143, 11.6.1).
func (s *Session) AbortTask(lun uint16, tag uint32) (byte, error) {
	response, err := s.requestTaskManagement(functionAbortTask, lun, tag)
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.pendingCommands, tag)
	return response, err
}

// ResetLUN resets a logical unit: all its commands are aborted, those of other sessions too. It returns the target's
// response (RFC 7143, 11.6.1).
func (s *Session) ResetLUN(lun uint16) (byte, error) {
	return s.requestTaskManagement(functionLUNReset, lun, iscsi.NoTag)
}

// Ping sends a NOP-Out and waits for the NOP-In that answers it.
func (s *Session) Ping() error {
	s.lock.Lock()
	if s.err != nil {
		defer s.lock.Unlock()
		return s.err
	}
	tag := s.newTag()
	answer := make(chan struct{})
	s.pendingPings[tag] = answer
	pdu := s.newRequest(iscsi.NopOut, iscsi.Final, tag).
		SetImmediate().
		SetUint32(iscsi.OffsetTransferTag, iscsi.NoTag).
		SetData([]byte("ping"))
	s.lock.Unlock()
	s.writeOrFail(pdu)
	<-answer
	return s.Err()
}
