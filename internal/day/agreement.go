package day

import (
	"os"
	"path/filepath"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/fleet/rig"
)

// versionsTimeout limits the request that lists all versions.
const versionsTimeout = 20 * time.Second

// activationFile returns the path where a gateway records its activations: which versions it acts on and since when.
func (r *replicaSet) activationFile(g *gatewayInstance) string {
	return filepath.Join(r.testbed.dir, g.name+".acts")
}

// collectActivations reads the activations of a gateway that has ended, and adds one without versions: from now on it
// acts on nothing.
func (r *replicaSet) collectActivations(instance *gatewayInstance) {
	file, err := os.Open(r.activationFile(instance))
	if err != nil {
		return // the gateway has acted on nothing
	}
	defer func() {
		_ = file.Close()                          // the file was only read
		_ = os.Remove(r.activationFile(instance)) // if this fails, the file is removed with the scenario's folder
	}()
	list, err := rig.ReadActivations(file)
	if err != nil {
		r.testbed.options.Logf("%s: %v", instance.name, err)
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	list = append(list, rig.Activation{At: monotonic()})
	r.activations[instance.name] = append(r.activations[instance.name], list...)
}

// auditAgreement kills all gateways, and checks that no two acted on conflicting configurations for longer than the
// convergence bound.
func (r *replicaSet) auditAgreement() (*rig.Agreement, error) {
	end := monotonic()
	versions, err := r.operatorClient(versionsTimeout).Versions(1)
	if err != nil {
		return nil, err
	}
	for _, g := range r.testbed.gateways {
		g.kill()
		r.collectActivations(g)
	}
	agreement, err := rig.AuditPairs(r.activations, versions, r.convergenceBound(), end)
	r.lock.Lock()
	r.testbed.options.Logf("%d versions announced, %d proposals rejected", r.announcedCount, r.rejectedCount)
	r.lock.Unlock()
	return &agreement, err
}

// convergenceBound returns the bound stated in docs/fleet.md, in nanoseconds, for the lease duration and the clock
// drift of this scenario.
func (r *replicaSet) convergenceBound() int64 {
	return replica.ConvergenceBound(lease.Settings{
		LeaseDuration: int64(r.plan.LeaseDuration),
		MaxClockDrift: r.plan.MaxClockDrift,
	})
}
