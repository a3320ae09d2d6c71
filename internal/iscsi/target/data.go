package target

import (
	"irispost/internal/iscsi"
	"irispost/internal/scsi"
)

// transfer is a run of a command's data that was solicited with an R2T.
type transfer struct {
	tag        uint32
	position   uint32 // of the next byte
	end        uint32
	nextDataSN uint32
}

// solicitData asks for a command's data, as far as R2Ts may be outstanding. The caller holds the session's lock.
func (t *task) solicitData() {
	x := t.session
	for t.solicited < t.dataLength && len(t.transfers) < x.params.MaxOutstandingR2T {
		length := min(t.dataLength-t.solicited, uint32(x.params.MaxBurst))
		requested := &transfer{tag: x.newTransferTag(), position: t.solicited, end: t.solicited + length}
		t.transfers = append(t.transfers, requested)
		x.send(iscsi.New(iscsi.ReadyToTransfer, iscsi.Final).
			SetLUN(t.lun[:]).
			SetUint32(iscsi.OffsetTag, t.tag).
			SetUint32(iscsi.OffsetTransferTag, requested.tag).
			SetUint32(iscsi.OffsetR2TSN, t.r2tCount).
			SetUint32(iscsi.OffsetBufferOffset, requested.position).
			SetUint32(iscsi.OffsetDesiredLength, length), false)
		t.solicited += length
		t.r2tCount++
	}
}

// newTransferTag returns a tag that is not iscsi.NoTag. The caller holds the lock.
func (x *session) newTransferTag() uint32 {
	x.lastTransferTag++
	if x.lastTransferTag == iscsi.NoTag {
		x.lastTransferTag = 1
	}
	return x.lastTransferTag
}

// dataOutcome is what becomes of a command with a Data-Out.
type dataOutcome uint8

const (
	dataMoreFollows dataOutcome = iota
	dataComplete                // the unsolicited data of a task that gathers, all data of one that collects
	dataMisplaced
	dataBadDigest
)

// handleData handles a Data-Out. One whose command has ended is ignored.
func (x *session) handleData(pdu *iscsi.PDU) error {
	x.lock.Lock()
	t := x.tasks[pdu.Tag()]
	if t == nil || t.state != taskGathering && t.state != taskCollecting {
		x.lock.Unlock()
		return nil
	}
	before := t.state
	outcome := t.takeData(pdu)
	if before == taskCollecting && outcome == dataComplete {
		t.setState(taskRunning)
	}
	x.lock.Unlock()
	switch outcome {
	case dataComplete:
		if before == taskGathering {
			t.enqueue()
		} else {
			go t.run()
		}
	case dataMisplaced:
		x.reject(pdu, rejectProtocolError)
		t.failData(before, scsi.NotEnoughUnsolicitedData)
	case dataBadDigest:
		x.reject(pdu, rejectDataDigest)
		t.failData(before, scsi.CRCError)
	}
	return nil
}

// failData ends a command whose data cannot be used, by its state when the data came.
func (t *task) failData(before taskState, sense *scsi.Sense) {
	if before == taskGathering {
		t.answerSense(sense)
		return
	}
	t.fail(sense)
}

// takeData takes the data of a Data-Out. The caller holds the session's lock.
func (t *task) takeData(pdu *iscsi.PDU) dataOutcome {
	switch {
	case pdu.BadDataDigest:
		return dataBadDigest
	case t.state == taskGathering:
		return t.takeUnsolicited(pdu)
	}
	return t.takeSolicited(pdu)
}

func (t *task) takeUnsolicited(pdu *iscsi.PDU) dataOutcome {
	offset, length := pdu.Uint32(iscsi.OffsetBufferOffset), uint32(len(pdu.Data))
	inOrder := pdu.Uint32(iscsi.OffsetDataSN) == t.nextDataSN && (offset == t.unsolicited || length == 0)
	end := offset + length
	withinLimit := end <= t.unsolicitedLimit && end >= offset
	if pdu.Uint32(iscsi.OffsetTransferTag) != iscsi.NoTag || !inOrder || !withinLimit {
		return dataMisplaced
	}
	t.nextDataSN++
	t.unsolicited += length
	used := min(length, t.dataLength-min(t.dataLength, offset))
	t.data = append(t.data, pdu.Data[:used]...)
	if pdu.Final() {
		return dataComplete
	}
	return dataMoreFollows
}

func (t *task) takeSolicited(pdu *iscsi.PDU) dataOutcome {
	if len(t.transfers) == 0 {
		return dataMisplaced
	}
	current := t.transfers[0]
	offset, length := pdu.Uint32(iscsi.OffsetBufferOffset), uint32(len(pdu.Data))
	inOrder := pdu.Uint32(iscsi.OffsetTransferTag) == current.tag &&
		pdu.Uint32(iscsi.OffsetDataSN) == current.nextDataSN && offset == current.position
	end := offset + length
	withinTransfer := end >= offset && end <= current.end
	if !inOrder || !withinTransfer || pdu.Final() != (end == current.end) {
		return dataMisplaced
	}
	current.nextDataSN++
	current.position = end
	t.data = append(t.data, pdu.Data...)
	if current.position < current.end {
		return dataMoreFollows
	}
	t.transfers = t.transfers[1:]
	if uint32(len(t.data)) < t.dataLength {
		t.solicitData()
		return dataMoreFollows
	}
	return dataComplete
}
