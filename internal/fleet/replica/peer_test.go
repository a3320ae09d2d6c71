package replica

import (
	"errors"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Messages are decoded as they were encoded; if the body is truncated within a message, none is returned.
func TestDecodeMessagesTakesAllOrNone(t *testing.T) {
	messages := []*raftpb.Message{
		{To: proto.Uint64(2), From: proto.Uint64(1), Term: proto.Uint64(3)},
		{To: proto.Uint64(2), Index: proto.Uint64(7)},
	}
	body, err := encodeMessages(messages)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decodeMessages(body)
	if err != nil || len(decoded) != len(messages) {
		t.Fatalf("decoded %d messages, want 2; error %v", len(decoded), err)
	}
	for i, message := range decoded {
		if !proto.Equal(message, messages[i]) {
			t.Errorf("message %d: got %v, want %v", i, message, messages[i])
		}
	}
	first, err := encodeMessages(messages[:1])
	if err != nil {
		t.Fatal(err)
	}
	for length := 1; length < len(body); length++ {
		if length == len(first) {
			continue // the end of a message
		}
		if list, err := decodeMessages(body[:length]); !errors.Is(err, errTruncatedMessages) || list != nil {
			t.Errorf("with %d of %d bytes: got %d messages, error %v; want none, errTruncatedMessages",
				length, len(body), len(list), err)
		}
	}
}
