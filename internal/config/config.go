// Package config reads the HCL files that operators write: a gateway's configuration and the content of a
// configuration version. It validates them and returns the values with which a gateway starts, or the version.
// Command-line tools, tests and the scenario player call it. The package owns no state; only Load reads a file.
//
// Errors name the file, line and column. docs/operators.md lists every key with its unit and default.
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

// Config is a validated gateway configuration. Paths are relative to the folder of its file.
type Config struct {
	Name               string
	Listen             string   // address of the file front end
	Sources            []Source // of the endpoint list, in order of precedence; empty if the gateway follows replicas
	Membership         membership.Settings
	Follow             *FleetClient  // nil: the gateway does not follow replicas
	EndpointCacheDir   string        // holds the last accepted list of each source; empty: lists are not cached
	FirstListTimeout   time.Duration // how long startup waits for the first list of every source
	Shards             int
	ExtentBytes        uint32 // extent size of new files
	Seed               uint64 // of the scheduler's random numbers
	ConnectTimeout     time.Duration
	ConnectionsPerNode int
	ShutdownTimeout    time.Duration
	EventQueueLength   int
	Limits             front.Limits
	Units              front.Units
	SweepInterval      time.Duration // 0: orphaned objects are not swept
	SweepMinAge        time.Duration // minimum time since the last write of an object that a sweep may remove
	AdminSocket        string        // path of the Unix socket; empty: none
	CaptureDir         string        // empty: a request to start a capture must name a folder
	CaptureAtStart     bool
	CaptureLimits      capture.Limits
	Disks              *Disks // nil: none
	RequestClasses     map[string]*RequestClass
	Volumes            map[string]*front.Volume
	VolumeLimits       map[int64]RateLimit // by volume ID; only volumes whose service level has a rate limit
	Settings           scheduler.Settings  // the same configuration as the scheduler's initial settings
}

// RequestClass is a request class as front ends and clients see it.
type RequestClass struct {
	front.RequestClass
	LatencyObjective time.Duration
	DedupWindow      time.Duration // how long nodes recognise a repeated request; 0: they do not
}

// RateLimit is a volume's token bucket: its rate in units per second, its burst in units, and the slack in units by
// which a check lets a volume exceed it.
type RateLimit struct{ Rate, Burst, Slack float64 }

// SourceKind is the kind of an endpoint source, by its name in the configuration.
type SourceKind string

// The kinds of endpoint sources.
const (
	SourceOwnFile SourceKind = "own"      // a file in the format of package endpoint
	SourceXDSFile SourceKind = "xds-file" // files with Envoy clusters and endpoints
	SourceXDS     SourceKind = "xds"      // an xDS management server
)

// Source is a source of the endpoint list. Its file names are those in the configuration.
type Source struct {
	Name      string
	Kind      SourceKind
	File      string      // of SourceOwnFile
	Clusters  string      // of SourceXDSFile
	Endpoints string      // of SourceXDSFile
	XDS       xds.Options // of SourceXDS; the caller adds seed and log
}

// FleetClient configures how a gateway follows the replicas of the configuration log.
type FleetClient struct {
	Replicas     []string          // host:port
	PollInterval time.Duration     // between renewals of the lease
	VersionLog   string            // file that records which versions the gateway has applied; empty: none
	CacheDir     string            // holds the last content; empty: it is not cached
	PeerAddress  string            // where other gateways ask this one for slow-start budgets; empty: they cannot
	PeerRoutes   map[string]string // maps the address that a gateway announces to the one that reaches it
}

// Disks configures a gateway's iSCSI targets.
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

// LUN is a file that is exported as a logical unit.
type LUN struct {
	File       string
	Size       uint64 // bytes
	BlockBytes uint32
	ReadOnly   bool
}

// Load reads and validates a gateway's configuration file. For an invalid configuration the error is of type
// Problems.
func Load(file string) (*Config, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, src)
}

// Parse validates the text of a gateway's configuration. Errors are of type Problems and refer to it as file.
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

// decode parses HCL into a struct that describes the blocks.
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

// Problems lists why a file is rejected, one line for each reason: file:line,column: reason.
type Problems []string

// Error returns the reasons, one on each line.
func (p Problems) Error() string { return strings.Join(p, "\n") }

func problemsOf(diags hcl.Diagnostics) Problems {
	var p Problems
	for _, err := range diags.Errs() {
		p = append(p, err.Error())
	}
	return p
}
