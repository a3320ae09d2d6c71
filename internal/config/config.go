// Package config reads the files that operators write in HCL: a gateway's configuration and the content of a
// configuration version. It checks them and returns the values that a gateway is started with, or the version itself.
// Command-line tools, tests and the scenario player call it. It owns no state; Load alone reads a file.
//
// What it rejects it names with file, line and column. docs/operators.md lists every key with its unit and default.
package config

import (
	"os"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"irispost/internal/capture"
	"irispost/internal/endpoint/membership"
	"irispost/internal/endpoint/xds"
	"irispost/internal/front"
	"irispost/internal/iscsi/negotiate"
	"irispost/internal/iscsi/target"
	"irispost/scheduler"
)

// Config is a gateway's configuration, checked. Paths are relative to the folder of its file.
type Config struct {
	Name               string
	Listen             string   // address of the file front end
	Sources            []Source // of the endpoint list, by precedence; empty for a gateway that follows replicas
	Membership         membership.Settings
	Follow             *FleetClient  // nil: the gateway follows no replicas
	EndpointCacheDir   string        // for the last accepted list of each source; empty: none is cached
	FirstListTimeout   time.Duration // how long the start waits for the first list of every source
	Shards             int
	ExtentBytes        uint32 // of a new file
	Seed               uint64 // of the scheduler's random draws
	ConnectTimeout     time.Duration
	ConnectionsPerNode int
	ShutdownTimeout    time.Duration
	EventQueueLength   int
	Limits             front.Limits
	Units              front.Units
	SweepInterval      time.Duration // 0: orphaned objects are not swept
	SweepMinAge        time.Duration // since the last write of an object that a sweep may remove
	AdminSocket        string        // path of the Unix socket; empty: none
	CaptureDir         string        // empty: a capture needs a folder of its own
	CaptureAtStart     bool
	CaptureLimits      capture.Limits
	Disks              *Disks // nil: none
	RequestClasses     map[string]*RequestClass
	Volumes            map[string]*front.Volume
	VolumeLimits       map[int64]RateLimit // by volume ID, for volumes whose service level has a rate limit
	Settings           scheduler.Settings  // the same values as the scheduler's start values
}

// RequestClass is a class of requests, as front ends and clients know it.
type RequestClass struct {
	front.RequestClass
	LatencyObjective time.Duration
	DedupWindow      time.Duration // for which nodes recognise a repeat; 0: they do not
}

// RateLimit is a volume's token bucket: its rate in units per second, its burst in units, and the slack in units by
// which a check lets a volume exceed it.
type RateLimit struct{ Rate, Burst, Slack float64 }

// SourceKind is where an endpoint source has its list from, as the configuration names it.
type SourceKind string

// The kinds of endpoint sources.
const (
	SourceOwnFile SourceKind = "own"      // a file in the form of package endpoint
	SourceXDSFile SourceKind = "xds-file" // files with Envoy clusters and endpoints
	SourceXDS     SourceKind = "xds"      // an xDS management server
)

// Source is a source of the endpoint list. Its files are as the configuration names them.
type Source struct {
	Name      string
	Kind      SourceKind
	File      string      // of SourceOwnFile
	Clusters  string      // of SourceXDSFile
	Endpoints string      // of SourceXDSFile
	XDS       xds.Options // of SourceXDS; whoever runs it adds seed and log
}

// FleetClient is how a gateway follows the replicas of the configuration log.
type FleetClient struct {
	Replicas     []string          // addresses
	PollInterval time.Duration     // between two renewals of the lease
	VersionLog   string            // file that records which versions were acted on; empty: none
	CacheDir     string            // for the last content; empty: it is not cached
	PeerAddress  string            // where other gateways reach this one for slow-start budgets; empty: they do not
	PeerRoutes   map[string]string // from the addresses that other gateways give to those that reach them
}

// Disks are a gateway's iSCSI targets.
type Disks struct {
	Listen  string
	Limits  target.Limits
	Targets []Target
}

// Target is an iSCSI target with its logical units.
type Target struct {
	Name    string
	Account negotiate.Account // empty: no CHAP
	LUNs    map[uint16]LUN
}

// LUN is a file that is shown as a disk.
type LUN struct {
	File       string
	Size       uint64 // bytes
	BlockBytes uint32
	ReadOnly   bool
}

// Load reads and checks a gateway's configuration file. A configuration that is rejected is an error of type Problems.
func Load(file string) (*Config, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, src)
}

// Parse checks the text of a gateway's configuration; file is its name in errors of type Problems.
func Parse(file string, src []byte) (*Config, error) {
	var blocks gatewayFile
	if _, err := decode(file, src, &blocks); err != nil {
		return nil, err
	}
	d := &decoder{}
	c := d.config(&blocks)
	if d.diags.HasErrors() {
		return nil, problemsOf(d.diags)
	}
	return c, nil
}

// decode parses HCL into a struct of blocks.
func decode(file string, src []byte, blocks any) (hcl.Body, error) {
	parsed, diags := hclparse.NewParser().ParseHCL(src, file)
	if diags.HasErrors() {
		return nil, problemsOf(diags)
	}
	if diags := gohcl.DecodeBody(parsed.Body, nil, blocks); diags.HasErrors() {
		return nil, problemsOf(diags)
	}
	return parsed.Body, nil
}

// Problems are the reasons why a file is rejected, one line each: file:line,column: reason.
type Problems []string

// Error joins the lines.
func (p Problems) Error() string { return strings.Join(p, "\n") }

func problemsOf(diags hcl.Diagnostics) Problems {
	var p Problems
	for _, err := range diags.Errs() {
		p = append(p, err.Error())
	}
	return p
}
