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
var ErrCorrupt = errors.New("the capture is damaged")

// A record stands in a block as its length, a checksum of the rest, its kind and its fields.
const (
	recordLengthBytes = 4
	recordHeadBytes   = recordLengthBytes + 4
)

// appendRecord appends a record to a block.
func appendRecord(out []byte, record *Record) []byte {
	start := len(out)
	var head [recordHeadBytes]byte // filled in below
	c := codec{out: append(append(out, head[:]...), byte(record.Kind))}
	c.record(record) // it only reads the record
	body := c.out[start+recordHeadBytes:]
	binary.BigEndian.PutUint32(c.out[start:], uint32(len(body)))
	binary.BigEndian.PutUint32(c.out[start+recordLengthBytes:], uint32(xxhash.Sum64(body)))
	return c.out
}

// nextRecord reads a record and returns the bytes after it.
func nextRecord(in []byte) (record *Record, rest []byte, err error) {
	if len(in) < recordHeadBytes+1 {
		return nil, in, fmt.Errorf("%w: a record ends after %d bytes", ErrCorrupt, len(in))
	}
	length, available := int(binary.BigEndian.Uint32(in)), len(in)-recordHeadBytes
	if length < 1 || length > available {
		return nil, in, fmt.Errorf("%w: a record of %d bytes, %d are there", ErrCorrupt, length, available)
	}
	body, rest := in[recordHeadBytes:recordHeadBytes+length], in[recordHeadBytes+length:]
	if uint32(xxhash.Sum64(body)) != binary.BigEndian.Uint32(in[recordLengthBytes:]) {
		return nil, in, fmt.Errorf("%w: a record's checksum does not fit", ErrCorrupt)
	}
	record = &Record{Kind: Kind(body[0])}
	c := codec{in: body[1:], reading: true}
	c.record(record)
	if c.invalid || len(c.in) > 0 {
		return nil, in, fmt.Errorf("%w: a record of kind %d does not hold what it should", ErrCorrupt, body[0])
	}
	return record, rest, nil
}

// record walks over the fields of a record's kind.
func (c *codec) record(r *Record) {
	c.signed(&r.At)
	switch r.Kind {
	case KindHeader:
		c.text(&r.Name)
		c.text(&r.Build)
		c.number(&r.Digest)
	case KindStart:
		c.number(&r.Seed)
		c.settings(&r.Terms)
	case KindAllocated:
		c.text(&r.Node)
		c.signed(&r.Born)
		c.float(&r.Units)
		c.signed(&r.Till)
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
	c.signed(&n.StartedAt)
	enumeration(c, &n.Health)
}

func (c *codec) submission(r *Record) {
	c.text(&r.Job)
	c.signed(&r.Volume)
	c.text(&r.Plan)
	c.text(&r.Product)
	c.float(&r.Hosts)
	c.flag(&r.Keyed)
	c.float(&r.Units)
	c.count(&r.Shard)
	c.signed(&r.Key)
	c.flag(&r.Write)
	c.signed(&r.StopBy)
}

func (c *codec) attemptEnd(r *Record) {
	c.text(&r.Job)
	c.count(&r.Number)
	enumeration(c, &r.Outcome)
	c.signed(&r.Took)
	c.flag(&r.Final)
	c.float(&r.Others)
	c.count(&r.Inflight)
	c.signed(&r.Latency)
}

func (c *codec) decision(d *Decision) {
	list(c, &d.Ended, func(answer *FinishedRequest) {
		c.text(&answer.Job)
		enumeration(c, &answer.State)
		c.signed(&answer.Wait)
	})
	for _, attempts := range []*[]Attempt{&d.CallOff, &d.Sent} {
		list(c, attempts, func(attempt *Attempt) {
			c.text(&attempt.Job)
			c.count(&attempt.Number)
			c.text(&attempt.Node)
			c.signed(&attempt.Limit)
		})
	}
	list(c, &d.Log, c.text)
	c.flag(&d.Watch)
	c.signed(&d.NextWake)
}

// settings are written in the order of their names, so that equal captures are equal files.
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
