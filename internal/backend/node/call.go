package node

import (
	"time"

	"irispost/internal/sftp"
)

// Call is the request of one attempt.
type Call struct {
	Gateway        string
	RequestID      string // unique among all requests of all gateways
	Attempt        int    // number of the attempt, from 0
	Volume         int64
	Units          float64
	Timeout        time.Duration // the time that the client still waits; a node does not begin it later
	StartWithin    time.Duration // it must not begin later than that from now; 0: no such limit
	Idempotency    uint8         // 0 idempotent, 1 with an idempotency key, 2 not idempotent
	OrderingKey    int64         // requests of one key run in order; 0: none
	Shard          int           // that has to serve it; below 0: any
	IdempotencyKey string        // by which a node recognises a repeat
	Headers        []string      // passed on unchanged, name and value in turn, where the protocol has headers
	Op             Operation
	Name           string // of the object or record; of the folder for ListRecords
	Owner          string // the path that an object belongs to; for lists the name after which the list goes on
	Offset         uint64 // in the object
	Length         uint32 // of a read in bytes, or items of a list at most
	Version        uint64 // that a swap expects; for a write, 1: the object has to exist
	Data           []byte // of a write or swap
}

// Packet encodes the call under the ID of an SFTP request. The packet refers to Data.
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

// DecodeCall decodes what follows the extension's name in a request.
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

// CancelPacket encodes the request that asks a node to drop an attempt that it has not begun. It has no reply. The
// attempt's call was sent under callID on the same connection.
func CancelPacket(id, callID uint32, c *Call) *sftp.Packet {
	return sftp.New(sftp.Extended, id).
		Text(CancelExtension).
		Uint32(callID).
		Text(c.RequestID).
		Uint32(uint32(c.Attempt))
}
