// Package node is how a gateway talks to storage nodes: the messages, and the connections with their outcomes.
//
// Nodes speak SFTP version 3. What that lacks, one stateless execution of a job with its mark, travels in
// SSH_FXP_EXTENDED requests that a node offers in its VERSION packet. docs/node-protocol.md describes them.
package node

import (
	"errors"
	"time"

	"irispost/internal/sftp"
)

// Names of the extensions.
const (
	ExecExtension   = "exec@irispost"
	CancelExtension = "cancel@irispost"
)

// Operation is what an execution does at a node.
type Operation uint8

const (
	GetObject            Operation = iota + 1 // bytes of an object
	PutObject                                 // bytes of an object, at an offset; the object is made where there is none
	DeleteObject                              // an object
	GetRecord                                 // a record
	CompareAndSwapRecord                      // a record, if it has the version; without data it is removed
	ListRecords                               // records of a folder, from a name on
	ListObjects                               // objects from a name on, for the sweep
)

// Writes tells whether the operation changes something.
func (o Operation) Writes() bool {
	return o == PutObject || o == DeleteObject || o == CompareAndSwapRecord
}

// Status is what became of an operation that was carried out.
type Status uint8

const (
	OK              Status = iota
	NotFound               // there is no such object or record
	VersionConflict        // the record has another version, which the answer holds
)

// Outcome is how an execution ended, as far as node and connection can tell.
type Outcome uint8

const (
	Failed          Outcome = iota // the node failed it, and may have carried it out
	Executed                       // the node carried it out; Code says with what result
	QueueFull                      // the node's queue is full; it never ran
	WrongShard                     // the node does not hold the shard; it never ran
	ConnectFailed                  // no connection came up; it never ran
	ConnectionReset                // the connection broke while it was out; it may have run
)

// Call is one execution.
type Call struct {
	Gateway        string
	RequestID      string // unique among all jobs of all gateways
	Attempt        int    // of the execution, from 0
	Volume         int64
	Units          float64
	Timeout        time.Duration // the time that the client still waits; a node does not begin it later
	StartWithin    time.Duration // it must not begin later than that from now; 0: no such time
	Idempotency    uint8         // 0 replayable, 1 referenced, 2 single-use
	OrderingKey    int64         // jobs of one key run in order; 0 for none
	Shard          int           // that has to serve it; below 0 for any
	IdempotencyKey string        // by which a repeat is known
	Headers        []string      // further fields that pass on unchanged, name and value in turn, where the protocol has such
	Op             Operation
	Name           string // of the object or record
	Owner          string // the path that an object belongs to
	Offset         uint64
	Length         uint32
	Version        uint64
	Data           []byte
}

// Reply is a node's answer to an execution, or what stands for it.
type Reply struct {
	Outcome        Outcome
	Status         Status
	Version        uint64
	Shard          int           // the node's
	InFlight       int           // jobs that the node holds
	Latency        time.Duration // its recent service time, without waiting
	UnitsElsewhere float64       // units served the volume through other gateways since the last answer to this one
	Message        string        // why it failed
	Data           []byte
	ORCA           bool  // its load report goes out in ORCA form
	ReportErr      error // what is wrong with the load report that came; the answer counts all the same
}

const thousand = 1000

// Packet writes the call as a request.
func (c *Call) Packet(id uint32) *sftp.Packet {
	p := sftp.NewLong(sftp.Extended, id).Text(ExecExtension).Text(c.Gateway).Text(c.RequestID).Uint32(uint32(c.Attempt)).
		Uint64(uint64(c.Volume)).Uint32(uint32(c.Units*thousand + 0.5)).Uint32(uint32(max(c.Timeout.Milliseconds(), 1))).
		Byte(c.Idempotency).Uint64(uint64(c.OrderingKey)).Uint32(uint32(int32(c.Shard))).Text(c.IdempotencyKey).Byte(byte(c.Op)).Text(c.Name).
		Text(c.Owner).Uint64(c.Offset).Uint32(c.Length).Uint64(c.Version)
	return p.Tail(c.Data)
}

