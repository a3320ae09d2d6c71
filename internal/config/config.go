// Package config reads a gateway's configuration (HCL), checks it, and makes of it what the gateway is started with.
// What it refuses it names with file, line and column. docs/operators.md lists every key with its unit and default.
package config

import (
	"math"
	"os"
	"strconv"
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
	"irispost/internal/sftp"
	"irispost/scheduler"
)

// RequestClass is a kind of job, as its clients know it.
type RequestClass struct {
	front.Product
	LatencyObjective time.Duration
	DedupWindow      time.Duration
}

// Limit is a volume's limit, in units a second and units.
type Limit struct{ Rate, Burst, Slack float64 }

// Source is where lists of nodes come from. Files are as they stand in the configuration.
type Source struct {
	Name                      string
	Kind                      string // own, xds-file or xds
	File, Clusters, Endpoints string
	XDS                       xds.Options // of kind xds; whoever runs it adds seed and log
}

// FleetClient is where a gateway has its list of nodes from that follows versions.
type FleetClient struct {
	Replicas     []string
	PollInterval time.Duration     // between asks for a lease
	VersionLog   string            // file for what was acted on from when; empty: none
	CacheDir     string            // folder for the last content, its own; empty: none
	PeerAddress  string            // where other gateways reach it, to deal out what cold nodes bear; empty: they do not
	PeerRoutes   map[string]string // where it reaches others, by the addresses that they give
}

// Disks are a gateway's iSCSI targets.
type Disks struct {
	Listen  string
	Limits  target.Limits
	Targets []Target
}

// Target is a target with its units.
type Target struct {
	Name    string
	Account negotiate.Account
	LUNs    map[uint16]LUN
}

// LUN is a file that is shown as a disk.
type LUN struct {
	File       string
	Size       uint64 // bytes
	BlockBytes uint32
	ReadOnly   bool
}

// Config is a configuration that was read and checked.
type Config struct {
	Name               string
	Listen             string
	Sources            []Source // of the list of nodes, by precedence
	Membership         membership.Settings
	Follow             *FleetClient  // nil: it follows nobody
	EndpointCacheDir   string        // for the last lists; empty: they are not kept
	FirstListTimeout   time.Duration // the longest wait for all sources' first words before clients are served
	Shards             int
	ExtentBytes        uint32
	Seed               uint64
	ConnectTimeout     time.Duration
	ConnectionsPerNode int
	ShutdownTimeout    time.Duration
	EventQueueLength   int
	Limits             front.Limits
	Units              front.Units
	SweepInterval      time.Duration // 0: no sweeps
	SweepMinAge        time.Duration // objects that nobody wrote for so long are swept, where nothing refers to them
	AdminSocket        string        // the socket for the command-line tool; empty: none
	CaptureDir         string        // the folder for captures; empty: none unless one is asked for
	CaptureAtStart     bool          // a capture begins with the gateway
	CaptureLimits      capture.Limits
	Disks              *Disks // nil: none
	RequestClasses     map[string]*RequestClass
	Volumes            map[string]*front.Volume
	VolumeLimits       map[int64]Limit // by volume, where its plan has a limit
	Settings           scheduler.Settings
}

// Load reads a file.
func Load(file string) (*Config, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, src)
}

// Parse reads a configuration.
func Parse(file string, src []byte) (*Config, error) {
	f, diags := hclparse.NewParser().ParseHCL(src, file)
	if diags.HasErrors() {
		return nil, problems(diags)
	}
	var form fileForm
	if diags := gohcl.DecodeBody(f.Body, nil, &form); diags.HasErrors() {
		return nil, problems(diags)
	}
	r := &reader{}
	g := r.gateway(&form)
	if r.diags.HasErrors() {
		return nil, problems(r.diags)
	}
	return g, nil
}

// Problems is what was found wrong, one line each: file:line,column: what.
type Problems []string

func (p Problems) Error() string { return strings.Join(p, "\n") }

func problems(diags hcl.Diagnostics) Problems {
	var p Problems
	for _, d := range diags.Errs() {
		p = append(p, d.Error())
	}
	return p
}

