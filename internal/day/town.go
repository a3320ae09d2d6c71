package day

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/google/renameio/v2"

	"irispost/internal/config"
	"irispost/internal/endpoint"
	"irispost/internal/serve"
	"irispost/internal/standin"
	"irispost/internal/xdsstandin"
)

// open starts nodes and gateways.
func (t *town) open() error {
	stores := map[int]*standin.Store{}
	for _, n := range t.script.Nodes {
		if stores[n.Shard] == nil {
			store, err := standin.NewStore("")
			if err != nil {
				return err
			}
			stores[n.Shard] = store
		}
		p := &place{plan: n, store: stores[n.Shard]}
		t.nodes[n.Name] = p
		if err := t.startNode(p, false); err != nil {
			return err
		}
	}
	switch t.opt.EndpointSource {
	case "", "own":
	case "delta", "whole":
		plane, err := xdsstandin.Start("127.0.0.1:0", 2)
		if err != nil {
			return err
		}
		t.plane = plane
	default:
		return fmt.Errorf("a list comes from own, delta or whole, not %q", t.opt.EndpointSource)
	}
	if t.script.Fleet.Replicas > 0 {
		if err := t.openFleet(); err != nil {
			return err
		}
	}
	if err := t.list(); err != nil {
		return err
	}
	for i := range t.script.Gateways {
		h := &host{name: fmt.Sprintf("g%d", i+1)}
		h.file = filepath.Join(t.dir, h.name+".hcl")
		t.hosts = append(t.hosts, h)
		if err := t.startGateway(h); err != nil {
			return err
		}
	}
	return nil
}

func (t *town) close() {
	for _, h := range t.hosts {
		h.stop()
	}
	if t.fleet != nil {
		t.fleet.close()
	}
	if t.plane != nil {
		t.plane.Close()
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	for _, p := range t.nodes {
		if p.node != nil {
			p.node.Close()
		}
	}
}

// startNode starts a node of the script; cold, with the figures of the rule on cold nodes.
func (t *town) startNode(p *place, cold bool) error {
	terms := t.terms()
	n, err := standin.Start(standin.Options{Addr: "127.0.0.1:0", Zone: p.plan.Zone, Shard: p.plan.Shard, Store: p.store,
		Cores: p.plan.Cores, UnitTime: p.plan.UnitTime, Queue: p.plan.Queue, DeferredWriteShare: p.plan.DeferredWriteShare,
		DedupWindow: time.Duration(terms.DedupWindow) * 2, SlowStart: cold, SlowStartFrom: terms.SlowStartFrom, SlowStartTime: time.Duration(terms.SlowStartTime),
		SlowStartMultiple: terms.SlowStartMultiple, SlowStartWindow: time.Duration(terms.SlowStartWindow), SlowStartFreeUnits: terms.SlowStartFreeUnits, Seed: t.script.Seed,
		Recorder: t.record})
	if err != nil {
		return err
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	p.node = n
	entry := endpoint.Node{Addr: n.Addr(), Zone: p.plan.Zone, Shard: p.plan.Shard}
	if cold {
		entry.StartedAt = n.StartedAt().UnixNano()
	}
	p.listed = append(p.listed, entry)
	return nil
}

// list hands out the list as it is now.
func (t *town) list() error {
	t.lock.Lock()
	defer t.lock.Unlock()
	var l endpoint.List
	for _, n := range t.script.Nodes {
		l.Nodes = append(l.Nodes, t.nodes[n.Name].listed...)
	}
	if t.fleet != nil {
		t.fleet.want(l)
		return nil
	}
	if t.plane != nil {
		t.plane.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return slices.Clone(l.Nodes) })
	} else if err := renameio.WriteFile(filepath.Join(t.dir, "nodes.hcl"), endpoint.FormatList(l), 0o644); err != nil {
		return err
	}
	t.announce(l)
	return nil
}

// stand changes what the list says of a node.
func (t *town) stand(p *place, addr string, s endpoint.Health) {
	t.lock.Lock()
	for i := range p.listed {
		if p.listed[i].Addr == addr {
			p.listed[i].Health = s
		}
	}
	t.lock.Unlock()
	if err := t.list(); err != nil {
		t.opt.Logf("the list cannot be written: %v", err)
	}
}

