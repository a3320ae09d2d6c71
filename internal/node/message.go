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

// Op is what an execution does at a node.
type Op uint8

const (
	Get     Op = iota + 1 // bytes of an object
	Put                   // bytes of an object, at an offset; the object is made where there is none
	Drop                  // an object
	Look                  // a record
	Swap                  // a record, if it has the version; without data it is removed
	List                  // records of a folder, from a name on
	Objects               // objects from a name on, for the sweep
)

// Writes tells whether the operation changes something.
func (o Op) Writes() bool { return o == Put || o == Drop || o == Swap }

// Code is what became of an operation that was carried out.
type Code uint8

const (
	Done     Code = iota
	None          // there is no such object or record
	Conflict      // the record has another version, which the answer holds
)

// Outcome is how an execution ended, as far as node and connection can tell.
type Outcome uint8

const (
	Erred       Outcome = iota // the node failed it, and may have carried it out
	Served                     // the node carried it out; Code says with what result
	Full                       // the node's queue is full; it never ran
	Moot                       // the node does not hold the shard; it never ran
	Unconnected                // no connection came up; it never ran
	Reset                      // the connection broke while it was out; it may have run
)

// Call is one execution.
type Call struct {
	Gateway string
	Job     string // unique among all jobs of all gateways
	Number  int    // of the execution, from 0
	Volume  int64
	Units   float64
	Left    time.Duration // the time that the client still waits; a node does not begin it later
	Within  time.Duration // it must not begin later than that from now; 0: no such time
	Kind    uint8         // 0 replayable, 1 referenced, 2 single-use
	Key     int64         // jobs of one key run in order; 0 for none
	Shard   int           // that has to serve it; below 0 for any
	Mark    string        // by which a repeat is known
	Head    []string      // further fields that pass on unchanged, name and value in turn, where the protocol has such
	Op      Op
	Name    string // of the object or record
	Owner   string // the path that an object belongs to
	Offset  uint64
	Length  uint32
	Version uint64
	Data    []byte
}

// Answer is a node's answer to an execution, or what stands for it.
type Answer struct {
	Outcome  Outcome
	Code     Code
	Version  uint64
	Shard    int           // the node's
	Inflight int           // jobs that the node holds
	Latency  time.Duration // its recent service time, without waiting
	Others   float64       // units served the volume through other gateways since the last answer to this one
	Text     string        // why it failed
	Data     []byte
	Orca     bool  // its load report goes out in ORCA form
	Report   error // what is wrong with the load report that came; the answer counts all the same
}

const thousand = 1000

// Packet writes the call as a request.
func (c *Call) Packet(id uint32) *sftp.Packet {
	p := sftp.NewLong(sftp.Extended, id).Text(ExecExtension).Text(c.Gateway).Text(c.Job).Uint32(uint32(c.Number)).
		Uint64(uint64(c.Volume)).Uint32(uint32(c.Units*thousand + 0.5)).Uint32(uint32(max(c.Left.Milliseconds(), 1))).
		Byte(c.Kind).Uint64(uint64(c.Key)).Uint32(uint32(int32(c.Shard))).Text(c.Mark).Byte(byte(c.Op)).Text(c.Name).
		Text(c.Owner).Uint64(c.Offset).Uint32(c.Length).Uint64(c.Version)
	return p.Tail(c.Data)
}

// ReadCall reads a call, after the extension's name.
func ReadCall(f *sftp.Fields) (*Call, error) {
	c := &Call{Gateway: f.Text(), Job: f.Text(), Number: int(f.Uint32()), Volume: int64(f.Uint64()),
		Units: float64(f.Uint32()) / thousand, Left: time.Duration(f.Uint32()) * time.Millisecond, Kind: f.Byte(),
		Key: int64(f.Uint64()), Shard: int(int32(f.Uint32())), Mark: f.Text(), Op: Op(f.Byte()), Name: f.Text(),
		Owner: f.Text(), Offset: f.Uint64(), Length: f.Uint32(), Version: f.Uint64(), Data: f.Bytes()}
	if err := f.Done(); err != nil {
		return nil, err
	}
	if c.Op < Get || c.Op > Objects {
		return nil, errors.New("no such operation")
	}
	return c, nil
}

// Packet writes the answer as a reply.
func (a *Answer) Packet(id uint32) *sftp.Packet {
	if a.Orca {
		return sftp.New(sftp.ExtendedReply, id).Byte(byte(a.Outcome) | reported).Byte(byte(a.Code)).Uint64(a.Version).
			Uint32(uint32(a.Shard)).Text(a.report()).Text(a.Text).Tail(a.Data)
	}
	return sftp.New(sftp.ExtendedReply, id).Byte(byte(a.Outcome)).Byte(byte(a.Code)).Uint64(a.Version).
		Uint32(uint32(a.Shard)).Uint32(uint32(a.Inflight)).Uint32(uint32(a.Latency.Microseconds())).
		Uint32(uint32(a.Others*thousand + 0.5)).Text(a.Text).Tail(a.Data)
}

// ReadAnswer reads an answer, after the request's id.
func ReadAnswer(f *sftp.Fields) (Answer, error) {
	first := f.Byte()
	a := Answer{Outcome: Outcome(first &^ reported), Code: Code(f.Byte()), Version: f.Uint64(), Shard: int(int32(f.Uint32()))}
	if first&reported != 0 {
		a.Report = a.readReport(f.Bytes())
	} else {
		a.Inflight, a.Latency = int(f.Uint32()), time.Duration(f.Uint32())*time.Microsecond
		a.Others = float64(f.Uint32()) / thousand
	}
	a.Text, a.Data = f.Text(), f.Bytes()
	if err := f.Done(); err != nil {
		return Answer{}, err
	}
	if a.Outcome > Moot || a.Code > Conflict {
		return Answer{}, errors.New("no such outcome")
	}
	return a, nil
}

// Cancel writes the request that asks a node to drop an execution that it has not begun. It has no answer.
func Cancel(id, exec uint32, c *Call) *sftp.Packet {
	return sftp.New(sftp.Extended, id).Text(CancelExtension).Uint32(exec).Text(c.Job).Uint32(uint32(c.Number))
}

// Item is one record or object of a list.
type Item struct {
	Name    string // a path, or an object
	Owner   string // of an object
	Version uint64 // of a record
	Age     uint32 // of an object since it was last written, in seconds
	Data    []byte
}

// PutItems writes a list as an answer's data.
func PutItems(items []Item) []byte {
	p := sftp.New(0, uint32(len(items)))
	for _, i := range items {
		p.Text(i.Name).Text(i.Owner).Uint64(i.Version).Uint32(i.Age).Text(string(i.Data))
	}
	return p.Body()
}

// GetItems reads such a list.
func GetItems(data []byte) (items []Item, err error) {
	f := sftp.NewFields(data)
	for n := f.Uint32(); n > 0 && f.Err == nil; n-- {
		items = append(items, Item{f.Text(), f.Text(), f.Uint64(), f.Uint32(), f.Bytes()})
	}
	return items, f.Done()
}
