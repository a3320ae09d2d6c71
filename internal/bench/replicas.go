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

// replicaGroup is three replicas in processes of their own.
type replicaGroup struct {
	addrs    []string
	commands []*exec.Cmd
}

// startReplicas starts the replicas, with the bench's settings and its node as their first version.
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

// start starts the processes, at ports that are reserved for all of them until each starts.
func (g *replicaGroup) start(program, dir string) error {
	var peers []string
	var reserved []net.Listener
	defer func() {
		for _, listener := range reserved {
			_ = listener.Close() // those that are closed already return an error
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
		_ = reserved[i].Close() // the replica listens there next
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
	_, err = client.Propose(&lease.Proposal{ID: "bench", Reason: "what is measured", Content: first.Canonical()})
	return err
}

// stop kills the processes and waits for them. A group that was not started has nothing to stop.
func (g *replicaGroup) stop() {
	if g == nil {
		return
	}
	for _, command := range g.commands {
		_ = command.Process.Kill() // it may have exited already
		_ = command.Wait()         // it reports the kill
	}
}
