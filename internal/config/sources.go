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

// The variants of the xDS protocol, by their names in the configuration.
const (
	protocolIncremental = "delta"
	protocolFullState   = "whole"
)

// sources reads where the endpoint list comes from: the replicas, the file in the gateway block, or the source blocks
// in order of precedence.
func (d *decoder) sources(blocks *gatewayFile, config *Config) {
	file := d.text(blocks.Gateway.EndpointFile, "")
	switch {
	case blocks.Follow != nil:
		config.Follow = d.follow(blocks.Follow, file != "" || len(blocks.Sources) > 0)
	case file != "" && len(blocks.Sources) > 0:
		d.reject(blocks.Gateway.EndpointFile.Range(), "Conflicting endpoint sources",
			"nodes and source blocks exclude each other. Write source \"own\" \"NAME\" { file = %q } instead.", file)
	case file != "":
		config.Sources = []Source{{Name: "nodes", Kind: SourceOwnFile, File: file}}
	case len(blocks.Sources) == 0:
		d.reject(blocks.Gateway.Range, "No endpoint source",
			"Set nodes = \"nodes.hcl\" in the gateway block, or write a source block.")
	}
	names := map[string]bool{}
	for _, block := range blocks.Sources {
		if names[block.Name] || block.Name == "" || strings.ContainsAny(block.Name, "/ ") {
			d.reject(block.Range, "Invalid source name",
				"The name must be unique, must not be empty and must not have a space or slash.")
		}
		names[block.Name] = true
		config.Sources = append(config.Sources, d.source(&block, config.Name))
	}
}

// follow reads how the gateway follows the replicas. Such a gateway has no endpoint source.
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
		d.reject(block.Range, "Conflicting endpoint sources",
			"A gateway with a follow block has the list of the version in force: remove nodes and the source blocks.")
	}
	if len(block.Replicas) == 0 {
		d.reject(block.Range, "No keepers", "List the addresses of the keepers: keepers = [\"10.0.0.1:7100\", ...].")
	}
	for _, addr := range block.Replicas {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			d.reject(block.Range, "Not an address", "%q is not of the form host:port.", addr)
		}
	}
	return client
}

// source reads a source block of the named gateway. It rejects attributes that the kind of source does not have.
func (d *decoder) source(block *sourceBlock, gateway string) Source {
	source := Source{Name: block.Name, Kind: SourceKind(block.Kind)}
	if source.Kind != SourceOwnFile && source.Kind != SourceXDS && source.Kind != SourceXDSFile {
		d.reject(block.Range, "Unknown kind", "A source is \"own\" (a file in irispost's own format), "+
			"\"xds-file\" (files with xDS resources) or \"xds\" (a management server), not %q.", block.Kind)
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

// checkSourceAttributes rejects attributes that belong to other kinds of sources, and reports required attributes
// that are missing.
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
			d.reject(attribute.value.Range(), "Unsupported attribute",
				"A source of kind %q has no attribute %s.", kind, attribute.name)
		}
		if !present && attribute.of == kind && attribute.required {
			d.reject(block.Range, "Missing attribute",
				"A source of kind %q needs the attribute %s.", kind, attribute.name)
		}
	}
}

func (d *decoder) xdsOptions(block *sourceBlock, gateway string) xds.Options {
	protocol := d.text(block.Protocol, protocolIncremental)
	if protocol != protocolIncremental && protocol != protocolFullState {
		d.reject(block.Protocol.Range(), "Unknown form",
			"The form of the protocol is \"delta\" (incremental) or \"whole\" (state of the world), not %q.", protocol)
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
		d.reject(block.Range, "Conflicting pauses", "pause_most %v is less than pause %v.",
			options.MaxBackoff, options.MinBackoff)
	}
	if _, _, err := net.SplitHostPort(options.Address); err != nil && options.Address != "" {
		d.reject(block.Address.Range(), "Not an address", "%q is not of the form host:port.", options.Address)
	}
	options.Clusters = d.clusterNames(block.ClusterNames)
	return options
}

// clusterNames reads the names of the clusters to subscribe to; none: all clusters.
func (d *decoder) clusterNames(expression hcl.Expression) []string {
	value, present := d.value(expression)
	if !present {
		return nil
	}
	if !value.CanIterateElements() {
		d.reject(expression.Range(), "Not a list", "A list of cluster names is expected, for example [\"storage\"].")
		return nil
	}
	var names []string
	for elements := value.ElementIterator(); elements.Next(); {
		_, name := elements.Element()
		if name.Type() != cty.String || name.AsString() == "" {
			d.reject(expression.Range(), "Not a cluster name", "A cluster name must be a string that is not empty.")
			continue
		}
		names = append(names, name.AsString())
	}
	return names
}

// membership reads the settings that damp and hold down changes of the endpoint list, and those that apply at startup.
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
