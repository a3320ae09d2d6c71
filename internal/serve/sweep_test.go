package serve_test

import (
	"bytes"
	"testing"

	"irispost/internal/sftp"
	"irispost/internal/testkit"
)

// TestSweepRemovesOnlyOrphans: a gateway that is killed after it wrote an extent and before it wrote the file's record
// leaves an orphaned object. A sweep removes this object and nothing else.
func TestSweepRemovesOnlyOrphans(t *testing.T) {
	testbed := testkit.Start(t, testkit.Conf, 2, 2, nil)
	if err := put(testbed.Client(1), "/meals/kept", randomBytes(1, 100_000)); err != nil {
		t.Fatal(err)
	}
	if err := testbed.Client(1).Rename("/meals/kept", "/meals/moved"); err != nil {
		t.Fatal(err)
	}
	inUse := testbed.Stores[0].ObjectCount() + testbed.Stores[1].ObjectCount()
	conn := dialRaw(t, testbed, 0)
	conn.handshake()
	handle := conn.open("/meals/lost", sftp.FlagWrite|sftp.FlagCreate)
	conn.send(sftp.Write, func(p *sftp.Packet) { p.Text(handle).Uint64(0).Tail(randomBytes(2, 1000)) })
	if code, text := conn.receiveStatus(); code != sftp.OK {
		t.Fatal(text)
	}
	if n := testbed.Stores[0].ObjectCount() + testbed.Stores[1].ObjectCount(); n != inUse+1 {
		t.Fatalf("%d objects after the write, want one more than the previous %d", n, inUse)
	}
	testbed.Gateways[0].Loop.Stop() // no commit succeeds after this
	testbed.Gateways[0].Kill()
	testbed.Gateways = testbed.Gateways[1:]
	scanned, removed := 0, 0
	for shard := range 2 {
		s, r, err := testbed.Gateways[0].Frontend.Sweep(shard, 0)
		if err != nil {
			t.Fatal(err)
		}
		scanned, removed = scanned+s, removed+r
	}
	if scanned != inUse+1 || removed != 1 {
		t.Errorf("%d objects scanned, %d removed, want all scanned and 1 removed; %d are in use", scanned, removed, inUse)
	}
	if got, err := get(testbed.Client(0), "/meals/moved"); err != nil || !bytes.Equal(got, randomBytes(1, 100_000)) {
		t.Errorf("after the sweep: read %d bytes, error %v, want the original content", len(got), err)
	}
}
