package replica

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/loopback"
)

// home is three keepers' folders and addresses.
type home struct {
	t       *testing.T
	dir     string
	peers   map[uint64]string
	up      map[uint64]*Replica
	joins   uint64         // the one that did not found the fleet
	forms   map[uint64]int // of keepers that know an older form of entries
	compact uint64         // 20 where it is not set
	tick    time.Duration
	quiet   bool
}

func newHome(t *testing.T) *home {
	h := &home{t: t, dir: t.TempDir(), peers: map[uint64]string{}, up: map[uint64]*Replica{}, compact: 20, tick: 10 * time.Millisecond}
	for id := uint64(1); id <= 3; id++ {
		l, err := net.Listen("tcp", loopback.Own()+":0")
		if err != nil {
			t.Fatal(err)
		}
		h.peers[id] = l.Addr().String()
		l.Close()
	}
	t.Cleanup(func() {
		for _, k := range h.up {
			k.Close()
		}
	})
	return h
}

func (h *home) folder(id uint64) string { return filepath.Join(h.dir, fmt.Sprint(id)) }

func (h *home) start(id uint64) error {
	var k *Replica
	var err error
	to := io.Writer(os.Stderr)
	if h.quiet {
		to = io.Discard
	}
	for range 200 { // the address of a keeper that has just ended may be taken for a moment
		k, err = Start(Options{ID: id, Listen: h.peers[id], Peers: maps.Clone(h.peers), Joining: id == h.joins, Dir: h.folder(id), LeaseSettings: lease.Settings{LeaseDuration: 3e8, MaxClockDrift: 0.01},
			TickInterval: h.tick, CompactionEntries: h.compact, Logger: slog.New(slog.NewTextHandler(to, nil)), form: h.forms[id]})
		if err == nil || !strings.Contains(err.Error(), "in use") {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err == nil {
		h.up[id] = k
	}
	return err
}

func (h *home) must(ids ...uint64) {
	h.t.Helper()
	for _, id := range ids {
		if err := h.start(id); err != nil {
			h.t.Fatal(err)
		}
	}
}

func (h *home) stop(ids ...uint64) {
	for _, id := range ids {
		h.up[id].Close()
		delete(h.up, id)
	}
}

func (h *home) client() *Client {
	c := &Client{Timeout: 30 * time.Second}
	for _, addr := range h.peers {
		c.Replicas = append(c.Replicas, addr)
	}
	return c
}

func some(limit float64) []byte {
	r := &configversion.Config{RequiredFormat: 1, Shards: 1, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: limit}}, Dispatch: configversion.DispatchPolicy{MaxAttempts: 1},
		RequestClasses: map[string]configversion.RequestClass{}, Nodes: map[string]configversion.Node{}}
	return r.Canonical()
}

// A keeper that was started from an older copy of its folder would vote twice; one with another's folder would vote for it.
func TestFoldersThatAreRefused(t *testing.T) {
	h := newHome(t)
	h.must(1, 2, 3)
	c := h.client()
	if _, err := c.Propose(&lease.Proposal{ID: "a", Content: some(1)}); err != nil {
		t.Fatal(err)
	}
	h.stop(3)
	old, err := os.ReadFile(filepath.Join(h.folder(3), "keeper.db"))
	if err != nil {
		t.Fatal(err)
	}
	h.must(3)
	if _, err := c.Propose(&lease.Proposal{ID: "b", Parent: 1, ReplacePending: true, Content: some(2)}); err != nil {
		t.Fatal(err)
	}
	h.stop(3)
	now, _ := os.ReadFile(filepath.Join(h.folder(3), "keeper.db"))
	os.WriteFile(filepath.Join(h.folder(3), "keeper.db"), old, 0o600)
	h.must(3)
	<-h.up[3].Done()
	if err := h.up[3].Err(); !errors.Is(err, ErrStaleIncarnation) {
		t.Errorf("an older copy: %v", err)
	}
	delete(h.up, 3)
	h.stop(2)
	two, _ := os.ReadFile(filepath.Join(h.folder(2), "keeper.db"))
	os.WriteFile(filepath.Join(h.folder(2), "keeper.db"), now, 0o600)
	if err := h.start(2); err == nil || !strings.Contains(err.Error(), "belongs to keeper 3") {
		t.Errorf("another's folder: %v", err)
	}
	for part := 1; part < 16; part++ {
		torn := t.TempDir()
		os.WriteFile(filepath.Join(torn, "keeper.db"), now[:len(now)*part/16], 0o600)
		if s, err := openStore(torn, 3, []uint64{1, 2, 3}); err == nil {
			size := int64(0)
			s.db.View(func(tx *bbolt.Tx) error { size = tx.Size(); return nil })
			if size > int64(len(now)*part/16) { // what was cut off was in use
				t.Errorf("%d of 16 parts of a folder are taken for one", part)
			}
			s.db.Close()
		} else if !strings.Contains(err.Error(), "cannot be read") {
			t.Errorf("a torn folder: %v", err)
		}
	}
	os.WriteFile(filepath.Join(h.folder(2), "keeper.db"), two, 0o600)
	os.WriteFile(filepath.Join(h.folder(3), "keeper.db"), now, 0o600)
	h.must(2, 3)
	if list, err := c.Versions(1); err != nil || len(list) != 2 {
		t.Errorf("%d versions after all: %v", len(list), err)
	}
}
