package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/sftp"
	"irispost/internal/testkit/golden"
)

// packetHex returns the bytes of a packet as they are sent, in hexadecimal, 32 bytes per line.
func packetHex(t *testing.T, p *sftp.Packet) string {
	t.Helper()
	var packet, out strings.Builder
	if err := p.WriteOut(&packet); err != nil {
		t.Fatal(err)
	}
	for rest := packet.String(); rest != ""; {
		n := min(len(rest), 32)
		fmt.Fprintf(&out, "  % x\n", rest[:n])
		rest = rest[n:]
	}
	return out.String()
}

// TestMessagesMatchGolden compares the bytes of each message and the numbers and names of the protocol with the
// golden file.
func TestMessagesMatchGolden(t *testing.T) {
	var out strings.Builder
	calls := []node.Call{
		{},
		{Gateway: "g", RequestID: "g/1:2#3", Attempt: 2, Volume: 9, Units: 1.25, Timeout: 70 * time.Millisecond,
			StartWithin: time.Second, Idempotency: 1, OrderingKey: 77, Shard: -1, IdempotencyKey: "m",
			Headers: []string{"a", "b"}, Op: node.PutObject, Name: "o", Owner: "/v/x", Offset: 5, Length: 6, Version: 7,
			Data: []byte("data")},
		{Gateway: "gateway-2", RequestID: "j", Attempt: 1, Volume: -1, Units: 0.0005, Timeout: time.Microsecond,
			Idempotency: 2, OrderingKey: -1, Shard: 1 << 20, Op: node.CompareAndSwapRecord, Name: "/v/x"},
	}
	for i, call := range calls {
		fmt.Fprintf(&out, "call %d\n%s", i, packetHex(t, call.Packet(uint32(4+i))))
		fmt.Fprintf(&out, "cancel %d\n%s", i, packetHex(t, node.CancelPacket(9, uint32(4+i), &call)))
	}
	reply := node.Reply{Outcome: node.Executed, Status: node.VersionConflict, Version: 7, Shard: 3, InFlight: 5,
		Latency: 1500 * time.Microsecond, UnitsElsewhere: 2.25, Message: "why", Data: []byte("data")}
	for _, orca := range []bool{false, true} {
		reply.ORCA = orca
		fmt.Fprintf(&out, "answer, ORCA %t\n%s", orca, packetHex(t, reply.Packet(9)))
	}
	items := []node.ListItem{{Name: "/v/x", Version: 3, Data: []byte("record")}, {Name: "o", Owner: "/v/x", Age: 60}}
	fmt.Fprintf(&out, "items\n  % x\n", node.EncodeItems(items))
	operations := []node.Operation{node.GetObject, node.PutObject, node.DeleteObject, node.GetRecord,
		node.CompareAndSwapRecord, node.ListRecords, node.ListObjects}
	for _, op := range operations {
		fmt.Fprintf(&out, "operation %d writes %t\n", op, op.Writes())
	}
	fmt.Fprintf(&out, "operations %d\n", operations)
	fmt.Fprintf(&out, "codes %d\n", []node.Status{node.OK, node.NotFound, node.VersionConflict})
	fmt.Fprintf(&out, "outcomes %d\n", []node.Outcome{node.Failed, node.Executed, node.QueueFull, node.WrongShard,
		node.ConnectFailed, node.ConnectionReset})
	fmt.Fprintf(&out, "extensions %s %s\n", node.ExecExtension, node.CancelExtension)
	fmt.Fprintf(&out, "metrics %s %s %s\n", node.InFlightMetric, node.LatencyMetric, node.UnitsElsewhereMetric)
	golden.Check(t, "messages.txt", []byte(out.String()))
}
