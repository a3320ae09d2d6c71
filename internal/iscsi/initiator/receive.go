package initiator

import (
	"fmt"

	"irispost/internal/iscsi"
	"irispost/internal/scsi"
)

// senseLengthSize is the size in bytes of the length field before sense data.
const senseLengthSize = 2

// receive reads and handles PDUs from the target until the session is lost.
func (s *Session) receive(reader connReader) {
	for {
		pdu, err := iscsi.Read(reader, s.digests, s.options.MaxRecvSegment)
		if err == nil && pdu.BadDataDigest {
			err = errDataDigest
		}
		if err == nil {
			err = s.handle(pdu)
		}
		if err != nil {
			s.fail(err)
			return
		}
	}
}

// handle handles a PDU. An error ends the session.
func (s *Session) handle(pdu *iscsi.PDU) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.err != nil {
		return s.err
	}
	if maxCmdSN := pdu.Uint32(iscsi.OffsetMaxCmdSN); int32(maxCmdSN-s.maxCmdSN) > 0 {
		s.maxCmdSN = maxCmdSN
		s.stateChanged.Broadcast()
	}
	if hasStatus(pdu) {
		s.expStatSN = pdu.Uint32(iscsi.OffsetStatSN) + 1
	}
	switch pdu.Opcode() {
	case iscsi.DataIn:
		return s.handleData(pdu)
	case iscsi.Response:
		s.handleResponse(pdu)
	case iscsi.ReadyToTransfer:
		return s.handleR2T(pdu)
	case iscsi.TaskManagementResponse:
		if answer := s.pendingTaskManagement[pdu.Tag()]; answer != nil {
			answer <- pdu.Header[iscsi.OffsetResponse]
			delete(s.pendingTaskManagement, pdu.Tag())
		}
	case iscsi.TextResponse:
		if answer := s.pendingTexts[pdu.Tag()]; answer != nil {
			answer <- pdu.Data
			delete(s.pendingTexts, pdu.Tag())
		}
	case iscsi.NopIn:
		s.handleNop(pdu)
	case iscsi.LogoutResponse:
		return ErrLoggedOut
	case iscsi.AsyncMessage:
		s.logoutRequested = true
	case iscsi.Reject:
		return fmt.Errorf("target rejected a PDU, reason %#x", pdu.Header[iscsi.OffsetResponse])
	}
	return nil
}

// hasStatus reports whether a PDU has a StatSN of its own.
func hasStatus(pdu *iscsi.PDU) bool {
	switch pdu.Opcode() {
	case iscsi.NopIn:
		return pdu.Tag() != iscsi.NoTag // a NOP-In without a tag is a ping by the target
	case iscsi.DataIn:
		return pdu.Flags()&iscsi.HasStatus != 0
	}
	return pdu.Opcode() != iscsi.ReadyToTransfer
}

// handleData handles a Data-In PDU. It ignores data of aborted commands. The caller holds the lock.
func (s *Session) handleData(pdu *iscsi.PDU) error {
	command := s.pendingCommands[pdu.Tag()]
	if command == nil {
		return nil
	}
	offset := pdu.Uint32(iscsi.OffsetBufferOffset)
	if int(offset) != len(command.in) || len(command.in)+len(pdu.Data) > command.maxIn {
		return fmt.Errorf("unexpected Data-In at offset %d of %d bytes, want offset %d", offset, command.maxIn, len(command.in))
	}
	command.in = append(command.in, pdu.Data...)
	if hasStatus(pdu) {
		s.finish(command, pdu, nil)
	}
	return nil
}

// handleResponse handles a SCSI Response PDU. The caller holds the lock.
func (s *Session) handleResponse(pdu *iscsi.PDU) {
	command := s.pendingCommands[pdu.Tag()]
	if command == nil {
		return
	}
	var sense *scsi.Sense
	if len(pdu.Data) > senseLengthSize {
		sense, _ = scsi.DecodeSense(pdu.Data[senseLengthSize:])
	}
	s.finish(command, pdu, sense)
}

