package day

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"irispost/internal/audit"
	"irispost/internal/front"
	"irispost/internal/iscsi/initiator"
	"irispost/internal/scsi"
)

const (
	iscsiPrefix = "iqn.2026-01.irispost:"

	// diskTarget is the name of the target that each gateway of a scenario serves. It has a logical unit for each
	// volume with disk clients.
	diskTarget = iscsiPrefix + "day"

	// targetQueueTime is added to the timeout of a command's class, for the time that it may be queued at the target.
	targetQueueTime = 20 * time.Second
)

// SCSI commands of disk clients: operation codes and the layout of their 10-byte command descriptor blocks (CDB).
const (
	opRead10             = 0x28
	opWrite10            = 0x2a
	opSynchronizeCache10 = 0x35
	commandBlockSize     = 16 // size of the CDB field in an iSCSI PDU
	cdbAddress           = 2  // offset of the logical block address, 4 bytes
	cdbLength            = 7  // offset of the transfer length in blocks, 2 bytes
)

// diskStatusError is a SCSI status other than GOOD.
type diskStatusError struct {
	status scsi.Status
	sense  *scsi.Sense // nil if the target sent none
}

func (e *diskStatusError) Error() string {
	return fmt.Sprintf("SCSI status %#x, sense %v", byte(e.status), e.sense)
}

// diskBlock returns the configuration block that makes a gateway serve one disk of each volume with disk clients. It
// is empty if there are no such volumes.
func (s *Script) diskBlock() string {
	sizes := map[string]int{}
	for _, plan := range s.Clients {
		if plan.Operation.onDisk() {
			sizes[plan.Volume] += plan.Count * plan.Bytes * plan.Blocks
		}
	}
	var logicalUnits strings.Builder
	for lun, volume := range s.diskVolumes() {
		fmt.Fprintf(&logicalUnits, "    lun \"%d\" {\n      file = \"/%s/disk\"\n      size = \"%dB\"\n    }\n",
			lun, volume, sizes[volume])
	}
	if logicalUnits.Len() == 0 {
		return ""
	}
	return "\ndisks {\n  listen = \"127.0.0.1:0\"\n  target \"" + diskTarget + "\" {\n" +
		logicalUnits.String() + "  }\n}\n"
}

// diskVolumes returns the volumes with disk clients. The index of a volume is the number (LUN) of its logical unit.
func (s *Script) diskVolumes() (volumes []string) {
	for _, plan := range s.Clients {
		if plan.Operation.onDisk() && !slices.Contains(volumes, plan.Volume) {
			volumes = append(volumes, plan.Volume)
		}
	}
	return volumes
}

// diskSession is a client's iSCSI session with a gateway's target.
type diskSession struct {
	*initiator.Session
	lun    uint16
	offset int64 // start of the client's part of the disk, in bytes
}

// connectDisk connects a disk client. With prepare, it also fills the client's part of the disk.
func (c *client) connectDisk(prepare bool) error {
	session, err := initiator.Dial(context.Background(), initiator.Options{
		Address: c.targetAddress(),
		Name:    iscsiPrefix + c.name,
		Target:  diskTarget,
		OnEvent: c.recordDiskEvent,
	})
	if err != nil {
		return err
	}
	disk := &diskSession{session, c.lun, c.diskOffset}
	if prepare {
		if err := c.fillDisk(disk); err != nil {
			_ = session.Close() // the next attempt makes a new session
			return err
		}
	}
	c.lock.Lock()
	c.disk = disk
	c.lock.Unlock()
	return nil
}

// fillDisk writes all blocks of the client's part of the disk and synchronizes the cache.
func (c *client) fillDisk(disk *diskSession) error {
	for block := range c.plan.Blocks {
		if err := c.diskAttempt(disk, true, block, randomBlocks(c.plan.Bytes, c.random)); err != nil {
			return err
		}
	}
	command := make([]byte, commandBlockSize)
	command[0] = opSynchronizeCache10
	result, err := disk.Do(context.Background(), disk.lun, command, nil, 0)
	if err != nil {
		return err
	}
	if result.Status != scsi.Good {
		return &diskStatusError{result.Status, result.Sense}
	}
	return nil
}

// recordDiskEvent records an event of an iSCSI session for the audit.
func (c *client) recordDiskEvent(event initiator.Event) {
	switch {
	case event.Lost != nil:
		state := audit.StateBroken
		if errors.Is(event.Lost, initiator.ErrLoggedOut) {
			state = audit.StateClosed
		}
		c.recorder.Add(audit.Event{Type: audit.ClientDisconnected, Session: event.Session, State: state})
	case event.Sent:
		class := c.class(operationOfCommand(event.Op))
		class.timeout += targetQueueTime
		c.recorder.Add(class.sentEvent(c.recorder.Clock(), event.Session, event.Tag))
	default:
		c.recorder.Add(audit.Event{
			Type:          audit.ResponseReceived,
			Session:       event.Session,
			ClientRequest: event.Tag,
			Outcome:       outcomeOfDiskStatus(event.Status),
		})
	}
}

func operationOfCommand(operation byte) front.OperationKind {
	switch operation {
	case opRead10:
		return front.Read
	case opWrite10:
		return front.Write
	}
	return front.Change
}

func outcomeOfDiskStatus(status scsi.Status) audit.Outcome {
	switch status {
	case scsi.Good:
		return audit.Succeeded
	case scsi.Busy, scsi.TaskSetFull:
		return audit.Rejected
	}
	return audit.Failed
}

// diskAttempt reads or writes the data of one request in the client's part of the disk, and checks the data of a read.
func (c *client) diskAttempt(disk *diskSession, write bool, block int, data []byte) error {
	first := (disk.offset + int64(block*c.plan.Bytes)) / blockSize
	command := make([]byte, commandBlockSize)
	command[0] = opRead10
	if write {
		command[0] = opWrite10
	}
	binary.BigEndian.PutUint32(command[cdbAddress:], uint32(first))
	binary.BigEndian.PutUint16(command[cdbLength:], uint16(c.plan.Bytes/blockSize))
	expected := 0
	if !write {
		expected = c.plan.Bytes
		data = nil
	}
	result, err := disk.Do(context.Background(), disk.lun, command, data, expected)
	switch {
	case err != nil:
		return errConnectionLost
	case result.Status != scsi.Good:
		return &diskStatusError{result.Status, result.Sense}
	case !write && (!untorn(result.Data) || len(result.Data) != c.plan.Bytes):
		c.totals.tornReads.Add(1)
		return &tornReadError{len(result.Data)}
	}
	return nil
}
