package day

import (
	"context"
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

// diskTarget is the name of the target that a day's gateways show, with one unit for each volume that has disk clients.
const diskTarget = "iqn.2026-01.irispost:day"

// diskWait is how long a command may wait at the target for its turn, beyond its product's patience.
const diskWait = 20 * time.Second

// onDisk tells whether a plan's clients use disks.
func (p *ClientPlan) onDisk() bool { return strings.HasPrefix(p.Operation, "disk-") }

// disks writes the block that shows a disk of each volume with disk clients, and notes where each client's part begins.
func (s *Script) disks() string {
	sizes, text := map[string]int{}, ""
	for _, p := range s.Clients {
		if p.onDisk() {
			sizes[p.Volume] += p.Count * p.Bytes * p.Blocks
		}
	}
	for i, v := range s.diskVolumes() {
		text += fmt.Sprintf("    lun \"%d\" {\n      file = \"/%s/disk\"\n      size = \"%dB\"\n    }\n", i, v, sizes[v])
	}
	if text == "" {
		return ""
	}
	return "\ndisks {\n  listen = \"127.0.0.1:0\"\n  target \"" + diskTarget + "\" {\n" + text + "  }\n}\n"
}

// diskVolumes are the volumes with disk clients: the number of each is its unit's.
func (s *Script) diskVolumes() (list []string) {
	for _, p := range s.Clients {
		if p.onDisk() && !slices.Contains(list, p.Volume) {
			list = append(list, p.Volume)
		}
	}
	return list
}

// disk is a client's session with a target.
type disk struct {
	*initiator.Session
	lun  uint16
	from int64 // the client's part
}

// openDisk connects a disk client, and fills its part.
func (c *client) openDisk(prepare bool) error {
	number := c.base
	o := initiator.Options{Address: c.diskAddr(), Name: "iqn.2026-01.irispost:" + c.name, Target: diskTarget, Saw: c.sawDisk}
	s, err := initiator.Dial(context.Background(), o)
	if err != nil {
		return err
	}
	d := &disk{s, c.lun, number}
	for i := 0; prepare && i < c.plan.Blocks; i++ {
		if err := c.diskTry(d, true, i, fill(c.plan.Bytes, c.rand)); err != nil {
			_ = s.Close()
			return err
		}
	}
	if prepare {
		r, err := s.Do(context.Background(), d.lun, append([]byte{0x35}, make([]byte, 15)...), nil, 0)
		if err != nil || r.Status != scsi.Good {
			_ = s.Close()
			return fmt.Errorf("%w: status %#x %w", errors.Join(err), byte(r.Status), r.Sense)
		}
	}
	c.lock.Lock()
	c.disk = d
	c.lock.Unlock()
	return nil
}

// sawDisk records what passes on a session.
func (c *client) sawDisk(e initiator.Event) {
	switch {
	case e.Lost != nil:
		word := "broke"
		if errors.Is(e.Lost, initiator.ErrClosed) {
			word = "closed"
		}
		c.record.Add(audit.Event{Type: audit.ClientDisconnected, Session: e.Session, State: word})
	case e.Sent:
		sort := map[byte]front.Sort{0x28: front.Read, 0x2a: front.Write}[e.Op]
		if sort == "" {
			sort = front.Change
		}
		name, goal, limit := c.product(sort)
		now := c.record.Clock()
		c.record.Add(audit.Event{At: now, Type: audit.RequestSent, Session: e.Session, ClientRequest: e.Tag, RequestClass: name, ObjectiveBy: now + int64(goal),
			Deadline: now + int64(limit+diskWait)})
	default:
		told := audit.Event{Type: audit.ResponseReceived, Session: e.Session, ClientRequest: e.Tag}
		switch e.Status {
		case scsi.Good:
		case scsi.Busy, scsi.TaskSetFull:
			told.Outcome = audit.Rejected
		default:
			told.Outcome = audit.Failed
		}
		c.record.Add(told)
	}
}

// diskTry does one command.
func (c *client) diskTry(d *disk, write bool, at int, data []byte) error {
	const block = 4096
	first, n := (d.from+int64(at*c.plan.Bytes))/block, c.plan.Bytes/block
	cdb := make([]byte, 16)
	cdb[0] = 0x28
	if write {
		cdb[0] = 0x2a
	}
	cdb[2], cdb[3], cdb[4], cdb[5], cdb[7], cdb[8] = byte(first>>24), byte(first>>16), byte(first>>8), byte(first), byte(n>>8), byte(n)
	in := 0
	if !write {
		in, data = c.plan.Bytes, nil
	}
	r, err := d.Do(context.Background(), d.lun, cdb, data, in)
	switch {
	case err != nil:
		return errBroken
	case r.Status != scsi.Good:
		return fmt.Errorf("status %#x, %w", byte(r.Status), r.Sense)
	case !write && (!whole(r.Data) || len(r.Data) != c.plan.Bytes):
		c.totals.torn.Add(1)
		return fmt.Errorf("%d bytes that nobody wrote", len(r.Data))
	}
	return nil
}
