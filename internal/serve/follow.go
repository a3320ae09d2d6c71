package serve

import (
	"os"

	"irispost/decide"
	"irispost/internal/fleet/accord"
	"irispost/internal/fleet/cold/agent"
	"irispost/internal/fleet/follow"
	"irispost/internal/gateway"
)

// followed starts the loop of a gateway that follows keepers, and where others reach it its part in dealing out what cold nodes bear.
// first is closed once it has something to act on.
func (g *Gateway) followed(opt *gateway.Options) (first <-chan struct{}, err error) {
	c := g.Config
	stands := make(chan struct{}) // the loop, which a first word may come before
	o := follow.Options{Gateway: c.Name, Keepers: c.Follow.Keepers, Pause: c.Follow.Pause, Now: opt.Clock.Now, Wake: func() { <-stands; g.Loop.Wake() },
		Seed: c.Seed, Own: c.Terms, Differs: c.Agreed, Record: c.Follow.Record, Dir: c.Follow.Dir, Log: g.log, Flaws: flaws(), Who: follow.Boot(c.Name)}
	if c.Follow.Peer != "" {
		g.cold, err = agent.Listen(agent.Options{Gateway: c.Name, Who: o.Who, Listen: c.Follow.Peer, Reach: c.Follow.Reach, Terms: agent.Terms(c.Terms, clockDrift),
			Now: opt.Clock.Now, Log: g.log})
		if err != nil {
			return nil, err
		}
		o.Peer, o.Members = g.cold.Addr(), g.cold.Granted
	}
	if g.follow, err = follow.Start(o); err != nil {
		if g.cold != nil {
			g.cold.Close()
		}
		return nil, err
	}
	opt.Rules = acting{g.follow, g.cold}
	g.Loop = gateway.Start(*opt)
	close(stands)
	if g.cold != nil {
		g.cold.Begin(g.Loop)
	}
	return g.follow.First(), nil
}

// clockDrift is the part by which two gateways' clocks may run apart, as loans are counted.
const clockDrift = 0.01

// acting has what a gateway acts on count for the budgets of cold nodes too.
type acting struct {
	*follow.Following
	cold *agent.Agent
}

// At is the following's.
func (a acting) At(now decide.Time) (*gateway.Acts, decide.Time) {
	acts, until := a.Following.At(now)
	if a.cold != nil && acts != nil && acts.Terms != nil {
		a.cold.Agree(acts.Terms)
	}
	return acts, until
}

// flaws are what a test of the fleet has switched off, to show that its audit notices. Nothing else sets them.
func flaws() accord.Flaws {
	if os.Getenv("IRISPOST_TEST_NO_LEASES") == "1" {
		return accord.NoLease
	}
	return 0
}
