package serve

import (
	"os"

	"irispost/internal/fleet/client"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/slowstart/agent"
	"irispost/internal/gateway"
)

// maxClockDrift is the maximum relative drift between the clocks of two gateways. Their allocations of slow-start
// budget to each other allow for it.
const maxClockDrift = 0.01

// startFleetLoop starts the loop of a gateway that takes its configuration from the fleet's replicas and, where other
// gateways can reach it, the agent that shares the budget of nodes in slow start with them. The returned channel is
// closed once a version is in force.
func (g *Gateway) startFleetLoop(opt *gateway.Options) (versionInForce <-chan struct{}, err error) {
	loopStarted := make(chan struct{}) // the client may call wake before the loop exists
	wake := func() {
		<-loopStarted
		g.Loop.Wake()
	}
	clientOptions := g.fleetClientOptions(opt, wake)
	if g.Config.Follow.PeerAddress != "" {
		if g.slowStart, err = g.listenToPeers(opt, clientOptions.Holder); err != nil {
			return nil, err
		}
		clientOptions.PeerAddr, clientOptions.OnMembership = g.slowStart.Addr(), g.slowStart.HandleMembership
	}
	if g.fleetClient, err = client.Start(clientOptions); err != nil {
		if g.slowStart != nil {
			g.slowStart.Close()
		}
		return nil, err
	}
	opt.Config = agent.SettingsForwarder{ConfigSource: g.fleetClient, Agent: g.slowStart}
	g.Loop = gateway.Start(*opt)
	close(loopStarted)
	if g.slowStart != nil {
		g.slowStart.Start(g.Loop)
	}
	return g.fleetClient.Ready(), nil
}

func (g *Gateway) fleetClientOptions(opt *gateway.Options, wake func()) client.Options {
	conf := g.Config.Follow
	return client.Options{
		Gateway:        g.Config.Name,
		Replicas:       conf.Replicas,
		RenewInterval:  conf.PollInterval,
		Now:            opt.Clock.Now,
		OnChange:       wake,
		Seed:           g.Config.Seed,
		LocalSettings:  g.Config.Settings,
		LocalConflicts: g.Config.Conflicts,
		RecordFile:     conf.VersionLog,
		CacheDir:       conf.CacheDir,
		Logger:         g.logger,
		InjectedFaults: injectedFaults(),
		Holder:         client.NewHolderID(g.Config.Name),
	}
}

// listenToPeers opens the socket of the agent, to which other gateways connect.
func (g *Gateway) listenToPeers(opt *gateway.Options, holderID string) (*agent.Agent, error) {
	return agent.Listen(agent.Options{
		Gateway:       g.Config.Name,
		Holder:        holderID,
		ListenAddr:    g.Config.Follow.PeerAddress,
		AddrOverrides: g.Config.Follow.PeerRoutes,
		Settings:      agent.SettingsFrom(g.Config.Settings, maxClockDrift),
		Now:           opt.Clock.Now,
		Logger:        g.logger,
	})
}

// injectedFaults returns the safety rules to disable. Only a test of the fleet sets the variable, to show that its
// audit detects the violations.
func injectedFaults() lease.InjectedFaults {
	if os.Getenv("IRISPOST_TEST_NO_LEASES") == "1" {
		return lease.FaultNoLeaseExpiry
	}
	return 0
}
