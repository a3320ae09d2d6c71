package node

import (
	"time"

	"irispost/internal/sftp"
)

// Reply is a node's reply to a call, or the outcome that the client reports if no reply arrived.
type Reply struct {
	Outcome        Outcome
	Status         Status
	Version        uint64        // of the record
	Shard          int           // the shard that the node holds
	InFlight       int           // load report: requests that the node holds
	Latency        time.Duration // load report: recent service time, without time in the node's queue
	UnitsElsewhere float64       // units served to the volume through other gateways since the last reply to this one
	Message        string        // why the attempt failed
	Data           []byte        // content of an object or record, or an encoded list
	ORCA           bool          // the load report is encoded as an ORCA report
	ReportErr      error         // why the received load report is invalid; the rest of the reply is valid
}

// Packet encodes the reply to the SFTP request with the given ID. The packet refers to Data and does not copy it.
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

// DecodeReply decodes a reply from the fields that follow the request ID in an SFTP packet.
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

// ListItem is a record or an object in a list.
type ListItem struct {
	Name    string // path of a record or name of an object
	Owner   string // path that the object belongs to
	Version uint64 // of the record
	Age     uint32 // seconds since the object was last written
	Data    []byte // of the record
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
