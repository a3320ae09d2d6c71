package client

import (
	"bytes"
	"fmt"
	"log/slog"
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
	"irispost/internal/testkit/testaddr"
)

// Environment variables of a test process that runs as a replica.
const (
	replicaEnv   = "IRISPOST_TEST_KEEPER" // the replica's ID, its folder and the addresses of all replicas
	diskLimitEnv = "IRISPOST_TEST_DISK"   // size limit of files in bytes, to simulate a full disk
)

// failedReplicaExitCode is the exit code of a replica process whose replica has failed.
const failedReplicaExitCode = 3

// TestMain runs a replica in place of the tests if the environment asks for it, so that tests can start their own
// binary as a replica process.
func TestMain(m *testing.M) {
	if args := strings.Fields(os.Getenv(replicaEnv)); len(args) > 0 {
		os.Exit(replicaMain(args[0], args[1], args[2:]))
	}
	os.Exit(m.Run())
}

// replicaMain runs a replica until it fails, and returns the exit code of the process.
func replicaMain(id, dir string, addrs []string) int {
	options := replica.Options{Peers: map[uint64]string{}, Dir: dir, Logger: slog.New(slog.DiscardHandler),
		LeaseSettings: lease.Settings{LeaseDuration: int64(2 * time.Second), MaxClockDrift: 0.01}}
	var err error
	if options.ID, err = strconv.ParseUint(id, 10, 64); err != nil {
		fmt.Println(err)
		return 1
	}
	for i, addr := range addrs {
		options.Peers[uint64(i+1)] = addr
	}
	options.Listen = options.Peers[options.ID]
	if err := limitFileSize(os.Getenv(diskLimitEnv)); err != nil {
		fmt.Println(err)
		return 1
	}
	server, err := replica.Start(options)
	for attempt := 0; err != nil && attempt < 200; attempt++ { // its address may still be in use for a moment
		time.Sleep(20 * time.Millisecond)
		server, err = replica.Start(options)
	}
	if err != nil {
		fmt.Println(err)
		return 1
	}
	fmt.Println("serves")
	<-server.Done()
	fmt.Println(server.Err())
	return failedReplicaExitCode
}

// limitFileSize limits the size of the files of this process, in bytes; "": no limit.
func limitFileSize(text string) error {
	if text == "" {
		return nil
	}
	limit, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return err
	}
	signal.Ignore(unix.SIGXFSZ)
	return unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: limit, Max: limit})
}

// startProcess starts a command that is killed at the end of the test.
func startProcess(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { killProcess(cmd) })
}

// killProcess kills a process, which may already have ended, and waits for it.
func killProcess(cmd *exec.Cmd) {
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// startReplicaProcesses starts three replicas as processes. extraEnv is added to the environment of the first.
func startReplicaProcesses(t *testing.T, extraEnv ...string) (addrs []string, processes []*exec.Cmd) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		addrs = append(addrs, testaddr.Reserve(t))
	}
	dir := t.TempDir()
	for i := range 3 {
		cmd := exec.Command(self)
		cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d %s/%d %s", replicaEnv, i+1, dir, i+1, strings.Join(addrs, " ")))
		cmd.Stdout = &bytes.Buffer{}
		if i == 0 {
			cmd.Env = append(cmd.Env, extraEnv...)
		}
		startProcess(t, cmd)
		processes = append(processes, cmd)
	}
	return addrs, processes
}

// numberedContent returns the content of a version with 100 nodes; n is a rate limit, so that contents differ by n.
func numberedContent(n int) []byte {
	config := &configversion.Config{
		RequiredFormat: 1, Shards: 100, MeanRequestUnits: 1,
		ServiceLevels:  map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: float64(n)}},
		Dispatch:       configversion.DispatchPolicy{MaxAttempts: 1},
		RequestClasses: map[string]configversion.RequestClass{},
		Nodes:          map[string]configversion.Node{},
	}
	for i := range 100 {
		config.Nodes[fmt.Sprintf("10.0.0.%d:7000", i)] = configversion.Node{Shard: i, Zone: "a"}
	}
	return config.Canonical()
}