// DecodeCall reads a call, after the extension's name.
func DecodeCall(f *sftp.Fields) (*Call, error) {
	c := &Call{Gateway: f.Text(), RequestID: f.Text(), Attempt: int(f.Uint32()), Volume: int64(f.Uint64()),
		Units: float64(f.Uint32()) / thousand, Timeout: time.Duration(f.Uint32()) * time.Millisecond, Idempotency: f.Byte(),
		OrderingKey: int64(f.Uint64()), Shard: int(int32(f.Uint32())), IdempotencyKey: f.Text(), Op: Operation(f.Byte()), Name: f.Text(),
		Owner: f.Text(), Offset: f.Uint64(), Length: f.Uint32(), Version: f.Uint64(), Data: f.Bytes()}
	if err := f.Done(); err != nil {
		return nil, err
	}
	if c.Op < GetObject || c.Op > ListObjects {
		return nil, errors.New("no such operation")
	}
	return c, nil
}

// Packet writes the answer as a reply.
func (a *Reply) Packet(id uint32) *sftp.Packet {
	if a.ORCA {
		return sftp.New(sftp.ExtendedReply, id).Byte(byte(a.Outcome) | reported).Byte(byte(a.Status)).Uint64(a.Version).
			Uint32(uint32(a.Shard)).Text(a.report()).Text(a.Message).Tail(a.Data)
	}
	return sftp.New(sftp.ExtendedReply, id).Byte(byte(a.Outcome)).Byte(byte(a.Status)).Uint64(a.Version).
		Uint32(uint32(a.Shard)).Uint32(uint32(a.InFlight)).Uint32(uint32(a.Latency.Microseconds())).
		Uint32(uint32(a.UnitsElsewhere*thousand + 0.5)).Text(a.Message).Tail(a.Data)
}

// DecodeReply reads an answer, after the request's id.
func DecodeReply(f *sftp.Fields) (Reply, error) {
	first := f.Byte()
	a := Reply{Outcome: Outcome(first &^ reported), Status: Status(f.Byte()), Version: f.Uint64(), Shard: int(int32(f.Uint32()))}
	if first&reported != 0 {
		a.ReportErr = a.readReport(f.Bytes())
	} else {
		a.InFlight, a.Latency = int(f.Uint32()), time.Duration(f.Uint32())*time.Microsecond
		a.UnitsElsewhere = float64(f.Uint32()) / thousand
	}
	a.Message, a.Data = f.Text(), f.Bytes()
	if err := f.Done(); err != nil {
		return Reply{}, err
	}
	if a.Outcome > WrongShard || a.Status > VersionConflict {
		return Reply{}, errors.New("no such outcome")
	}
	return a, nil
}

// CancelPacket writes the request that asks a node to drop an execution that it has not begun. It has no answer.
func CancelPacket(id, exec uint32, c *Call) *sftp.Packet {
	return sftp.New(sftp.Extended, id).Text(CancelExtension).Uint32(exec).Text(c.RequestID).Uint32(uint32(c.Attempt))
}

// ListItem is one record or object of a list.
type ListItem struct {
	Name    string // a path, or an object
	Owner   string // of an object
	Version uint64 // of a record
	Age     uint32 // of an object since it was last written, in seconds
	Data    []byte
}

// EncodeItems writes a list as an answer's data.
func EncodeItems(items []ListItem) []byte {
	p := sftp.New(0, uint32(len(items)))
	for _, i := range items {
		p.Text(i.Name).Text(i.Owner).Uint64(i.Version).Uint32(i.Age).Text(string(i.Data))
	}
	return p.Body()
}

// DecodeItems reads such a list.
func DecodeItems(data []byte) (items []ListItem, err error) {
	f := sftp.NewFields(data)
	for n := f.Uint32(); n > 0 && f.Err == nil; n-- {
		items = append(items, ListItem{f.Text(), f.Text(), f.Uint64(), f.Uint32(), f.Bytes()})
	}
	return items, f.Done()
}
