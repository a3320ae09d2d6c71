package serve

import (
	"errors"
	"fmt"
	"sync"

	"irispost/internal/admin"
	"irispost/internal/capture"
)

// captures is a gateway's capture, if one is on: one at a time.
type captures struct {
	lock   sync.Mutex
	record *capture.Recorder // nil: none
	last   admin.Capture
}

// begin opens a new capture. The lock is held, or nobody else knows the gateway yet.
func (c *captures) begin(g *Gateway, folder string) error {
	if c.record != nil {
		return fmt.Errorf("a capture is on already: %s", c.last.File)
	}
	if folder == "" {
		folder = g.Config.CaptureDir
	}
	if folder == "" {
		return errors.New("no folder for captures is configured, name one")
	}
	record, file, err := capture.CreateInDir(folder, g.Config.Name, build(), g.Config.CaptureLimits)
	if err != nil {
		return err
	}
	g.log.Info("capture begins", "gateway", g.Config.Name, "file", file)
	c.record, c.last = record, admin.Capture{On: true, File: file}
	return nil
}

// end closes the capture, if one is on.
func (c *captures) end(g *Gateway) admin.Capture {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.record == nil {
		return c.last
	}
	g.Loop.SetTap(nil) // after this the loop calls it no more; a loop that has ended does not either
	err := c.record.Close(g.Loop.Now())
	c.now()
	c.record, c.last.On = nil, false
	if err != nil {
		c.last.Error = err.Error()
	}
	g.log.Info("capture ends", "gateway", g.Config.Name, "file", c.last.File, "bytes", c.last.Written, "dropped", c.last.Dropped,
		"why", c.last.Error)
	return c.last
}

// now brings the figures up to date; the lock is held.
func (c *captures) now() admin.Capture {
	if c.record != nil {
		s := c.record.Status()
		c.last.Written, c.last.Dropped = s.Written, s.Dropped
	}
	return c.last
}

// StartCapture starts a capture while the gateway serves: it begins with the module's full state.
func (g *Gateway) StartCapture(folder string) (admin.Capture, error) {
	c := &g.captures
	c.lock.Lock()
	defer c.lock.Unlock()
	if err := c.begin(g, folder); err != nil {
		return c.now(), err
	}
	if !g.Loop.SetTap(c.record) {
		return c.now(), errors.New("the gateway ends")
	}
	return c.now(), nil
}

// StopCapture ends the capture and waits until it is written.
func (g *Gateway) StopCapture() (admin.Capture, error) {
	g.captures.lock.Lock()
	on := g.captures.record != nil
	g.captures.lock.Unlock()
	if !on {
		return admin.Capture{}, errors.New("no capture is on")
	}
	return g.captures.end(g), nil
}

// Status tells how the gateway stands.
func (g *Gateway) Status() (admin.Status, error) {
	f, running := g.Loop.Stats()
	if !running {
		return admin.Status{}, errEnds
	}
	s := admin.Status{Gateway: g.Config.Name, Address: g.Frontend.Addr(), Since: g.since, Requests: f.InFlight, AttemptsInFlight: f.Attempts, LateAnswers: f.LateReplies,
		RequestClasses: map[string]admin.RequestCounts{}, Nodes: map[string]int{}}
	for name, c := range f.Classes {
		s.RequestClasses[name] = admin.RequestCounts(*c)
	}
	if g.follow != nil {
		state, acts := g.follow.Status()
		s.Version = state + " on " + acts
	}
	g.captures.lock.Lock()
	s.Capture = g.captures.now()
	g.captures.lock.Unlock()
	m, err := g.Members()
	if err != nil {
		return admin.Status{}, err
	}
	s.HeldLoss = m.HeldLoss
	for _, n := range m.Nodes {
		s.Nodes[n.State]++
	}
	return s, nil
}
