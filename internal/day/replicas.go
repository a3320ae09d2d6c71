package day

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/rig"
	"irispost/internal/loopback"
)

const (
	replicaTick         = "30ms"
	replicaCompactAfter = "100" // log entries
	pollsPerLease       = 5     // requests of a gateway to the replicas in the duration of a lease
)

var errNeedsProgram = errors.New("a scenario with keepers cannot run its gateways in this process")

// linkKey identifies the link through which one process connects to another, by the names of both.
type linkKey struct{ from, to string }

// replicaSet holds the replicas of a scenario, the links between all processes, and the operator that proposes
// configurations to the replicas.
type replicaSet struct {
	testbed        *testbed
	plan           FleetPlan
	links          map[linkKey]*rig.Link
	addresses      map[string]string // of replicas and, with peers, of gateways, by name
	baseConfig     *configversion.Config
	pendingChanged chan struct{} // buffers one signal for the operator
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup // the operator and the proposers

	lock           sync.Mutex // guards what follows
	processes      map[string]*exec.Cmd
	rateLimits     map[string]float64    // by service level
	pending        *configversion.Config // to be proposed next; nil: nothing yet
	pendingList    endpoint.List         // the endpoint list of pending
	activations    map[string][]rig.Activation
	proposalCount  int
	announcedCount int
	rejectedCount  int
}

// monotonic returns the time of the monotonic clock, which is the same for all processes of a machine, in nanoseconds.
func monotonic() int64 {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // fails only for a clock that does not exist
	return now.Nano()
}

// startReplicas starts the links, the replicas and the operator.
func (t *testbed) startReplicas() error {
	r := &replicaSet{
		testbed:        t,
		plan:           t.script.Fleet,
		links:          map[linkKey]*rig.Link{},
		addresses:      map[string]string{},
		baseConfig:     t.baseConfig(),
		pendingChanged: make(chan struct{}, 1),
		processes:      map[string]*exec.Cmd{},
		rateLimits:     map[string]float64{},
		activations:    map[string][]rig.Activation{},
	}
	t.replicas = r
	if t.options.Program == "" {
		return errNeedsProgram
	}
	var replicas, gateways []string
	for i := range r.plan.Replicas {
		replicas = append(replicas, replicaName(i+1))
	}
	for i := range t.script.Gateways {
		gateways = append(gateways, gatewayName(i+1))
	}
	if err := r.startProcesses(replicas, gateways); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.goroutines.Go(func() { r.runOperator(ctx) })
	return nil
}

// baseConfig returns the replicated configuration at the start of the scenario, without nodes.
func (t *testbed) baseConfig() *configversion.Config {
	base := &configversion.Config{
		RequiredFormat: configversion.Format,
		Shards:         t.config.Shards,
		FallbackPolicy: configversion.FallbackPolicy{
			Duration:      int64(t.script.Fleet.Fallback),
			LimitFraction: 1,
			AllowWrites:   true,
		},
	}
	if t.script.Shards > 0 {
		base.Shards = t.script.Shards
	}
	base.SetFromSettings(t.config.Settings)
	return base
}

// startProcesses creates the links between all processes and starts the replicas. A listener reserves each address
// until all addresses are chosen. The listener of a replica is closed right before the replica starts.
func (r *replicaSet) startProcesses(replicas, gateways []string) error {
	listeners := map[string]net.Listener{}
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close() // fails for those that are already closed
		}
	}()
	if err := r.reserveAddresses(replicas, listeners); err != nil {
		return err
	}
	if err := r.link(replicas, replicas); err != nil {
		return err
	}
	if err := r.link(gateways, replicas); err != nil {
		return err
	}
	if r.plan.Peers {
		if err := r.reserveAddresses(gateways, listeners); err != nil {
			return err
		}
		if err := r.link(gateways, gateways); err != nil {
			return err
		}
		for _, name := range gateways {
			_ = listeners[name].Close() // it only reserved the address
		}
	}
	for _, name := range replicas {
		_ = listeners[name].Close() // it only reserved the address
		if err := r.startReplica(name); err != nil {
			return err
		}
	}
	return nil
}

