package node

import (
	"time"

	"irispost/internal/sftp"
)

// Call is the request that one attempt sends to a node.
type Call struct {
	Gateway        string
	RequestID      string // unique among the requests of all gateways
	Attempt        int    // number of the attempt, from 0
	Volume         int64
	Units          float64
	Timeout        time.Duration // how long the client still waits; a node does not begin the call after that
	StartWithin    time.Duration // the call must begin within this time; 0: no limit; not part of the packet
	Idempotency    uint8         // 0 idempotent, 1 with an idempotency key, 2 not idempotent
	OrderingKey    int64         // requests with the same key run in order; 0: none
	Shard          int           // the shard that has to serve the call; below 0: any
	IdempotencyKey string        // by which a node recognizes a repeated request
	Headers        []string      // names and values alternating, passed on unchanged if the protocol has headers
	Op             Operation
	Name           string // of the object or record; for ListRecords of the folder
	Owner          string // the path that an object belongs to; for lists the name after which the list continues
	Offset         uint64 // in the object, in bytes
	Length         uint32 // bytes to read, or the maximum number of list items
	Version        uint64 // the version that a swap expects; 1 in a write: the object has to exist
	Data           []byte // to write or swap in
}

// Packet encodes the call as an SFTP request with the given ID. The packet refers to Data and does not copy it.
func (c *Call) Packet(id uint32) *sftp.Packet {
	return sftp.NewLong(sftp.Extended, id).
		Text(ExecExtension).
		Text(c.Gateway).
		Text(c.RequestID).
		Uint32(uint32(c.Attempt)).
		Uint64(uint64(c.Volume)).
		Uint32(uint32(c.Units*unitScale + 0.5)).
		Uint32(uint32(max(c.Timeout.Milliseconds(), 1))).
		Byte(c.Idempotency).
		Uint64(uint64(c.OrderingKey)).
		Uint32(uint32(int32(c.Shard))).
		Text(c.IdempotencyKey).
		Byte(byte(c.Op)).
		Text(c.Name).
		Text(c.Owner).
		Uint64(c.Offset).
		Uint32(c.Length).
		Uint64(c.Version).
		Tail(c.Data)
}

// DecodeCall decodes a call from the fields that follow the extension's name in an SFTP request.
func DecodeCall(fields *sftp.Fields) (*Call, error) {
	c := &Call{
		Gateway:        fields.Text(),
		RequestID:      fields.Text(),
		Attempt:        int(fields.Uint32()),
		Volume:         int64(fields.Uint64()),
		Units:          float64(fields.Uint32()) / unitScale,
		Timeout:        time.Duration(fields.Uint32()) * time.Millisecond,
		Idempotency:    fields.Byte(),
		OrderingKey:    int64(fields.Uint64()),
		Shard:          int(int32(fields.Uint32())),
		IdempotencyKey: fields.Text(),
		Op:             Operation(fields.Byte()),
		Name:           fields.Text(),
		Owner:          fields.Text(),
		Offset:         fields.Uint64(),
		Length:         fields.Uint32(),
		Version:        fields.Uint64(),
		Data:           fields.Bytes(),
	}
	if err := fields.Done(); err != nil {
		return nil, err
	}
	if c.Op < GetObject || c.Op > ListObjects {
		return nil, errUnknownOperation
	}
	return c, nil
}

// CancelPacket encodes a request that asks a node to drop an attempt that it has not begun. The node does not reply
// to it. callID is the SFTP request ID under which the attempt's call was sent on the same connection.
func CancelPacket(id, callID uint32, c *Call) *sftp.Packet {
	return sftp.New(sftp.Extended, id).
		Text(CancelExtension).
		Uint32(callID).
		Text(c.RequestID).
		Uint32(uint32(c.Attempt))
}
