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

	maxClockDrift = 0.01 // as the replicas are started with
)

// checkEndState checks the fleet against the newest version: it is in force at all replicas, each gateway runs and
// acts on it alone, its scheduler sends each shard's requests to the node that the version names, and it starts a
// request of each of the given shards there. It returns what does not hold.
func (f *Fleet) checkEndState(shards ...int) (violations []string) {
	violations = append(violations, f.awaitVersion(f.newestVersion, noGateway)...)
	violations = append(violations, f.awaitNone(f.replicaDifferences)...)
	if len(violations) > 0 { // the checks below would wait for gateways that do not serve
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

// replicaDifferences names the replicas at which the newest version is not in force.
func (f *Fleet) replicaDifferences() []string {
	states := map[string]string{"as wanted": fmt.Sprintf("%d in force, %d announced", f.newestVersion, f.newestVersion)}
	for _, replica := range f.replicas {
		states[fmt.Sprint("keeper ", replica.number)] = replica.versionState()
	}
	return minorityStates(states)
}

// checkPlacement checks that the gateway sends to the expected node of each shard, and that requests of some shards
// are started there. It returns the first violation, or "".
func (g *Gateway) checkPlacement(wantNodes []string, shards []int) string {
	_, nodeByShard := g.observed()
	for shard, addr := range wantNodes {
		if nodeByShard[shard] != addr {
			return fmt.Sprintf("%s sends to %q for shard %d, and not to %s", g.Name, nodeByShard[shard], shard, addr)
		}
	}
	for _, shard := range shards {
		if addr := g.probe(shard); addr != wantNodes[shard] {
			return fmt.Sprintf("%s began a job of shard %d at %q, and not at %s", g.Name, shard, addr, wantNodes[shard])
		}
	}
	return ""
}

// versionState returns the versions in force and announced at a replica, by its metrics, or the error that kept them
// from being read.
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

// metrics fetches the text of a replica's metrics.
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

// audit checks, by the gateways' own records, that what they acted on since the last audit never contradicted each
// other for longer than the stated bound.
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

// takeActivations returns what the gateway acted on since the last call. The last activation is also the first of the
// next call's.
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
