package serve_test

import (
	"bytes"
	"testing"

	"irispost/internal/sftp"
	"irispost/internal/testkit"
)

// TestSweepRemovesOnlyOrphans: a gateway that is killed between the write of an extent and its record leaves an orphan;
// a sweep removes it, and nothing else.
func TestSweepRemovesOnlyOrphans(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 2, 2, nil)
	if err := put(w.Client(1), "/meals/kept", random(1, 100_000)); err != nil {
		t.Fatal(err)
	}
	if err := w.Client(1).Rename("/meals/kept", "/meals/moved"); err != nil {
		t.Fatal(err)
	}
	inUse := w.Stores[0].Objects() + w.Stores[1].Objects()
	conn := dialRaw(t, w, 0)
	conn.hello()
	handle := conn.open("/meals/lost", sftp.FlagWrite|sftp.FlagCreate)
	conn.send(sftp.Write, func(p *sftp.Packet) { p.Text(handle).Uint64(0).Tail(random(2, 1000)) })
	if code, text := conn.status(); code != sftp.OK {
		t.Fatal(text)
	}
	if n := w.Stores[0].Objects() + w.Stores[1].Objects(); n != inUse+1 {
		t.Fatalf("%d objects, %d were there", n, inUse)
	}
	w.Gateways[0].Loop.Stop() // no commit gets through any more
	w.Gateways[0].Kill()
	w.Gateways = w.Gateways[1:]
	seen, removed := 0, 0
	for shard := range 2 {
		s, r, err := w.Gateways[0].Frontend.Sweep(shard, 0)
		if err != nil {
			t.Fatal(err)
		}
		seen, removed = seen+s, removed+r
	}
	if seen != inUse+1 || removed != 1 {
		t.Errorf("%d objects seen, %d removed; %d are in use", seen, removed, inUse)
	}
	if got, err := get(w.Client(0), "/meals/moved"); err != nil || !bytes.Equal(got, random(1, 100_000)) {
		t.Errorf("after the sweep: %d bytes, %v", len(got), err)
	}
}
