package capture

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// ErrCorrupt reports that the bytes read are not the bytes that were written.
var ErrCorrupt = errors.New("the capture is corrupt")

// A record is encoded as a length, a checksum, its kind and its fields. Length and checksum cover the kind and the
// fields.
const (
	recordLengthBytes = 4
	recordHeaderBytes = recordLengthBytes + 4
)

// appendRecord appends an encoded record to out.
func appendRecord(out []byte, record *Record) []byte {
	start := len(out)
	var header [recordHeaderBytes]byte // filled in below
	c := codec{out: append(append(out, header[:]...), byte(record.Kind))}
	c.record(record) // an encoding codec does not modify the record
	body := c.out[start+recordHeaderBytes:]
	binary.BigEndian.PutUint32(c.out[start:], uint32(len(body)))
	binary.BigEndian.PutUint32(c.out[start+recordLengthBytes:], uint32(xxhash.Sum64(body)))
	return c.out
}

// nextRecord decodes the first record of in and returns the bytes after it.
func nextRecord(in []byte) (record *Record, rest []byte, err error) {
	if len(in) < recordHeaderBytes+1 {
		return nil, in, fmt.Errorf("%w: only %d bytes are left for a record", ErrCorrupt, len(in))
	}
	length, available := int(binary.BigEndian.Uint32(in)), len(in)-recordHeaderBytes
	if length < 1 || length > available {
		return nil, in, fmt.Errorf("%w: a record has a length of %d bytes, %d are left in the block",
			ErrCorrupt, length, available)
	}
	body, rest := in[recordHeaderBytes:recordHeaderBytes+length], in[recordHeaderBytes+length:]
	if uint32(xxhash.Sum64(body)) != binary.BigEndian.Uint32(in[recordLengthBytes:]) {
		return nil, in, fmt.Errorf("%w: the checksum of a record does not match", ErrCorrupt)
	}
	record = &Record{Kind: Kind(body[0])}
	c := codec{in: body[1:], reading: true}
	c.record(record)
	if c.invalid || len(c.in) > 0 {
		return nil, in, fmt.Errorf("%w: the fields of a record of kind %d are malformed", ErrCorrupt, body[0])
	}
	return record, rest, nil
}

// record encodes or decodes the fields that a record of its kind has.
func (c *codec) record(r *Record) {
	c.zigzag(&r.At)
	switch r.Kind {
	case KindHeader:
		c.text(&r.Name)
		c.text(&r.Build)
		c.uvarint(&r.Digest)
	case KindStart:
		c.uvarint(&r.Seed)
		c.settings(&r.Terms)
	case KindAllocated:
		c.text(&r.Node)
		c.zigzag(&r.Born)
		c.float(&r.Units)
		c.zigzag(&r.Till)
	case KindSettingsChanged:
		c.settings(&r.Terms)
	case KindEndpointList, KindEndpointUpdate:
		c.flag(&r.Stale)
		list(c, &r.Nodes, c.node)
	case KindSubmitted:
		c.submission(r)
	case KindAttemptEnded:
		c.attemptEnd(r)
	case KindClientCancelled:
		c.text(&r.Job)
	case KindDecided:
		c.decision(&r.Decision)
	case KindGap:
		c.count(&r.Dropped)
	case KindEnd:
		c.text(&r.Name)
	case KindSnapshot:
		c.text(&r.State)
	case KindEndpointListFailed, KindEndpointListSilent:
	case KindStreamStarted:
		c.text(&r.Job)
		c.count(&r.Number)
	default:
		c.invalid = true
	}
}

func (c *codec) node(n *endpoint.Node) {
	c.text(&n.Addr)
	c.text(&n.Zone)
	c.count(&n.Shard)
	c.float(&n.Weight)
	c.zigzag(&n.StartedAt)
	enumeration(c, &n.Health)
}

func (c *codec) submission(r *Record) {
	c.text(&r.Job)
	c.zigzag(&r.Volume)
	c.text(&r.Plan)
	c.text(&r.Product)
	c.float(&r.Hosts)
	c.flag(&r.Keyed)
	c.float(&r.Units)
	c.count(&r.Shard)
	c.zigzag(&r.Key)
	c.flag(&r.Write)
	c.zigzag(&r.StopBy)
}

func (c *codec) attemptEnd(r *Record) {
	c.text(&r.Job)
	c.count(&r.Number)
	enumeration(c, &r.Outcome)
	c.zigzag(&r.Took)
	c.flag(&r.Final)
	c.float(&r.Others)
	c.count(&r.Inflight)
	c.zigzag(&r.Latency)
}

func (c *codec) decision(d *Decision) {
	list(c, &d.Ended, func(answer *FinishedRequest) {
		c.text(&answer.Job)
		enumeration(c, &answer.State)
		c.zigzag(&answer.Wait)
	})
	for _, attempts := range []*[]Attempt{&d.CallOff, &d.Sent} {
		list(c, attempts, func(attempt *Attempt) {
			c.text(&attempt.Job)
			c.count(&attempt.Number)
			c.text(&attempt.Node)
			c.zigzag(&attempt.Limit)
		})
	}
	list(c, &d.Log, c.text)
	c.flag(&d.Watch)
	c.zigzag(&d.NextWake)
}

// settings encodes or decodes settings, sorted by name so that equal captures are equal files.
func (c *codec) settings(settings *scheduler.Settings) {
	var names []string
	for name := range *settings {
		names = append(names, name)
	}
	slices.Sort(names)
	values := scheduler.Settings{}
	list(c, &names, func(name *string) {
		c.text(name)
		value := (*settings)[*name]
		c.text(&value)
		values[*name] = value
	})
	if c.reading {
		*settings = values
	}
}
