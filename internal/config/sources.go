package config

import (
	"net"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"irispost/internal/endpoint/membership"
	"irispost/internal/endpoint/xds"
)

// The forms of the xDS protocol, as the configuration names them.
const (
	protocolIncremental = "delta"
	protocolFullState   = "whole"
)

// sources reads where the endpoint list comes from: the replicas, the one file of the gateway block, or the source
// blocks in their order of precedence.
func (d *decoder) sources(blocks *gatewayFile, config *Config) {
	file := d.text(blocks.Gateway.EndpointFile, "")
	switch {
	case blocks.Follow != nil:
		config.Follow = d.follow(blocks.Follow, file != "" || len(blocks.Sources) > 0)
	case file != "" && len(blocks.Sources) > 0:
		d.reject(blocks.Gateway.EndpointFile.Range(), "Two ways to name sources",
			"Where there are source blocks, the list's file is one of them: source \"own\" \"NAME\" { file = %q }.", file)
	case file != "":
		config.Sources = []Source{{Name: "nodes", Kind: SourceOwnFile, File: file}}
	case len(blocks.Sources) == 0:
		d.reject(blocks.Gateway.Range, "No list of nodes",
			"Name its file with nodes = \"nodes.hcl\", or write a source block.")
	}
	names := map[string]bool{}
	for _, block := range blocks.Sources {
		if names[block.Name] || block.Name == "" || strings.ContainsAny(block.Name, "/ ") {
			d.reject(block.Range, "Bad name", "A source's name is its own, is not empty and has no space or slash.")
		}
		names[block.Name] = true
		config.Sources = append(config.Sources, d.source(&block, config.Name))
	}
}

// follow reads how the gateway follows the replicas. It has no endpoint source besides.
func (d *decoder) follow(block *followBlock, hasSources bool) *FleetClient {
	client := &FleetClient{
		Replicas:     block.Replicas,
		PollInterval: d.duration(block.PollInterval, 10*time.Millisecond, time.Minute, 500*time.Millisecond),
		VersionLog:   d.text(block.VersionLog, ""),
		CacheDir:     d.text(block.CacheDir, ""),
		PeerAddress:  d.text(block.PeerAddress, ""),
		PeerRoutes:   d.textMap(block.PeerRoutes),
	}
	if hasSources {
		d.reject(block.Range, "Two lists of nodes",
			"A gateway that follows has its list from the version in force, so it has no source and no nodes.")
	}
	if len(block.Replicas) == 0 {
		d.reject(block.Range, "No keepers", "Name the keepers' addresses: keepers = [\"10.0.0.1:7100\", ...].")
	}
	for _, addr := range block.Replicas {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			d.reject(block.Range, "Not an address", "%q is no host with a port.", addr)
		}
	}
	return client
}

// source reads a source block of the gateway of a name. What its kind does not have is rejected.
func (d *decoder) source(block *sourceBlock, gateway string) Source {
	source := Source{Name: block.Name, Kind: SourceKind(block.Kind)}
	if source.Kind != SourceOwnFile && source.Kind != SourceXDS && source.Kind != SourceXDSFile {
		d.reject(block.Range, "No such kind", "A source is \"own\" (a file in our own form), "+
			"\"xds-file\" (files in xDS form) or \"xds\" (a management server), not %q.", block.Kind)
		return source
	}
	d.checkSourceAttributes(block)
	source.File = d.text(block.File, "")
	source.Clusters = d.text(block.Clusters, "")
	source.Endpoints = d.text(block.Endpoints, "")
	if source.Kind == SourceXDS {
		source.XDS = d.xdsOptions(block, gateway)
	}
	return source
}

// checkSourceAttributes rejects attributes of other kinds, and misses those that the block's kind needs.
func (d *decoder) checkSourceAttributes(block *sourceBlock) {
	kind := SourceKind(block.Kind)
	for _, attribute := range []struct {
		name     string
		value    hcl.Expression
		of       SourceKind
		required bool
	}{
		{"file", block.File, SourceOwnFile, true},
		{"clusters", block.Clusters, SourceXDSFile, true},
		{"endpoints", block.Endpoints, SourceXDSFile, true},
		{"address", block.Address, SourceXDS, true},
		{"form", block.Protocol, SourceXDS, false},
		{"node", block.NodeID, SourceXDS, false},
		{"fleet", block.NodeCluster, SourceXDS, false},
		{"zone", block.Zone, SourceXDS, false},
		{"wanted", block.ClusterNames, SourceXDS, false},
		{"fetch", block.FetchTimeout, SourceXDS, false},
		{"pause", block.MinBackoff, SourceXDS, false},
		{"pause_most", block.MaxBackoff, SourceXDS, false},
		{"message", block.MessageBytes, SourceXDS, false},
	} {
		_, present := d.value(attribute.value)
		if present && attribute.of != kind {
			d.reject(attribute.value.Range(), "Not of this kind",
				"A source of kind %q has no %s.", kind, attribute.name)
		}
		if !present && attribute.of == kind && attribute.required {
			d.reject(block.Range, "Something is missing", "A source of kind %q needs %s.", kind, attribute.name)
		}
	}
}

