package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/fleet/rig"
)

const (
	metricsTimeout = 5 * time.Second

	maxClockDrift = 0.01 // the replicas are started with the same value
)

// checkEndState checks the fleet against the newest version and returns the violations. The version must be in force
// at all replicas. Each gateway must run, act on this version alone, and send each shard's requests to the node that
// the version names. For the given shards, this is also checked with a request.
func (f *Fleet) checkEndState(shards ...int) (violations []string) {
	violations = append(violations, f.awaitVersion(f.newestVersion, noGateway)...)
	violations = append(violations, f.awaitNone(f.replicaDifferences)...)
	if len(violations) > 0 { // requests to gateways that do not serve would wait for the timeout
		return violations
	}
	nodeByShard := make([]string, f.Size.Nodes)
	for addr, node := range f.config.Nodes {
		nodeByShard[node.Shard] = addr
	}
	byGateway := make([]string, len(f.Gateways))
	forEachGateway(f.Gateways, func(i int, gateway *Gateway) {
		byGateway[i] = gateway.checkPlacement(nodeByShard, shards)
	})
	for _, violation := range byGateway {
		if violation != "" {
			violations = append(violations, violation)
		}
	}
	return violations
}

// replicaDifferences describes the replicas at which the newest version is not in force.
func (f *Fleet) replicaDifferences() []string {
	states := map[string]string{"expected": fmt.Sprintf("%d in force, %d announced", f.newestVersion, f.newestVersion)}
	for _, replica := range f.replicas {
		states[fmt.Sprint("replica ", replica.number)] = replica.versionState()
	}
	return minorityStates(states)
}

// checkPlacement checks that the gateway sends each shard's requests to the expected node, and starts a request of
// each of the given shards to confirm it. It returns the first violation, or "".
func (g *Gateway) checkPlacement(wantNodes []string, shards []int) string {
	_, nodeByShard := g.observed()
	for shard, addr := range wantNodes {
		if nodeByShard[shard] != addr {
			return fmt.Sprintf("%s sends to %q for shard %d, want %s", g.Name, nodeByShard[shard], shard, addr)
		}
	}
	for _, shard := range shards {
		if addr := g.probe(shard); addr != wantNodes[shard] {
			return fmt.Sprintf("%s started a request of shard %d at %q, want %s", g.Name, shard, addr, wantNodes[shard])
		}
	}
	return ""
}

// versionState returns the versions in force and announced at a replica according to its metrics, or the text of the
// error if the metrics cannot be fetched.
func (r *replicaProcess) versionState() string {
	text, err := r.metrics()
	if err != nil {
		return err.Error()
	}
	values := map[string]string{}
	for line := range strings.Lines(text) {
		if name, value, found := strings.Cut(line, " "); found {
			values[name] = strings.TrimSpace(value)
		}
	}
	inForce := values[`irispost_keeper_version{which="in_force"}`]
	announced := values[`irispost_keeper_version{which="announced"}`]
	return fmt.Sprintf("%s in force, %s announced", inForce, announced)
}

// metrics fetches a replica's metrics in the text format.
func (r *replicaProcess) metrics() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.addr+"/metrics", nil)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// audit checks with the gateways' own records that the versions that they acted on since the last audit never
// contradicted each other for longer than the stated bound.
func (f *Fleet) audit() (rig.Agreement, error) {
	records := map[string][]rig.Activation{}
	for _, gateway := range f.Gateways {
		activations, err := gateway.takeActivations()
		if err != nil {
			return rig.Agreement{}, err
		}
		if len(activations) > 0 {
			records[gateway.Name] = activations
		}
	}
	versions := f.unauditedVersions
	f.unauditedVersions = f.unauditedVersions[len(f.unauditedVersions)-1:]
	settings := lease.Settings{LeaseDuration: int64(f.Size.Lease), MaxClockDrift: maxClockDrift}
	return rig.AuditSweep(records, versions, replica.ConvergenceBound(settings), monotonic())
}

// takeActivations returns what the gateway acted on since the last call. The last activation is returned again as the
// first of the next call, as it still lasts.
func (g *Gateway) takeActivations() (taken []rig.Activation, err error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.running {
		err = g.readActivations()
	}
	if count := len(g.activations); count > 0 {
		taken = g.activations
		g.activations = []rig.Activation{taken[count-1]}
	}
	return taken, err
}
