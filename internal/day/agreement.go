package day

import (
	"os"
	"path/filepath"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/fleet/rig"
)

// versionsTimeout is how long the replicas may take to list all versions.
const versionsTimeout = 20 * time.Second

// activationFile is where a gateway records what it acts on.
func (r *replicaSet) activationFile(g *gatewayInstance) string {
	return filepath.Join(r.testbed.dir, g.name+".acts")
}

// collectActivations takes up the record of a gateway that has ended: from then on it acts on nothing.
func (r *replicaSet) collectActivations(instance *gatewayInstance) {
	file, err := os.Open(r.activationFile(instance))
	if err != nil {
		return // it has acted on nothing
	}
	defer func() {
		_ = file.Close()                          // it was only read
		_ = os.Remove(r.activationFile(instance)) // the scenario's folder is removed at its end
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

// auditAgreement ends all gateways and checks that no two acted on configurations that contradict each other.
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
	r.testbed.options.Logf("%d versions were announced, %d proposals refused", r.announcedCount, r.rejectedCount)
	r.lock.Unlock()
	return &agreement, err
}

// convergenceBound is the time, in nanoseconds, that docs/fleet.md states for this scenario's lease and clock drift.
func (r *replicaSet) convergenceBound() int64 {
	return replica.ConvergenceBound(lease.Settings{
		LeaseDuration: int64(r.plan.LeaseDuration),
		MaxClockDrift: r.plan.MaxClockDrift,
	})
}