func (d *decoder) xdsOptions(block *sourceBlock, gateway string) xds.Options {
	protocol := d.text(block.Protocol, protocolIncremental)
	if protocol != protocolIncremental && protocol != protocolFullState {
		d.reject(block.Protocol.Range(), "No such form",
			"The protocol has the forms \"delta\" and \"whole\" (state of the world), not %q.", protocol)
	}
	options := xds.Options{
		Address:             d.text(block.Address, ""),
		Incremental:         protocol == protocolIncremental,
		NodeID:              d.text(block.NodeID, gateway),
		NodeCluster:         d.text(block.NodeCluster, "irispost"),
		Zone:                d.text(block.Zone, ""),
		InitialFetchTimeout: d.duration(block.FetchTimeout, time.Millisecond, time.Hour, xds.DefaultInitialFetchTimeout),
		MinBackoff:          d.duration(block.MinBackoff, time.Millisecond, time.Hour, xds.DefaultMinBackoff),
		MaxBackoff:          d.duration(block.MaxBackoff, time.Millisecond, time.Hour, xds.DefaultMaxBackoff),
		MaxMessageBytes:     int(d.bytes(block.MessageBytes, 64<<10, 1<<30, xds.DefaultMaxMessageBytes)),
	}
	if options.MaxBackoff < options.MinBackoff {
		d.reject(block.Range, "Pauses the wrong way round", "pause_most %v is under pause %v.",
			options.MaxBackoff, options.MinBackoff)
	}
	if _, _, err := net.SplitHostPort(options.Address); err != nil && options.Address != "" {
		d.reject(block.Address.Range(), "Not an address", "%q is no host with a port.", options.Address)
	}
	options.Clusters = d.clusterNames(block.ClusterNames)
	return options
}

// clusterNames reads the names of the clusters that are subscribed to; none: all of them.
func (d *decoder) clusterNames(expression hcl.Expression) []string {
	value, present := d.value(expression)
	if !present {
		return nil
	}
	if !value.CanIterateElements() {
		d.reject(expression.Range(), "Not a list", "The names of clusters are expected here: [\"storage\"].")
		return nil
	}
	var names []string
	for elements := value.ElementIterator(); elements.Next(); {
		_, name := elements.Element()
		if name.Type() != cty.String || name.AsString() == "" {
			d.reject(expression.Range(), "Not a name", "A cluster's name is a text.")
			continue
		}
		names = append(names, name.AsString())
	}
	return names
}

// membership reads how changes of the endpoint list are damped and held.
func (d *decoder) membership(block *membershipBlock, config *Config) {
	block = orEmpty(block)
	defaults := membership.DefaultSettings
	duration := func(e hcl.Expression, fallback membership.Time) membership.Time {
		return int64(d.duration(e, 0, day, time.Duration(fallback)))
	}
	config.Membership = membership.Settings{
		MaxLossRatio: d.number(block.MaxLossRatio, 0, 1, defaults.MaxLossRatio),
		HoldDown:     duration(block.HoldDown, defaults.HoldDown),
		RemovalGrace: duration(block.RemovalGrace, defaults.RemovalGrace),
		MaxFlaps:     d.count(block.MaxFlaps, 0, 1000, defaults.MaxFlaps),
		FlapWindow:   duration(block.FlapWindow, defaults.FlapWindow),
		DampingTime:  duration(block.DampingTime, defaults.DampingTime),
		StaleAfter:   duration(block.StaleAfter, defaults.StaleAfter),
		ForgetAfter:  duration(block.ForgetAfter, defaults.ForgetAfter),
	}
	config.EndpointCacheDir = d.text(block.CacheDir, "")
	config.FirstListTimeout = d.duration(block.FirstListTimeout, 0, time.Hour, 5*time.Second)
}
