package node

import (
	"time"

	"irispost/internal/sftp"
)

// Reply is a node's reply to a call, or what stands for it where none came.
type Reply struct {
	Outcome        Outcome
	Status         Status
	Version        uint64        // of the record
	Shard          int           // the node's
	InFlight       int           // load report: requests that the node holds
	Latency        time.Duration // load report: recent service time, without waiting
	UnitsElsewhere float64       // units served the volume through other gateways since the last reply to this one
	Message        string        // why it failed
	Data           []byte        // bytes of an object, a record or a list
	ORCA           bool          // the load report is encoded in ORCA form
	ReportErr      error         // why the load report that came is invalid; the reply counts all the same
}

// Packet encodes the reply to the request of an ID. The packet refers to Data.
func (r *Reply) Packet(id uint32) *sftp.Packet {
	p := sftp.New(sftp.ExtendedReply, id)
	if r.ORCA {
		return p.
			Byte(byte(r.Outcome) | orcaFlag).
			Byte(byte(r.Status)).
			Uint64(r.Version).
			Uint32(uint32(r.Shard)).
			Text(r.encodeReport()).
			Text(r.Message).
			Tail(r.Data)
	}
	return p.
		Byte(byte(r.Outcome)).
		Byte(byte(r.Status)).
		Uint64(r.Version).
		Uint32(uint32(r.Shard)).
		Uint32(uint32(r.InFlight)).
		Uint32(uint32(r.Latency.Microseconds())).
		Uint32(uint32(r.UnitsElsewhere*unitScale + 0.5)).
		Text(r.Message).
		Tail(r.Data)
}

// DecodeReply decodes what follows the request's ID in a reply.
func DecodeReply(fields *sftp.Fields) (Reply, error) {
	outcome := fields.Byte()
	r := Reply{
		Outcome: Outcome(outcome &^ orcaFlag),
		Status:  Status(fields.Byte()),
		Version: fields.Uint64(),
		Shard:   int(int32(fields.Uint32())),
	}
	if outcome&orcaFlag != 0 {
		r.ReportErr = r.decodeReport(fields.Bytes())
	} else {
		r.InFlight = int(fields.Uint32())
		r.Latency = time.Duration(fields.Uint32()) * time.Microsecond
		r.UnitsElsewhere = float64(fields.Uint32()) / unitScale
	}
	r.Message = fields.Text()
	r.Data = fields.Bytes()
	if err := fields.Done(); err != nil {
		return Reply{}, err
	}
	if r.Outcome > WrongShard || r.Status > VersionConflict {
		return Reply{}, errUnknownOutcome
	}
	return r, nil
}

// ListItem is one record or object of a list.
type ListItem struct {
	Name    string // path of a record, or name of an object
	Owner   string // path that an object belongs to
	Version uint64 // of a record
	Age     uint32 // seconds since an object was last written
	Data    []byte // of a record
}

// EncodeItems encodes a list as the data of a reply.
func EncodeItems(items []ListItem) []byte {
	p := sftp.New(0, uint32(len(items)))
	for _, item := range items {
		p.Text(item.Name).Text(item.Owner).Uint64(item.Version).Uint32(item.Age).Text(string(item.Data))
	}
	return p.Body()
}

// DecodeItems decodes the list in the data of a reply.
func DecodeItems(data []byte) (items []ListItem, err error) {
	f := sftp.NewFields(data)
	for n := f.Uint32(); n > 0 && f.Err == nil; n-- {
		items = append(items, ListItem{
			Name:    f.Text(),
			Owner:   f.Text(),
			Version: f.Uint64(),
			Age:     f.Uint32(),
			Data:    f.Bytes(),
		})
	}
	return items, f.Done()
}
