package serve_test

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/config"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/serve"
	"irispost/internal/testkit"
)

// A gateway that follows serves by the version in force, says what it acts on, and in what its own configuration contradicts it; with
// its keeper gone and no floor it serves nothing, at once and with an answer; with the keeper back it serves again.
func TestGatewayFollows(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 2, 0, nil)
	dir, quiet := t.TempDir(), slog.New(slog.NewTextHandler(io.Discard, nil))
	addr := ""
	keeper := func() *replica.Replica {
		o := replica.Options{ID: 1, Listen: "127.0.0.1:0", Peers: map[uint64]string{1: "-"}, Dir: dir, LeaseSettings: lease.Settings{LeaseDuration: 5e8, MaxClockDrift: 0.01},
			TickInterval: 10 * time.Millisecond, Logger: quiet}
		if addr != "" {
			o.Listen = addr
		}
		var k *replica.Replica
		until(func() bool { // its address may be taken for a moment
			var err error
			k, err = replica.Start(o)
			return err == nil
		})
		addr = k.Addr()
		return k
	}
	k := keeper()
	defer func() { k.Close() }()
	contents := filepath.Join(t.TempDir(), "contents")
	conf := strings.Replace(testkit.Conf, `nodes    = "-"`, "", 1) + fmt.Sprintf("follow {\n  keepers = [%q]\n  pause   = \"50ms\"\n  dir     = %q\n}\n", addr, contents)
	c, err := config.Parse("test.hcl", fmt.Appendf(nil, conf, "g", 2))
	if err != nil {
		t.Fatal(err)
	}
	r := &configversion.Config{RequiredFormat: 1, Shards: 2, MeanRequestUnits: 1}
	r.SetFromSettings(c.Settings)
	for i, n := range w.Nodes {
		r.Nodes[n.Addr()] = configversion.Node{Shard: i}
	}
	client := &replica.Client{Replicas: []string{addr}, Timeout: 30 * time.Second}
	propose := func(parent uint64) {
		if _, err := client.Propose(&lease.Proposal{ID: fmt.Sprint(parent), Parent: parent, ReplacePending: true, Content: r.Canonical()}); err != nil {
			t.Fatal(err)
		}
	}
	propose(0)
	file := filepath.Join(t.TempDir(), "log")
	log, err := os.Create(file)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	has := func(text string) bool {
		b, _ := os.ReadFile(file)
		return strings.Contains(string(b), text)
	}
	g, err := serve.StartWithSources(c, nil, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	w.Gateways = append(w.Gateways, g)
	sftp := w.Client(0)
	if err := sftp.Mkdir("/meals/week"); err != nil {
		t.Fatal(err)
	}
	stands := func(what string) {
		until(func() bool {
			s, err := g.Status()
			if err != nil {
				t.Fatal(err)
			}
			return strings.HasPrefix(s.Version, what)
		})
	}
	stands("acting on 1.")
	if has("contradicts it") {
		t.Error("the same settings are said to contradict")
	}
	p := r.ServiceLevels["basic"]
	p.RateLimit, p.Burst = 7, 7
	r.ServiceLevels["basic"] = p
	propose(1)
	stands("acting on 2.")
	until(func() bool { return has("version 2.") && has("limit none over 7") })
	k.Close()
	stands("ended on none")
	if err := sftp.Mkdir("/meals/month"); err == nil {
		t.Error("it serves by rules that may be out of force")
	}
	k = keeper()
	stands("acting on 2.")
	until(func() bool { // its last content is on disk
		list, _ := filepath.Glob(filepath.Join(contents, "*"))
		return len(list) == 1 && filepath.Base(list[0]) == r.Digest()+".rules"
	})
	testkit.RetryUntilDone(t, "it serves again", func() error { return sftp.Mkdir("/meals/year") })
}