// gateway reads everything.
func (r *reader) gateway(f *fileForm) *Config {
	b := &f.Gateway
	if b.Limits == nil {
		b.Limits = &limitsForm{}
	}
	if f.Units == nil {
		f.Units = &unitsForm{}
	}
	g := &Config{Name: b.Name, Listen: b.Listen,
		Shards: r.count(b.Shards, 1, 1<<16, 1), ExtentBytes: uint32(r.size(b.Extent, 4<<10, 16<<20, 256<<10)),
		Seed: uint64(r.count(b.Seed, 0, math.MaxInt32, 1)), ConnectTimeout: r.span(b.Connect, time.Millisecond, 60*second, 250*time.Millisecond),
		ConnectionsPerNode: r.count(b.Each, 1, 64, 2), ShutdownTimeout: r.span(b.StopBy, 0, time.Hour, 10*second),
		EventQueueLength: r.count(b.Limits.Queue, 16, 1<<20, 4096),
		RequestClasses:   map[string]*RequestClass{}, Volumes: map[string]*front.Volume{}, VolumeLimits: map[int64]Limit{}}
	if b.Name == "" || strings.ContainsAny(b.Name, "/:# ") {
		r.refuse(b.Range, "Bad name", "A gateway's name is not empty and has no space, slash, colon or number sign.")
	}
	wire := sftp.DefaultLimits
	wire.MaxPacket = int(r.size(b.Limits.Packet, 34<<10, 16<<20, int64(wire.MaxPacket)))
	wire.MaxReadAhead = int(r.size(b.Limits.Ahead, int64(wire.MaxPacket), 1<<30, int64(max(wire.MaxReadAhead, wire.MaxPacket))))
	wire.MaxUnsent = int(r.size(b.Limits.Unread, int64(wire.MaxPacket), 1<<30, int64(max(wire.MaxUnsent, wire.MaxPacket))))
	g.Limits = front.Limits{Connections: r.count(b.Limits.Connections, 1, 1<<20, 1024),
		Outstanding: r.count(b.Limits.Outstanding, 1, 1<<16, 256), Handles: r.count(b.Limits.Handles, 1, 1<<20, 1024),
		Entries: r.count(b.Limits.Entries, 1, 1<<24, 100_000), Wire: wire}
	if b.Sweep != nil {
		g.SweepInterval = r.span(b.Sweep.Every, second, 24*time.Hour, 10*time.Minute)
		g.SweepMinAge = r.span(b.Sweep.Idle, second, 30*24*time.Hour, time.Hour)
	}
	l := capture.DefaultLimits
	if c := b.Capture; c != nil {
		g.CaptureAtStart = c.First == nil || *c.First
		g.CaptureDir = r.text(c.Folder, "")
		if g.CaptureDir == "" {
			r.refuse(c.Folder.Range(), "No folder", "A capture needs a folder to lie in.")
		}
		l.FileBytes = r.size(c.Most, 1<<20, 1<<40, l.FileBytes)
		l.FileAge = r.span(c.Age, time.Second, 30*24*time.Hour, l.FileAge)
		l.KeptFiles = r.count(c.Keep, 1, 1<<20, l.KeptFiles)
		l.FlushInterval = r.span(c.Flush, 10*time.Millisecond, time.Minute, l.FlushInterval)
		l.QueuedBlocks = r.count(c.Behind, 1, 4096, l.QueuedBlocks)
	}
	g.CaptureLimits, g.AdminSocket = l, b.Admin
	g.Units = front.Units{Bytes: float64(r.size(f.Units.Bytes, 1, 1<<30, 16<<10)), Least: r.number(f.Units.Least, 1e-3, 1e6, 0.25)}
	t := scheduler.Settings{"number": "0", "discovery": "told", "tells.others": "true"}
	t["gateways"] = strconv.Itoa(r.count(b.Gateways, 1, 1<<20, 1))
	t["units.mean"] = plain(r.number(f.Units.Mean, 1e-3, 1e6, 1))
	t["units.largest"] = plain(r.number(f.Units.Largest, 1e-3, 1e6, max(g.Units.Of(int(g.ExtentBytes)), 1)))
	g.Settings = t
	r.sources(f, g)
	r.members(f.Members, g)
	r.rules(f, t)
	r.plans(f, g)
	r.products(f, g)
	r.volumes(f, g)
	r.disks(f.Disks, g)
	return g
}
