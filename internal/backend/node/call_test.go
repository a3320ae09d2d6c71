package node_test

import (
	"reflect"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/sftp"
)

func TestCallIsDecodedAsItWasEncoded(t *testing.T) {
	call := node.Call{Gateway: "g", RequestID: "g/1:2#3", Attempt: 2, Volume: 9, Units: 1.25,
		Timeout: 70 * time.Millisecond, Idempotency: 1, OrderingKey: 77, Shard: -1, IdempotencyKey: "m",
		Op: node.PutObject, Name: "o", Owner: "/v/x", Offset: 5, Length: 6, Version: 7}
	fields := sftp.NewFields(call.Packet(4).Body())
	fields.Uint32() // request ID
	fields.Text()   // extension
	got, err := node.DecodeCall(fields)
	if err != nil {
		t.Fatal(err)
	}
	got.Data = nil
	if !reflect.DeepEqual(*got, call) {
		t.Errorf("call %+v is decoded as %+v, want an equal call", call, got)
	}
}

// FuzzDecode decodes arbitrary bytes as each message: no input makes a decoder panic, or return more than the input
// can hold.
func FuzzDecode(f *testing.F) {
	f.Add((&node.Call{RequestID: "j", Op: node.GetObject}).Packet(1).Body())
	f.Add((&node.Reply{Message: "x"}).Packet(1).Body())
	f.Add(node.EncodeItems([]node.ListItem{{Name: "a", Data: []byte("b")}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if call, err := node.DecodeCall(sftp.NewFields(b)); err == nil && call == nil {
			t.Error("DecodeCall returned neither a call nor an error")
		}
		if reply, err := node.DecodeReply(sftp.NewFields(b)); err == nil && len(reply.Data) > len(b) {
			t.Error("DecodeReply returned more data than the input has bytes")
		}
		if items, err := node.DecodeItems(b); err == nil && len(items) > len(b) {
			t.Error("DecodeItems returned more items than the input has bytes")
		}
	})
}