// reserveAddresses chooses an address for each process, and adds a listener that reserves it to listeners.
func (r *replicaSet) reserveAddresses(names []string, listeners map[string]net.Listener) error {
	for _, name := range names {
		listener, err := net.Listen("tcp", loopback.ProcessAddr()+":0")
		if err != nil {
			return err
		}
		listeners[name] = listener
		r.addresses[name] = listener.Addr().String()
	}
	return nil
}

// link creates a link from each process in from to each other process in to.
func (r *replicaSet) link(from, to []string) error {
	for _, source := range from {
		for _, destination := range to {
			if source == destination {
				continue
			}
			link, err := rig.NewLink(r.addresses[destination])
			if err != nil {
				return err
			}
			r.links[linkKey{source, destination}] = link
		}
	}
	return nil
}

// startReplica starts the process of a replica. A restarted replica gets the same data folder as before.
func (r *replicaSet) startReplica(name string) error {
	args := r.replicaArguments(name)
	for range startAttempts {
		command := exec.Command(r.testbed.options.Program, args...)
		command.Stderr = r.testbed.options.GatewayLog
		output, err := command.StdoutPipe()
		if err != nil {
			return err
		}
		if err := command.Start(); err != nil {
			return err
		}
		if _, err := bufio.NewReader(output).ReadString('\n'); err == nil { // the replica prints a line once it serves
			r.lock.Lock()
			r.processes[name] = command
			r.lock.Unlock()
			return nil
		}
		_ = command.Wait() // the process has ended; its log has the reason
		time.Sleep(startDelay)
	}
	return fmt.Errorf("keeper %s did not start", name)
}

func (r *replicaSet) replicaArguments(name string) []string {
	args := []string{
		"keeper",
		"--number", strings.TrimPrefix(name, replicaPrefix),
		"--listen", r.addresses[name],
		"--dir", filepath.Join(r.testbed.dir, name),
		"--lease", r.plan.LeaseDuration.String(),
		"--drift", fmt.Sprint(r.plan.MaxClockDrift),
		"--tick", replicaTick,
		"--compact", replicaCompactAfter,
	}
	for other, address := range r.addresses {
		number, found := strings.CutPrefix(other, replicaPrefix)
		if !found {
			continue
		}
		if link := r.links[linkKey{name, other}]; link != nil { // a replica has no link to itself
			address = link.Addr()
		}
		args = append(args, "--peer", number+"="+address)
	}
	return args
}

func (r *replicaSet) close() {
	if r.cancel != nil {
		r.cancel()
		r.goroutines.Wait()
	}
	r.lock.Lock()
	for _, process := range r.processes {
		kill(process)
	}
	r.lock.Unlock()
	for _, link := range r.links {
		link.Close()
	}
}

// followBlock returns the configuration block that makes a gateway follow the replicas. It has the addresses of the
// gateway's links to the replicas and, with peers, to the other gateways.
func (r *replicaSet) followBlock(instance *gatewayInstance) string {
	var addresses []string
	for i := range r.plan.Replicas {
		addresses = append(addresses, quoted(r.links[linkKey{instance.name, replicaName(i + 1)}].Addr()))
	}
	peers := ""
	if r.plan.Peers {
		peers = fmt.Sprintf("  peer = %q\n  reach = {\n", r.addresses[instance.name])
		for key, link := range r.links {
			if key.from == instance.name && strings.HasPrefix(key.to, gatewayPrefix) {
				peers += fmt.Sprintf("    %q = %q\n", r.addresses[key.to], link.Addr())
			}
		}
		peers += "  }\n"
	}
	pollInterval := r.plan.LeaseDuration / pollsPerLease
	return fmt.Sprintf("\nfollow {\n  keepers = [%s]\n  pause = %q\n  record = %q\n%s}\n",
		strings.Join(addresses, ", "), pollInterval.String(), r.activationFile(instance), peers)
}
