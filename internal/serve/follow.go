package serve

import (
	"os"

	"irispost/internal/fleet/client"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/slowstart/agent"
	"irispost/internal/gateway"
)

// followed starts the loop of a gateway that follows keepers, and where others reach it its part in dealing out what cold nodes bear.
// first is closed once it has something to act on.
func (g *Gateway) followed(opt *gateway.Options) (first <-chan struct{}, err error) {
	c := g.Config
	stands := make(chan struct{}) // the loop, which a first word may come before
	o := client.Options{Gateway: c.Name, Replicas: c.Follow.Replicas, RenewInterval: c.Follow.PollInterval, Now: opt.Clock.Now, OnChange: func() { <-stands; g.Loop.Wake() },
		Seed: c.Seed, LocalSettings: c.Settings, LocalConflicts: c.Contradictions, RecordFile: c.Follow.VersionLog, CacheDir: c.Follow.CacheDir, Logger: g.log, InjectedFaults: flaws(), Holder: client.NewHolderID(c.Name)}
	if c.Follow.PeerAddress != "" {
		g.cold, err = agent.Listen(agent.Options{Gateway: c.Name, Holder: o.Holder, ListenAddr: c.Follow.PeerAddress, AddrOverrides: c.Follow.PeerRoutes, Settings: agent.SettingsFrom(c.Settings, clockDrift),
			Now: opt.Clock.Now, Logger: g.log})
		if err != nil {
			return nil, err
		}
		o.PeerAddr, o.OnMembership = g.cold.Addr(), g.cold.HandleMembership
	}
	if g.follow, err = client.Start(o); err != nil {
		if g.cold != nil {
			g.cold.Close()
		}
		return nil, err
	}
	opt.Config = agent.SettingsForwarder{ConfigSource: g.follow, Agent: g.cold}
	g.Loop = gateway.Start(*opt)
	close(stands)
	if g.cold != nil {
		g.cold.Start(g.Loop)
	}
	return g.follow.Ready(), nil
}

// clockDrift is the part by which two gateways' clocks may run apart, as loans are counted.
const clockDrift = 0.01

// flaws are what a test of the fleet has switched off, to show that its audit notices. Nothing else sets them.
func flaws() lease.InjectedFaults {
	if os.Getenv("IRISPOST_TEST_NO_LEASES") == "1" {
		return lease.FaultNoLeaseExpiry
	}
	return 0
}
