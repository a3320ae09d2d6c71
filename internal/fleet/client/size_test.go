package client

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/loopback"
)

// TestMain has the test's own binary be a keeper where it is started as one.
func TestMain(m *testing.M) {
	if args := strings.Fields(os.Getenv("IRISPOST_TEST_KEEPER")); len(args) > 0 {
		o := replica.Options{Peers: map[uint64]string{}, Dir: args[1], LeaseSettings: lease.Settings{LeaseDuration: 2e9, MaxClockDrift: 0.01}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
		o.ID, _ = strconv.ParseUint(args[0], 10, 64)
		for i, addr := range args[2:] {
			o.Peers[uint64(i+1)] = addr
		}
		o.Listen = o.Peers[o.ID]
		if limit, err := strconv.ParseUint(os.Getenv("IRISPOST_TEST_DISK"), 10, 64); err == nil { // no file grows past it, as on a full disk
			signal.Ignore(unix.SIGXFSZ)
			if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: limit, Max: limit}); err != nil {
				panic(err)
			}
		}
		k, err := replica.Start(o)
		for tries := 0; err != nil && tries < 200; tries++ { // its address may be taken for a moment
			time.Sleep(20 * time.Millisecond)
			k, err = replica.Start(o)
		}
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println("serves")
		<-k.Done()
		fmt.Println(k.Err())
		os.Exit(3)
	}
	os.Exit(m.Run())
}

// processes are keepers of their own.
func processes(t *testing.T, more ...string) (addrs []string, list []*exec.Cmd) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var held []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", loopback.Own()+":0")
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, l)
		addrs = append(addrs, l.Addr().String())
	}
	dir := t.TempDir()
	for i := range 3 {
		held[i].Close()
		cmd := exec.Command(self)
		cmd.Env = append(os.Environ(), fmt.Sprintf("IRISPOST_TEST_KEEPER=%d %s/%d %s", i+1, dir, i+1, strings.Join(addrs, " ")))
		cmd.Stdout = &bytes.Buffer{}
		if i == 0 {
			cmd.Env = append(cmd.Env, more...)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		list = append(list, cmd)
		t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	}
	return addrs, list
}

func numbered(n int) []byte {
	r := &configversion.Config{RequiredFormat: 1, Shards: 100, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: float64(n)}}, Dispatch: configversion.DispatchPolicy{MaxAttempts: 1},
		RequestClasses: map[string]configversion.RequestClass{}, Nodes: map[string]configversion.Node{}}
	for i := range 100 {
		r.Nodes[fmt.Sprintf("10.0.0.%d:7000", i)] = configversion.Node{Shard: i, Zone: "a"}
	}
	return r.Canonical()
}
