package target

import (
	"encoding/binary"

	"irispost/internal/iscsi"
	"irispost/internal/scsi"
)

// answerSense ends a command with CHECK CONDITION and sense data.
func (t *task) answerSense(sense *scsi.Sense) { t.answer(scsi.CheckCondition, sense, nil) }

// answer sends a command's only response, either data with the status or the status alone, and ends the command. A
// command that was aborted by its own session gets no response; one aborted by another session gets TASK ABORTED.
func (t *task) answer(status scsi.Status, sense *scsi.Sense, data []byte) {
	sess := t.session
	sess.lock.Lock()
	if t.state == taskEnded {
		sess.lock.Unlock()
		return
	}
	switch {
	case !t.aborted:
		t.send(status, sense, data)
	case t.reportAbort:
		t.send(scsi.TaskAborted, nil, nil)
	}
	t.setState(taskEnded)
	sess.lock.Unlock()
	sess.server.options.Front.EndRequest()
}

// send sends the response and computes the residual count. The caller holds the session's lock.
func (t *task) send(status scsi.Status, sense *scsi.Sense, data []byte) {
	transferred := uint32(len(data))
	if t.dataLength > 0 && status == scsi.Good {
		transferred = t.dataLength
	}
	flags, residual := byte(0), uint32(0)
	switch {
	case uint64(t.expectedLength) < uint64(len(data)):
		data = data[:t.expectedLength]
		flags = iscsi.Overflow
		residual = transferred - t.expectedLength
	case transferred < t.expectedLength:
		flags = iscsi.Underflow
		residual = t.expectedLength - transferred
	}
	if len(data) > 0 && status == scsi.Good {
		t.sendData(data, flags, residual)
		return
	}
	answer := iscsi.New(iscsi.Response, iscsi.Final|flags).
		SetByte(iscsi.OffsetStatus, byte(status)).
		SetUint32(iscsi.OffsetTag, t.tag).
		SetUint32(iscsi.OffsetDataSN, t.r2tCount). // ExpDataSN
		SetUint32(iscsi.OffsetResidual, residual)
	if sense != nil {
		encoded := sense.Bytes()
		answer.SetData(append(binary.BigEndian.AppendUint16(nil, uint16(len(encoded))), encoded...))
	}
	t.session.send(answer, true)
}

// sendData sends data as sequences of Data-In PDUs. The last PDU carries status GOOD. The caller holds the session's
// lock.
func (t *task) sendData(data []byte, flags byte, residual uint32) {
	sess := t.session
	dataSN, burst := uint32(0), 0
	for offset := 0; offset < len(data); dataSN++ {
		length := min(len(data)-offset, sess.params.PeerMaxSegment, sess.params.MaxBurst-burst)
		pdu := iscsi.New(iscsi.DataIn, 0).
			SetLUN(t.lun[:]).
			SetUint32(iscsi.OffsetTag, t.tag).
			SetUint32(iscsi.OffsetTransferTag, iscsi.NoTag).
			SetUint32(iscsi.OffsetDataSN, dataSN).
			SetUint32(iscsi.OffsetBufferOffset, uint32(offset)).
			SetData(data[offset : offset+length])
		offset += length
		burst += length
		last := offset == len(data)
		if last {
			pdu.SetByte(iscsi.OffsetFlags, iscsi.Final|iscsi.HasStatus|flags).
				SetByte(iscsi.OffsetStatus, byte(scsi.Good)).
				SetUint32(iscsi.OffsetResidual, residual)
		} else if burst == sess.params.MaxBurst {
			pdu.SetByte(iscsi.OffsetFlags, iscsi.Final)
			burst = 0
		}
		sess.send(pdu, last)
	}
}