// Lines of a configuration that a day replaces.
var (
	nodesLine  = regexp.MustCompile(`(?m)^  nodes +=.*$`)
	shardsLine = regexp.MustCompile(`(?m)^  shards +=.*$`)
)

// startGateway starts a gateway, as a process of its own or in this one.
func (t *town) startGateway(h *host) error {
	head, rest, found := strings.Cut(t.source, `gateway "`+t.conf.Name+`"`)
	if !found {
		return fmt.Errorf("%s: write the gateway block as: gateway %q {", t.script.Config, t.conf.Name)
	}
	text := head + fmt.Sprintf("gateway %q", h.name) + rest
	text = strings.Replace(text, fmt.Sprintf("%q", t.conf.Sources[0].File), fmt.Sprintf("%q", filepath.Join(t.dir, "nodes.hcl")), 1)
	if t.plane != nil {
		text = nodesLine.ReplaceAllString(text, "") + fmt.Sprintf("\nsource \"xds\" \"plane\" {\n  address = %q\n  form = %q\n}\n", t.plane.Addr(), t.opt.EndpointSource)
	}
	if t.fleet != nil {
		text = t.fleet.configure(h, text)
	}
	if t.script.Shards > 0 {
		text = shardsLine.ReplaceAllString(text, fmt.Sprintf("  shards = %d", t.script.Shards))
	}
	text = strings.Replace(text, fmt.Sprintf("%q", t.conf.Listen), `"127.0.0.1:0"`, 1)
	if t.opt.Capture != "" {
		at := strings.Index(text, fmt.Sprintf("gateway %q", h.name))
		at += strings.IndexByte(text[at:], '{') + 1
		text = text[:at] + fmt.Sprintf("\n  capture {\n    folder = %q\n  }\n", t.opt.Capture) + text[at:]
	}
	text += t.script.disks()
	if err := os.WriteFile(h.file, []byte(text), 0o644); err != nil {
		return err
	}
	if t.opt.Program == "" {
		c, err := config.Load(h.file)
		if err != nil {
			return err
		}
		g, err := serve.Start(c, t.dir, slog.New(slog.NewTextHandler(t.opt.GatewayLog, nil)))
		if err != nil {
			return err
		}
		h.lock.Lock()
		if h.in, h.addr = g, g.Frontend.Addr(); g.ISCSI != nil {
			h.disk = g.ISCSI.Addr()
		}
		h.lock.Unlock()
		return nil
	}
	tries := 1
	if t.script.Fleet.Peers { // its address for the others may be taken for a moment by a connection that somebody makes
		tries = 40
	}
	var err error
	for range tries {
		if err = t.launch(h); err == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// launch starts a gateway's process, and waits until it says where it serves.
func (t *town) launch(h *host) error {
	cmd := exec.Command(t.opt.Program, "serve", "--config", h.file)
	cmd.Stderr = t.opt.GatewayLog
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewReader(out)
	last := func() string { // word of the next line
		line, e := lines.ReadString('\n')
		err = errors.Join(err, e)
		line = strings.TrimSpace(line)
		return line[strings.LastIndexByte(line, ' ')+1:]
	}
	addr, disk := last(), ""
	if t.script.disks() != "" {
		disk = last()
	}
	if err != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		return fmt.Errorf("gateway %s does not start: %w", h.name, err)
	}
	h.lock.Lock()
	h.out, h.addr, h.disk = cmd, addr, disk
	h.lock.Unlock()
	return nil
}

// stop ends a gateway as a crash does.
func (h *host) stop() {
	h.lock.Lock()
	in, out := h.in, h.out
	h.in, h.out = nil, nil
	h.lock.Unlock()
	if in != nil {
		in.Kill()
	}
	if out != nil {
		_ = out.Process.Kill()
		_ = out.Wait()
	}
}

func (h *host) where() string {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.addr
}

func (h *host) whereDisk() string {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.disk
}
