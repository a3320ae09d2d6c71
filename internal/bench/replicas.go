package bench

import (
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"irispost/internal/config"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

const (
	replicaCount   = 3
	proposeTimeout = 20 * time.Second
)

// replicaGroup is a group of replicas, each in a process of its own.
type replicaGroup struct {
	addrs    []string
	commands []*exec.Cmd
}

// startReplicas starts the replicas and proposes the benchmark's settings and its node as the first version.
func startReplicas(program, dir, nodeAddr string) (*replicaGroup, error) {
	group := &replicaGroup{}
	if err := group.start(program, dir); err != nil {
		group.stop()
		return nil, err
	}
	if err := group.proposeFirst(nodeAddr); err != nil {
		group.stop()
		return nil, err
	}
	return group, nil
}

// start starts the processes. A listener reserves each replica's port until just before the replica starts, since all
// replicas need the addresses of their peers.
func (g *replicaGroup) start(program, dir string) error {
	var peers []string
	var reserved []net.Listener
	defer func() {
		for _, listener := range reserved {
			_ = listener.Close() // it fails for those that are closed already
		}
	}()
	for i := range replicaCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		reserved = append(reserved, listener)
		g.addrs = append(g.addrs, listener.Addr().String())
		peers = append(peers, "--peer", fmt.Sprintf("%d=%s", i+1, listener.Addr()))
	}
	for i, addr := range g.addrs {
		_ = reserved[i].Close() // the replica listens on this address
		number := strconv.Itoa(i + 1)
		args := []string{"keeper", "--number", number, "--listen", addr, "--dir", filepath.Join(dir, "keeper"+number)}
		command := exec.Command(program, append(args, peers...)...)
		if err := command.Start(); err != nil {
			return err
		}
		g.commands = append(g.commands, command)
	}
	return nil
}

// proposeFirst proposes the first version and waits until it is announced.
func (g *replicaGroup) proposeFirst(nodeAddr string) error {
	parsed, err := config.Parse("bench.hcl", []byte(gatewayConfig))
	if err != nil {
		return err
	}
	first := &configversion.Config{RequiredFormat: configversion.Format, Shards: 1, MeanRequestUnits: 1}
	first.SetFromSettings(parsed.Settings)
	first.Nodes[nodeAddr] = configversion.Node{}
	client := &replica.Client{Replicas: g.addrs, Timeout: proposeTimeout}
	_, err = client.Propose(&lease.Proposal{ID: "bench", Reason: "benchmark configuration", Content: first.Canonical()})
	return err
}

// stop kills the processes and waits for them to exit. It does nothing if g is nil.
func (g *replicaGroup) stop() {
	if g == nil {
		return
	}
	for _, command := range g.commands {
		_ = command.Process.Kill() // it fails if the process has exited
		_ = command.Wait()         // a killed process counts as an error
	}
}
