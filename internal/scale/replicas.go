package scale

import (
	"bufio"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"irispost/internal/fleet/rig"
	"irispost/internal/loopback"
	"irispost/internal/scale/meter"
)

const (
	replicaStartAttempts = 40 // a connection may occupy a replica's address for a moment
	replicaStartPause    = 50 * time.Millisecond
	replicaReadyWord     = "serves" // in the first line that a replica prints once it serves
)

// replicaProcess is a replica that runs as a separate process.
type replicaProcess struct {
	number  int
	region  int
	addr    string
	dir     string
	args    []string
	command *exec.Cmd // nil: not running
}

// fleetCount is the number of fleets that this process has started.
var fleetCount atomic.Int64

// newLoopbackHost returns a loopback address that only this fleet uses. While a replica starts, no other fleet, of
// this or another process, can then take the port that is meant for it.
func newLoopbackHost() string {
	octets := strings.Split(loopback.ProcessAddr(), ".") // the second octet is 64 to 127, so 128 and above are free
	return fmt.Sprintf("127.%d.%s.%s", 128+fleetCount.Add(1)%120, octets[2], octets[3])
}

// startReplicas starts the replicas. Replicas of different regions reach each other over links with latency.
func (f *Fleet) startReplicas() error {
	var reserved []net.Listener
	defer func() {
		for _, listener := range reserved {
			_ = listener.Close() // returns an error for those that are closed already
		}
	}()
	host := newLoopbackHost()
	for i, region := range f.Size.ReplicaRegions {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return err
		}
		reserved = append(reserved, listener)
		f.replicas = append(f.replicas, &replicaProcess{
			number: i + 1,
			region: region,
			addr:   listener.Addr().String(),
			dir:    filepath.Join(f.options.Dir, fmt.Sprintf("keeper%d", i+1)),
		})
	}
	for _, replica := range f.replicas {
		if err := f.setReplicaArgs(replica); err != nil {
			return err
		}
	}
	for i, replica := range f.replicas {
		_ = reserved[i].Close() // the replica listens on this port next
		if err := f.startReplica(replica); err != nil {
			return err
		}
	}
	return nil
}

// setReplicaArgs sets the command-line arguments of a replica and opens links to its peers in the other region.
func (f *Fleet) setReplicaArgs(replica *replicaProcess) error {
	replica.args = []string{
		"keeper",
		"--number", strconv.Itoa(replica.number),
		"--listen", replica.addr,
		"--dir", replica.dir,
		"--lease", f.Size.Lease.String(),
		"--log", "json",
	}
	for _, peer := range f.replicas {
		addr := peer.addr
		if peer.region != replica.region {
			link, err := f.linkBetween(addr, replica.region, peer.region)
			if err != nil {
				return err
			}
			addr = link.Addr()
		}
		replica.args = append(replica.args, "--peer", fmt.Sprintf("%d=%s", peer.number, addr))
	}
	return nil
}

// startReplica starts a replica. A replica that ran before continues with the data in its directory.
func (f *Fleet) startReplica(replica *replicaProcess) error {
	for range replicaStartAttempts {
		command := f.options.Program(replica.args...)
		output, err := command.StdoutPipe()
		if err != nil {
			return err
		}
		if err := command.Start(); err != nil {
			return err
		}
		line, err := bufio.NewReader(output).ReadString('\n')
		if err == nil && strings.Contains(line, replicaReadyWord) {
			replica.command = command
			return nil
		}
		endProcess(command)
		time.Sleep(replicaStartPause)
	}
	return fmt.Errorf("replica %d did not start", replica.number)
}

// kill kills the replica's process, as a crash would.
func (r *replicaProcess) kill() {
	if r.command != nil {
		endProcess(r.command)
		r.command = nil
	}
}

// endProcess kills a process and waits until it has ended.
func endProcess(command *exec.Cmd) {
	_ = command.Process.Kill() // it may have ended already
	_ = command.Wait()         // returns an error for a process that was killed
}

// replicaUsage returns the resource usage of each replica's process, in the order of f.replicas. It is zero for a
// replica that is not running.
func (f *Fleet) replicaUsage() (usage []meter.Usage, err error) {
	for _, replica := range f.replicas {
		used := meter.Usage{}
		if replica.command != nil {
			if used, err = meter.ProcessUsage(replica.command.Process.Pid); err != nil {
				return nil, err
			}
		}
		usage = append(usage, used)
	}
	return usage, nil
}

// leader returns the leader and, if there is one, another running replica.
func (f *Fleet) leader() (leader, follower *replicaProcess, err error) {
	status, err := f.operator.Status()
	if err != nil {
		return nil, nil, err
	}
	for _, replica := range f.replicas {
		if uint64(replica.number) == status.Leader {
			leader = replica
		} else if replica.command != nil {
			follower = replica
		}
	}
	if leader == nil {
		return nil, nil, fmt.Errorf("replica %d leads, but is not part of this fleet", status.Leader)
	}
	return leader, follower, nil
}

// linkBetween opens a link to an address. It has latency if the regions differ.
func (f *Fleet) linkBetween(addr string, fromRegion, toRegion int) (*rig.Link, error) {
	latency := time.Duration(0)
	if fromRegion != toRegion {
		latency = f.Size.Latency
	}
	link, err := rig.NewLinkWithLatency(addr, latency)
	if err != nil {
		return nil, err
	}
	f.links = append(f.links, link)
	if fromRegion != toRegion {
		f.interRegionLinks = append(f.interRegionLinks, link)
	}
	return link, nil
}
