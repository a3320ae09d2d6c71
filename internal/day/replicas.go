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
	pollsPerLease       = 5     // of a gateway
)

var errNeedsProgram = errors.New("a day with keepers needs gateways as processes of their own")

// linkKey names the link that one process reaches another by.
type linkKey struct{ from, to string }

// replicaSet is the replicas of a scenario, with the links between all processes and the operator who proposes.
type replicaSet struct {
	testbed        *testbed
	plan           FleetPlan
	links          map[linkKey]*rig.Link
	addresses      map[string]string // of replicas and, with peers, of gateways, by name
	baseConfig     *configversion.Config
	pendingChanged chan struct{} // holds one signal for the operator
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup // the operator and the proposers

	lock           sync.Mutex // guards what follows
	processes      map[string]*exec.Cmd
	rateLimits     map[string]float64    // by service level
	pending        *configversion.Config // to be proposed next; nil: nothing
	pendingList    endpoint.List         // of it
	activations    map[string][]rig.Activation
	proposalCount  int
	announcedCount int
	rejectedCount  int
}

// monotonic reads the machine's clock that all processes read alike, in nanoseconds.
func monotonic() int64 {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // it fails for clocks that do not exist
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

// baseConfig is the replicated configuration that the scenario begins with, without nodes.
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

// startProcesses makes the links between all processes and starts the replicas. Addresses are held by listeners until
// all are chosen, and each until its process starts.
func (r *replicaSet) startProcesses(replicas, gateways []string) error {
	listeners := map[string]net.Listener{}
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close() // most are closed already
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
			_ = listeners[name].Close() // it only held the address
		}
	}
	for _, name := range replicas {
		_ = listeners[name].Close() // it only held the address
		if err := r.startReplica(name); err != nil {
			return err
		}
	}
	return nil
}

// reserveAddresses chooses an address for each process and adds the listener that holds it.
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

// link makes a link from each process to each other.
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

// startReplica starts a replica as a process; one that ran before finds its folder again.
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
		if _, err := bufio.NewReader(output).ReadString('\n'); err == nil { // it prints a line when it serves
			r.lock.Lock()
			r.processes[name] = command
			r.lock.Unlock()
			return nil
		}
		_ = command.Wait() // it has ended; its log says why
		time.Sleep(startDelay)
	}
	return fmt.Errorf("keeper %s does not start", name)
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
		if link := r.links[linkKey{name, other}]; link != nil { // none to itself
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

// followBlock returns the block of a gateway's configuration that lets it follow the replicas, each at the address of
// their link.
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
