package day

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// startClients creates the script's clients and waits until all are set up.
func (t *testbed) startClients(totals *clientTotals) ([]*client, error) {
	var clients []*client
	diskOffsets := map[string]int64{} // end of the allocated parts of the disk, by volume
	for group, plan := range t.script.Clients {
		volume := t.config.Volumes[plan.Volume]
		if volume == nil {
			return nil, fmt.Errorf("client %q: volume %q does not exist in the configuration", plan.Name, plan.Volume)
		}
		for i := range plan.Count {
			g := t.gatewayFor(plan, group+i)
			c := &client{
				plan:           plan,
				name:           fmt.Sprintf("%s-%d", plan.Name, i),
				gatewayAddress: g.frontendAddress,
				volume:         volume,
				config:         t.config,
				recorder:       t.recorder,
				totals:         totals,
				stop:           make(chan struct{}),
				random:         rand.New(rand.NewPCG(t.script.Seed, uint64(len(clients))+1)),
			}
			if plan.Operation.onDisk() {
				c.targetAddress = g.targetAddress
				c.lun = uint16(slices.Index(t.script.diskVolumes(), plan.Volume))
				c.diskOffset = diskOffsets[plan.Volume]
				diskOffsets[plan.Volume] += int64(plan.Bytes * plan.Blocks)
			}
			for n := range plan.Files {
				c.files = append(c.files, fmt.Sprintf("%s.%d", c.name, n))
			}
			clients = append(clients, c)
		}
	}
	return clients, setUpAll(clients)
}

// gatewayFor returns the gateway that a client uses: the one that its plan names or, by default, the one that the
// index selects.
func (t *testbed) gatewayFor(plan ClientPlan, index int) *gatewayInstance {
	named := slices.IndexFunc(t.gateways, func(g *gatewayInstance) bool { return g.name == plan.Gateway })
	if named >= 0 {
		return t.gateways[named]
	}
	return t.gateways[index%len(t.gateways)]
}

// setUpAll sets up all clients concurrently.
func setUpAll(clients []*client) error {
	results := make(chan error, len(clients))
	for _, c := range clients {
		go func() { results <- c.setUp() }()
	}
	var err error
	for range clients {
		err = errors.Join(err, <-results)
	}
	return err
}