// finish delivers the reply to a command and forgets the command. The caller holds the lock.
func (s *Session) finish(command *pendingCommand, pdu *iscsi.PDU, sense *scsi.Sense) {
	reply := Reply{Status: scsi.Status(pdu.Header[iscsi.OffsetStatus]), Sense: sense, Data: command.in}
	residual := int(pdu.Uint32(iscsi.OffsetResidual))
	switch {
	case pdu.Flags()&iscsi.Underflow != 0:
		reply.Residual = residual
	case pdu.Flags()&iscsi.Overflow != 0:
		reply.Residual = -residual
	}
	delete(s.pendingCommands, pdu.Tag())
	s.emitEvent(Event{Session: s.name, Tag: pdu.Tag(), Op: command.opcode, Status: reply.Status})
	command.done <- reply
	close(command.done)
}

// handleR2T queues the data that an R2T requests. It is sent after that of the command's earlier R2Ts, as
// DataSequenceInOrder requires. The caller holds the lock.
func (s *Session) handleR2T(pdu *iscsi.PDU) error {
	command := s.pendingCommands[pdu.Tag()]
	if command == nil {
		return nil
	}
	offset, length := pdu.Uint32(iscsi.OffsetBufferOffset), pdu.Uint32(iscsi.OffsetDesiredLength)
	if uint64(offset)+uint64(length) > uint64(len(command.out)) || length == 0 {
		return fmt.Errorf("invalid R2T for %d bytes at offset %d of %d", length, offset, len(command.out))
	}
	data := command.out[offset : offset+length]
	command.queuedR2Ts = append(command.queuedR2Ts, func() {
		s.sendData(pdu.Tag(), pdu.Uint32(iscsi.OffsetTransferTag), pdu.LUN(), offset, data)
	})
	if !command.answeringR2Ts {
		command.answeringR2Ts = true
		go s.answerR2Ts(command)
	}
	return nil
}

// answerR2Ts sends the data of a command's queued R2Ts, one after the other.
func (s *Session) answerR2Ts(command *pendingCommand) {
	for {
		s.lock.Lock()
		if len(command.queuedR2Ts) == 0 {
			command.answeringR2Ts = false
			s.lock.Unlock()
			return
		}
		send := command.queuedR2Ts[0]
		command.queuedR2Ts = command.queuedR2Ts[1:]
		s.lock.Unlock()
		send()
	}
}

// sendData sends data of a command as Data-Out PDUs, solicited or unsolicited. offset is that of data within the
// command's data.
func (s *Session) sendData(tag, transferTag uint32, lun []byte, offset uint32, data []byte) {
	dataSN := uint32(0)
	for sent := 0; sent < len(data); dataSN++ {
		length := min(len(data)-sent, s.params.PeerMaxSegment)
		pdu := iscsi.New(iscsi.DataOut, 0).
			SetLUN(lun).
			SetUint32(iscsi.OffsetTag, tag).
			SetUint32(iscsi.OffsetTransferTag, transferTag).
			SetUint32(iscsi.OffsetExpStatSN, s.expStatSN).
			SetUint32(iscsi.OffsetDataSN, dataSN).
			SetUint32(iscsi.OffsetBufferOffset, offset+uint32(sent)).
			SetData(data[sent : sent+length])
		sent += length
		if sent == len(data) {
			pdu.SetByte(iscsi.OffsetFlags, iscsi.Final)
		}
		if err := s.write(pdu); err != nil {
			s.fail(err)
			return
		}
	}
}

// handleNop handles a NOP-In: the answer to a ping, or a ping by the target, which it answers. The caller holds the
// lock.
func (s *Session) handleNop(pdu *iscsi.PDU) {
	if answer := s.pendingPings[pdu.Tag()]; answer != nil {
		close(answer)
		delete(s.pendingPings, pdu.Tag())
	}
	transferTag := pdu.Uint32(iscsi.OffsetTransferTag)
	if transferTag == iscsi.NoTag {
		return
	}
	answer := s.newRequest(iscsi.NopOut, iscsi.Final, iscsi.NoTag).
		SetImmediate().
		SetLUN(pdu.LUN()).
		SetUint32(iscsi.OffsetTransferTag, transferTag)
	go func() { _ = s.write(answer) }() // a broken connection is detected by receive
}
