package layout

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"reflect"
	"testing"

	"irispost/internal/testkit/golden"
)

// Nodes store encoded records, so the encoding must not change, and stored records must remain readable.
func TestGoldenStoredRecords(t *testing.T) {
	extents := []Extent{{Shard: 1, Object: "g0-abc-1"}, {}, {Shard: 300, Object: "g1-abc-2"}}
	records := []Record{
		{},
		{Kind: Directory, State: Removing, Mode: 0o755, Modified: 1_700_000_000_000_000_001, ChangeID: "g0-abc-3"},
		{Kind: File, State: Live, Mode: 0o640, Size: 150_000, Modified: 1_700_000_000_000_000_002, ExtentSize: 64 << 10,
			ChangeID: "g0-abc-4", Extents: extents},
		{Kind: File, State: Moving, Mode: 0o640, Size: 150_000, Modified: -1, ExtentSize: 64 << 10, ChangeID: "g0-abc-5",
			MovePeer: "/meals/new", PeerVersion: 1 << 40, Extents: extents},
		{Kind: File, State: Arriving, Mode: 0o640, Size: 150_000, Modified: 1_700_000_000_000_000_003, ExtentSize: 64 << 10,
			ChangeID: "g0-abc-6", MovePeer: "/meals/old", PeerVersion: 7, LastMoveID: "g0-abc-5", Extents: extents},
		{Kind: Absent},
	}
	var out bytes.Buffer
	for i, record := range records {
		encoded := record.Encode()
		fmt.Fprintf(&out, "kind %d, state %d: %s\n", record.Kind, record.State, hex.EncodeToString(encoded))
		record.Version = uint64(i + 1)
		decoded, err := Decode(encoded, record.Version)
		if err != nil || !reflect.DeepEqual(*decoded, record) {
			t.Errorf("decoded record: got %+v, %v, want %+v", decoded, err, record)
		}
	}
	golden.Check(t, "records.txt", out.Bytes())
}
