package target

import (
	"irispost/internal/front"
	"irispost/internal/iscsi/pace"
	"irispost/internal/scsi"
)

// run executes a command on its disk and ends it.
func (t *task) run() {
	command, client := &t.command, t.session.client
	blockSize := uint64(t.unit.BlockSize)
	offset, length := command.LBA*blockSize, command.Blocks*blockSize
	var result front.Result
	var data []byte
	switch command.Kind {
	case scsi.Read:
		if length > 0 {
			data, result = client.Read(t.disk, t.tag, offset, int(length))
		}
	case scsi.Verify:
		if length > 0 {
			_, result = client.Read(t.disk, t.tag, offset, int(length))
		}
	case scsi.Write:
		if length > 0 {
			result = client.Write(t.disk, t.tag, offset, t.data, command.ForceUnitAccess)
		}
	case scsi.SynchronizeCache:
		result = client.Sync(t.disk, t.tag)
	case scsi.CompareAndWrite:
		expected, next := t.data[:length], t.data[length:]
		result = client.CompareAndWrite(t.disk, t.tag, offset, expected, next, command.ForceUnitAccess)
	case scsi.WriteSame:
		result = t.writeSame(offset, length)
	case scsi.Unmap:
		ranges, sense := t.unit.ParseUnmap(t.data)
		if sense != nil {
			t.fail(sense)
			return
		}
		result = t.unmap(ranges)
	}
	t.finish(result, data)
}

// unmap writes zeros to the ranges in order and stops at the first failure.
func (t *task) unmap(ranges []scsi.Range) front.Result {
	blockSize := uint64(t.unit.BlockSize)
	for _, unmapped := range ranges {
		result := t.session.client.Zero(t.disk, t.tag, unmapped.LBA*blockSize, unmapped.Blocks*blockSize)
		if result.Outcome != front.Succeeded {
			return result
		}
	}
	return front.Result{Outcome: front.Succeeded}
}

// writeSame writes one block to each block of a range, at most one extent per write.
func (t *task) writeSame(offset, length uint64) front.Result {
	unit, client := t.unit, t.session.client
	if allZeros(t.data) {
		return client.Zero(t.disk, t.tag, offset, length)
	}
	blockSize := uint64(unit.BlockSize)
	step := uint64(max(unit.ExtentSize/unit.BlockSize, 1)) * blockSize
	for end := offset + length; offset < end; {
		data := make([]byte, min(step-offset%step, end-offset))
		for at := uint64(0); at < uint64(len(data)); at += blockSize {
			copy(data[at:], t.data)
		}
		if result := client.Write(t.disk, t.tag, offset, data, false); result.Outcome != front.Succeeded {
			return result
		}
		offset += uint64(len(data))
	}
	return front.Result{Outcome: front.Succeeded}
}

func allZeros(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

// finish ends a running command with the result of its requests.
func (t *task) finish(result front.Result, data []byte) {
	t.releasePacer(pacerOutcome(result.Outcome))
	switch result.Outcome {
	case front.Succeeded:
		t.answer(scsi.Good, nil, data)
	case front.ClientGone:
		t.discard()
	case front.Rejected:
		t.answer(scsi.Busy, nil, nil)
	case front.Mismatch:
		sense := *scsi.Miscompare
		sense.Information = uint32(result.MismatchOffset)
		sense.Valid = true
		t.answerSense(&sense)
	case front.FileGone:
		t.answerSense(scsi.NotReady)
	default:
		t.answerSense(scsi.CommandTimeout)
	}
	t.session.server.startCommands()
}

// pacerOutcome returns the outcome that the pacer counts. A mismatch counts as served.
func pacerOutcome(outcome front.Outcome) pace.Outcome {
	switch outcome {
	case front.Succeeded, front.Mismatch:
		return pace.Served
	case front.Rejected:
		return pace.Rejected
	default:
		return pace.Failed
	}
}

// fail ends a running command with sense data.
func (t *task) fail(sense *scsi.Sense) {
	t.releasePacer(pace.Failed)
	t.answerSense(sense)
	t.session.server.startCommands()
}
