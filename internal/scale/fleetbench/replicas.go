package fleetbench

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"time"

	"irispost/internal/loopback"
	"irispost/internal/scale/meter"
)

const (
	// initialReplicas is the number of replicas that the group starts with.
	initialReplicas = 3

	// maximumRestarts is how often replicas are restarted after unexpected exits, over the whole group.
	maximumRestarts = 5

	// stateTimeout limits how long the measurement waits for a state of the fleet.
	stateTimeout = 2 * time.Minute

	// anyReplica is relayKey.from of the relay through which all other replicas reach a joining replica.
	anyReplica = 0
)

// relayKey identifies a relay by the numbers of the replica that connects and of the replica that it connects to.
type relayKey struct{ from, to int }

// replicaGroup holds the replicas' processes, and a relay for each ordered pair of replicas that counts their traffic.
type replicaGroup struct {
	program           string
	dir               string
	replicas          []*replicaProcess // by number, from 1
	relays            map[relayKey]*meter.Relay
	directConnections bool // no relays between the initial replicas
	unexpectedExits   int  // each followed by a restart
	reportProgress    func(line string)
}

// startReplicas starts the initial replicas.
func startReplicas(options Options, dir string) (*replicaGroup, error) {
	group := &replicaGroup{
		program:           options.Program,
		dir:               dir,
		directConnections: options.DirectConnections,
		relays:            map[relayKey]*meter.Relay{},
		reportProgress:    options.ReportProgress,
	}
	if err := group.startInitialReplicas(); err != nil {
		group.close()
		return nil, err
	}
	return group, nil
}

func (g *replicaGroup) startInitialReplicas() error {
	for range initialReplicas {
		if err := g.addReplica(); err != nil {
			return err
		}
	}
	for _, replica := range g.replicas {
		if err := g.configure(replica); err != nil {
			return err
		}
	}
	for _, replica := range g.replicas {
		if err := replica.start(g.program); err != nil {
			return err
		}
	}
	return nil
}

// addReplica adds the next replica, with a number, a free address and a log file. A listener holds the address until
// the replica starts; otherwise a relay that is opened before that could get the same port.
func (g *replicaGroup) addReplica() error {
	listener, err := net.Listen("tcp", loopback.ProcessAddr()+":0")
	if err != nil {
		return err
	}
	number := len(g.replicas) + 1
	g.replicas = append(g.replicas, &replicaProcess{
		number:      number,
		addr:        listener.Addr().String(),
		reservation: listener,
		logFile:     filepath.Join(g.dir, fmt.Sprintf("%d.log", number)),
	})
	return nil
}

// configure sets a replica's arguments and opens the relays through which it reaches all others.
func (g *replicaGroup) configure(replica *replicaProcess) error {
	replica.args = []string{
		"keeper",
		"--number", strconv.Itoa(replica.number),
		"--listen", replica.addr,
		"--dir", g.dataDir(replica.number),
		"--peer", fmt.Sprintf("%d=%s", replica.number, replica.addr),
	}
	for _, peer := range g.replicas {
		if peer == replica {
			continue
		}
		addr := peer.addr
		if !g.directConnections {
			relay, err := meter.NewRelay(loopback.ProcessAddr(), peer.addr)
			if err != nil {
				return err
			}
			g.relays[relayKey{replica.number, peer.number}] = relay
			addr = relay.Addr()
		}
		replica.args = append(replica.args, "--peer", fmt.Sprintf("%d=%s", peer.number, addr))
	}
	return nil
}

// join starts another replica, which votes once it is a member. It returns the address of the relay through which the
// others must reach it.
func (g *replicaGroup) join() (replica *replicaProcess, addr string, err error) {
	if err := g.addReplica(); err != nil {
		return nil, "", err
	}
	replica = g.replicas[len(g.replicas)-1]
	if err := g.configure(replica); err != nil {
		return nil, "", err
	}
	relay, err := meter.NewRelay(loopback.ProcessAddr(), replica.addr)
	if err != nil {
		return nil, "", err
	}
	g.relays[relayKey{anyReplica, replica.number}] = relay
	replica.args = append(replica.args, "--join")
	replica.restartOnExit = true
	return replica, relay.Addr(), replica.start(g.program)
}

func (g *replicaGroup) dataDir(number int) string { return filepath.Join(g.dir, strconv.Itoa(number)) }

// addrs returns the replicas' addresses: that of the replica with the given number first, then the others by number.
// With 0, all are by number.
func (g *replicaGroup) addrs(first int) (addrs []string) {
	for _, replica := range g.replicas {
		if replica.number == first {
			addrs = append([]string{replica.addr}, addrs...)
		} else {
			addrs = append(addrs, replica.addr)
		}
	}
	return addrs
}

// bytesSent returns the bytes that a replica has sent to others through relays, in requests and responses.
func (g *replicaGroup) bytesSent(number int) (sent int64) {
	for key, relay := range g.relays {
		if key.from == number {
			sent += relay.In()
		}
		if key.to == number {
			sent += relay.Out()
		}
	}
	return sent
}

// bytesTotal returns the bytes that a replica has exchanged with others through relays, in both directions.
func (g *replicaGroup) bytesTotal(number int) (total int64) {
	for key, relay := range g.relays {
		if key.from == number || key.to == number {
			total += relay.Total()
		}
	}
	return total
}

// close kills all processes and closes all relays.
func (g *replicaGroup) close() {
	for _, replica := range g.replicas {
		replica.kill()
	}
	for _, relay := range g.relays {
		relay.Close()
	}
}

// checkExits restarts replicas that have exited unexpectedly. It returns an UnexpectedExitError if such a replica is
// not to be restarted, or if the group has reached maximumRestarts.
func (g *replicaGroup) checkExits() error {
	for _, replica := range g.replicas {
		if !replica.hasExited() {
			continue
		}
		err := replica.exitError()
		if !replica.restartOnExit || g.unexpectedExits >= maximumRestarts {
			return err
		}
		g.unexpectedExits++
		g.reportProgress(err.Error() + "; it is started again")
		if err := replica.start(g.program); err != nil {
			return err
		}
	}
	return nil
}

// usage returns the resource usage of each replica's process, by number from 1. It is zero for one not running.
func (g *replicaGroup) usage() ([]meter.Usage, error) {
	usage := make([]meter.Usage, len(g.replicas))
	for i, replica := range g.replicas {
		if replica.command == nil {
			continue
		}
		var err error
		if usage[i], err = meter.ProcessUsage(replica.command.Process.Pid); err != nil {
			return nil, err
		}
	}
	return usage, nil
}

// leader returns the number and state of the leader. If several replicas believe that they lead, it is the one with
// the highest term. If none does, the number is 0.
func (g *replicaGroup) leader(ctx context.Context) (number int, leaderState replicaState) {
	for _, replica := range g.replicas {
		if replica.command == nil {
			continue
		}
		state, err := replica.state(ctx)
		if err == nil && state.leader && state.term > leaderState.term {
			number = replica.number
			leaderState = state
		}
	}
	return number, leaderState
}

// await waits until a condition holds. It fails after stateTimeout, with an error that contains problem, and when
// checkExits fails.
func (g *replicaGroup) await(ctx context.Context, problem string, interval time.Duration, condition func() bool) error {
	end := time.Now().Add(stateTimeout)
	for !condition() {
		if err := g.checkExits(); err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %v: %s", stateTimeout, problem)
		}
		if err := sleep(ctx, interval); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for a duration, or returns the context's error if it ends earlier.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
