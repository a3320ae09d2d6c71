package config

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"irispost/internal/endpoint/membership"
	"irispost/internal/endpoint/xds"
	"irispost/internal/iscsi/negotiate"
	"irispost/internal/iscsi/target"
	"irispost/internal/layout"
)

// sources reads where the list comes from: the one file of the gateway block, or the source blocks in their order.
func (r *reader) sources(f *fileForm, g *Config) {
	nodes := r.text(f.Gateway.Nodes, "")
	switch {
	case f.Follow != nil:
		b := f.Follow
		g.Follow = &FleetClient{Replicas: b.Keepers, PollInterval: r.span(b.Pause, 10*time.Millisecond, time.Minute, 500*time.Millisecond), VersionLog: r.text(b.Record, ""),
			CacheDir: r.text(b.Dir, ""), PeerAddress: r.text(b.Peer, ""), PeerRoutes: r.texts(b.Reach)}
		if nodes != "" || len(f.Sources) > 0 {
			r.refuse(b.Range, "Two lists of nodes", "A gateway that follows has its list from the version in force, so it has no source and no nodes.")
		}
		if len(b.Keepers) == 0 {
			r.refuse(b.Range, "No keepers", "Name the keepers' addresses: keepers = [\"10.0.0.1:7100\", ...].")
		}
		for _, k := range b.Keepers {
			if _, _, err := net.SplitHostPort(k); err != nil {
				r.refuse(b.Range, "Not an address", "%q is no host with a port.", k)
			}
		}
	case nodes != "" && len(f.Sources) > 0:
		r.refuse(f.Gateway.Nodes.Range(), "Two ways to name sources", "Where there are source blocks, the list's file is one of them: source \"own\" \"NAME\" { file = %q }.", nodes)
	case nodes != "":
		g.Sources = []Source{{Name: "nodes", Kind: "own", File: nodes}}
	case len(f.Sources) == 0:
		r.refuse(f.Gateway.Range, "No list of nodes", "Name its file with nodes = \"nodes.hcl\", or write a source block.")
	}
	names := map[string]bool{}
	for _, b := range f.Sources {
		if names[b.Name] || b.Name == "" || strings.ContainsAny(b.Name, "/ ") {
			r.refuse(b.Range, "Bad name", "A source's name is its own, is not empty and has no space or slash.")
		}
		names[b.Name] = true
		g.Sources = append(g.Sources, r.source(&b, g))
	}
}

// source reads a source block. What its kind does not have is refused.
func (r *reader) source(b *sourceForm, g *Config) Source {
	s := Source{Name: b.Name, Kind: b.Kind}
	parts := []struct {
		name  string
		value hcl.Expression
		kinds string
		needs bool
	}{
		{"file", b.File, "own", true}, {"clusters", b.Clusters, "xds-file", true}, {"endpoints", b.Endpoints, "xds-file", true},
		{"address", b.Address, "xds", true}, {"form", b.Form, "xds", false}, {"node", b.Node, "xds", false}, {"fleet", b.Fleet, "xds", false},
		{"zone", b.Zone, "xds", false}, {"wanted", b.Wanted, "xds", false}, {"fetch", b.Fetch, "xds", false}, {"pause", b.Least, "xds", false},
		{"pause_most", b.Most, "xds", false}, {"message", b.Message, "xds", false},
	}
	if b.Kind != "own" && b.Kind != "xds" && b.Kind != "xds-file" {
		r.refuse(b.Range, "No such kind", "A source is \"own\" (a file in our own form), \"xds-file\" (files in xDS form) or \"xds\" (a management server), not %q.", b.Kind)
		return s
	}
	for _, p := range parts {
		_, there := r.value(p.value)
		if there && p.kinds != b.Kind {
			r.refuse(p.value.Range(), "Not of this kind", "A source of kind %q has no %s.", b.Kind, p.name)
		}
		if !there && p.kinds == b.Kind && p.needs {
			r.refuse(b.Range, "Something is missing", "A source of kind %q needs %s.", b.Kind, p.name)
		}
	}
	s.File, s.Clusters, s.Endpoints = r.text(b.File, ""), r.text(b.Clusters, ""), r.text(b.Endpoints, "")
	if b.Kind != "xds" {
		return s
	}
	form := r.text(b.Form, "delta")
	if form != "delta" && form != "whole" {
		r.refuse(b.Form.Range(), "No such form", "The protocol has the forms \"delta\" and \"whole\" (state of the world), not %q.", form)
	}
	s.XDS = xds.Options{Address: r.text(b.Address, ""), Incremental: form == "delta", NodeID: r.text(b.Node, g.Name), NodeCluster: r.text(b.Fleet, "irispost"),
		Zone: r.text(b.Zone, ""), InitialFetchTimeout: r.span(b.Fetch, time.Millisecond, time.Hour, xds.DefaultInitialFetchTimeout),
		MinBackoff: r.span(b.Least, time.Millisecond, time.Hour, xds.DefaultMinBackoff), MaxBackoff: r.span(b.Most, time.Millisecond, time.Hour, xds.DefaultMaxBackoff),
		MaxMessageBytes: int(r.size(b.Message, 64<<10, 1<<30, xds.DefaultMaxMessageBytes))}
	if s.XDS.MaxBackoff < s.XDS.MinBackoff {
		r.refuse(b.Range, "Pauses the wrong way round", "pause_most %v is under pause %v.", s.XDS.MaxBackoff, s.XDS.MinBackoff)
	}
	if _, _, err := net.SplitHostPort(s.XDS.Address); err != nil && s.XDS.Address != "" {
		r.refuse(b.Address.Range(), "Not an address", "%q is no host with a port.", s.XDS.Address)
	}
	if v, there := r.value(b.Wanted); there {
		if !v.CanIterateElements() {
			r.refuse(b.Wanted.Range(), "Not a list", "The names of clusters are expected here: [\"storage\"].")
			return s
		}
		for it := v.ElementIterator(); it.Next(); {
			if _, name := it.Element(); name.Type() == cty.String && name.AsString() != "" {
				s.XDS.Clusters = append(s.XDS.Clusters, name.AsString())
			} else {
				r.refuse(b.Wanted.Range(), "Not a name", "A cluster's name is a text.")
			}
		}
	}
	return s
}

