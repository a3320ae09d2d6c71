package target

import (
	"irispost/internal/iscsi"
	"irispost/internal/scsi"
)

// r2t is an outstanding R2T: a range of a command's data that has been solicited.
type r2t struct {
	tag        uint32
	nextOffset uint32 // offset of the next byte to be received
	end        uint32 // offset after the last byte
	nextDataSN uint32
}

// solicitData sends R2Ts for a command's remaining data, up to MaxOutstandingR2T at a time. The caller holds the
// session's lock.
func (t *task) solicitData() {
	sess := t.session
	for t.solicited < t.dataLength && len(t.outstandingR2Ts) < sess.params.MaxOutstandingR2T {
		length := min(t.dataLength-t.solicited, uint32(sess.params.MaxBurst))
		transfer := &r2t{tag: sess.newTransferTag(), nextOffset: t.solicited, end: t.solicited + length}
		t.outstandingR2Ts = append(t.outstandingR2Ts, transfer)
		sess.send(iscsi.New(iscsi.ReadyToTransfer, iscsi.Final).
			SetLUN(t.lun[:]).
			SetUint32(iscsi.OffsetTag, t.tag).
			SetUint32(iscsi.OffsetTransferTag, transfer.tag).
			SetUint32(iscsi.OffsetR2TSN, t.r2tCount).
			SetUint32(iscsi.OffsetBufferOffset, transfer.nextOffset).
			SetUint32(iscsi.OffsetDesiredLength, length), false)
		t.solicited += length
		t.r2tCount++
	}
}

// newTransferTag returns the next target transfer tag, never iscsi.NoTag. The caller holds the lock.
func (sess *session) newTransferTag() uint32 {
	sess.lastTransferTag++
	if sess.lastTransferTag == iscsi.NoTag {
		sess.lastTransferTag = 1
	}
	return sess.lastTransferTag
}

// dataOutcome is the effect of a Data-Out PDU on its command.
type dataOutcome uint8

const (
	dataIncomplete dataOutcome = iota
	dataComplete               // all unsolicited data has arrived, or, while receiving solicited data, all data
	dataInvalid                // out of sequence, or outside the range that was solicited or may be sent unsolicited
	dataBadDigest
)

// handleDataOut handles a Data-Out PDU. It ignores PDUs whose command has ended.
func (sess *session) handleDataOut(pdu *iscsi.PDU) error {
	sess.lock.Lock()
	t := sess.tasks[pdu.Tag()]
	if t == nil || t.state != taskReceivingUnsolicited && t.state != taskReceivingSolicited {
		sess.lock.Unlock()
		return nil
	}
	before := t.state
	outcome := t.receiveData(pdu)
	if before == taskReceivingSolicited && outcome == dataComplete {
		t.setState(taskRunning)
	}
	sess.lock.Unlock()
	switch outcome {
	case dataComplete:
		if before == taskReceivingUnsolicited {
			t.enqueue()
		} else {
			go t.run()
		}
	case dataInvalid:
		sess.reject(pdu, rejectProtocolError)
		t.failTransfer(before, scsi.NotEnoughUnsolicitedData)
	case dataBadDigest:
		sess.reject(pdu, rejectDataDigest)
		t.failTransfer(before, scsi.CRCError)
	}
	return nil
}

// failTransfer ends a command after invalid data. before is the command's state when the data arrived; a command that
// receives unsolicited data does not occupy the pacer yet.
func (t *task) failTransfer(before taskState, sense *scsi.Sense) {
	if before == taskReceivingUnsolicited {
		t.answerSense(sense)
		return
	}
	t.fail(sense)
}

// receiveData stores the data of a Data-Out PDU. The caller holds the session's lock.
func (t *task) receiveData(pdu *iscsi.PDU) dataOutcome {
	switch {
	case pdu.BadDataDigest:
		return dataBadDigest
	case t.state == taskReceivingUnsolicited:
		return t.receiveUnsolicited(pdu)
	}
	return t.receiveSolicited(pdu)
}

func (t *task) receiveUnsolicited(pdu *iscsi.PDU) dataOutcome {
	offset, length := pdu.Uint32(iscsi.OffsetBufferOffset), uint32(len(pdu.Data))
	inOrder := pdu.Uint32(iscsi.OffsetDataSN) == t.nextDataSN && (offset == t.unsolicited || length == 0)
	end := offset + length
	withinLimit := end <= t.unsolicitedLimit && end >= offset
	if pdu.Uint32(iscsi.OffsetTransferTag) != iscsi.NoTag || !inOrder || !withinLimit {
		return dataInvalid
	}
	t.nextDataSN++
	t.unsolicited += length
	used := min(length, t.dataLength-min(t.dataLength, offset))
	t.data = append(t.data, pdu.Data[:used]...)
	if pdu.Final() {
		return dataComplete
	}
	return dataIncomplete
}

func (t *task) receiveSolicited(pdu *iscsi.PDU) dataOutcome {
	if len(t.outstandingR2Ts) == 0 {
		return dataInvalid
	}
	current := t.outstandingR2Ts[0]
	offset, length := pdu.Uint32(iscsi.OffsetBufferOffset), uint32(len(pdu.Data))
	inOrder := pdu.Uint32(iscsi.OffsetTransferTag) == current.tag &&
		pdu.Uint32(iscsi.OffsetDataSN) == current.nextDataSN && offset == current.nextOffset
	end := offset + length
	withinTransfer := end >= offset && end <= current.end
	if !inOrder || !withinTransfer || pdu.Final() != (end == current.end) {
		return dataInvalid
	}
	current.nextDataSN++
	current.nextOffset = end
	t.data = append(t.data, pdu.Data...)
	if current.nextOffset < current.end {
		return dataIncomplete
	}
	t.outstandingR2Ts = t.outstandingR2Ts[1:]
	if uint32(len(t.data)) < t.dataLength {
		t.solicitData()
		return dataIncomplete
	}
	return dataComplete
}