func (r *reader) members(b *membersForm, g *Config) {
	if b == nil {
		b = &membersForm{}
	}
	d := membership.DefaultSettings
	span := func(e hcl.Expression, otherwise membership.Time) membership.Time {
		return int64(r.span(e, 0, 24*time.Hour, time.Duration(otherwise)))
	}
	g.Membership = membership.Settings{MaxLossRatio: r.number(b.Shrink, 0, 1, d.MaxLossRatio), HoldDown: span(b.Hold, d.HoldDown), RemovalGrace: span(b.Grace, d.RemovalGrace),
		MaxFlaps: r.count(b.Flaps, 0, 1000, d.MaxFlaps), FlapWindow: span(b.FlapWindow, d.FlapWindow), DampingTime: span(b.Rest, d.DampingTime),
		StaleAfter: span(b.Silent, d.StaleAfter), ForgetAfter: span(b.Forget, d.ForgetAfter)}
	g.EndpointCacheDir = r.text(b.Folder, "")
	g.FirstListTimeout = r.span(b.First, 0, time.Hour, 5*time.Second)
}

// disks reads targets and their units.
func (r *reader) disks(b *disksForm, g *Config) {
	if b == nil {
		return
	}
	d := &Disks{Listen: b.Listen, Limits: target.DefaultLimits}
	l := &d.Limits
	l.Connections = r.count(b.Most, 1, 1<<20, l.Connections)
	l.Login = r.span(b.Login, 100*time.Millisecond, time.Hour, l.Login)
	l.Pace.Most = r.count(b.Queue, 1, 1<<16, l.Pace.Most)
	l.Pace.Inside = r.count(b.Inside, 1, 1<<16, l.Pace.Inside)
	l.Pace.Start = min(l.Pace.Start, l.Pace.Inside)
	l.Unread = int(r.size(b.Unread, 64<<10, 1<<30, int64(l.Unread)))
	l.Wire.MaxUnsent = max(l.Wire.MaxUnsent, l.Unread+2*l.Pace.Bytes)
	files := map[string]string{}
	for _, f := range b.Targets {
		t := Target{Name: f.Name, LUNs: map[uint16]LUN{}}
		if !strings.HasPrefix(f.Name, "iqn.") && !strings.HasPrefix(f.Name, "eui.") && !strings.HasPrefix(f.Name, "naa.") || len(f.Name) > 223 {
			r.refuse(f.Range, "Bad name", "A target's name begins with iqn., eui. or naa. and has up to 223 bytes (RFC 7143, 4.2.7): \"iqn.2026-01.example:disk\".")
		}
		if c := f.Chap; c != nil {
			if len(c.Secret) < 12 || c.Secret == c.OurSecret {
				r.refuse(c.Range, "Bad secret", "A CHAP secret has at least 12 bytes (RFC 7143, 9.2.1), and each side has its own.")
			}
			t.Account = negotiate.Account{Name: c.Name, Secret: c.Secret, OurName: c.OurName, OurSecret: c.OurSecret}
		}
		for _, u := range f.Luns {
			n, err := strconv.ParseUint(u.Number, 10, 14)
			if _, twice := t.LUNs[uint16(n)]; err != nil || twice {
				r.refuse(u.Range, "Bad number", "A unit's number is its own, from 0 to 16383, not %q.", u.Number)
			}
			lun := LUN{File: u.File, Size: uint64(r.size(u.Size, 512, 1<<50, 0)), BlockBytes: uint32(r.size(u.Block, 512, 4096, 4096)), ReadOnly: u.Fixed}
			if lun.BlockBytes != 512 && lun.BlockBytes != 4096 {
				r.refuse(u.Range, "Bad block", "A block has 512 or 4096 bytes, not %d.", lun.BlockBytes)
			} else if lun.Size%uint64(lun.BlockBytes) != 0 || lun.Size == 0 {
				r.refuse(u.Range, "Bad size", "%d bytes are not whole blocks of %d.", lun.Size, lun.BlockBytes)
			}
			p, err := layout.Parse(u.File)
			if err != nil || p.Rel == "" || g.Volumes[p.Volume] == nil {
				r.refuse(u.Range, "No such file", "%q is no file of a volume of this gateway.", u.File)
			}
			if other := files[p.String()]; other != "" {
				r.refuse(u.Range, "File twice", "%s is shown by %s already.", u.File, other)
			}
			files[p.String()] = f.Name + " lun " + u.Number
			t.LUNs[uint16(n)] = lun
		}
		if len(t.LUNs) == 0 {
			r.refuse(f.Range, "No unit", "A target has at least one lun block.")
		}
		d.Targets = append(d.Targets, t)
	}
	g.Disks = d
}
