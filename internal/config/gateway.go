package config

import (
	"math"
	"strconv"
	"strings"
	"time"

	"irispost/internal/capture"
	"irispost/internal/front"
	"irispost/internal/sftp"
	"irispost/scheduler"
)

const (
	day = 24 * time.Hour

	// maxUnits is the upper bound of values in units and in units per second.
	maxUnits = 1e12
)

// config reads all blocks of a gateway's file.
func (d *decoder) config(blocks *gatewayFile) *Config {
	block := &blocks.Gateway
	if block.Limits == nil {
		block.Limits = &limitsBlock{}
	}
	if blocks.Units == nil {
		blocks.Units = &unitsBlock{}
	}
	c := d.gateway(block)
	d.limits(block.Limits, c)
	if block.Sweep != nil {
		c.SweepInterval = d.duration(block.Sweep.Interval, time.Second, day, 10*time.Minute)
		c.SweepMinAge = d.duration(block.Sweep.MinAge, time.Second, 30*day, time.Hour)
	}
	d.capture(block.Capture, c)
	c.AdminSocket = block.AdminSocket
	c.Units = front.Units{
		Bytes:   float64(d.bytes(blocks.Units.BytesPerUnit, 1, 1<<30, 16<<10)),
		Minimum: d.number(blocks.Units.Minimum, 1e-3, 1e6, 0.25),
	}
	c.Settings = scheduler.Settings{"number": "0", "discovery": "told", "tells.others": "true"}
	c.Settings["gateways"] = strconv.Itoa(d.count(block.GatewayCount, 1, 1<<20, 1))
	c.Settings["units.mean"] = formatNumber(d.number(blocks.Units.Mean, 1e-3, 1e6, 1))
	defaultMaximum := max(c.Units.Of(int(c.ExtentBytes)), 1)
	c.Settings["units.largest"] = formatNumber(d.number(blocks.Units.Maximum, 1e-3, 1e6, defaultMaximum))
	d.sources(blocks, c)
	d.membership(blocks.Membership, c)
	scheduling := blocks.scheduling()
	d.scheduling(&scheduling, c.Settings)
	d.serviceLevels(&scheduling, c.Settings)
	d.requestClasses(&scheduling, c)
	d.volumes(blocks, c)
	d.disks(blocks.Disks, c)
	return c
}

// gateway reads the attributes of the gateway block and the length of the event queue in its limits block.
func (d *decoder) gateway(block *gatewayBlock) *Config {
	c := &Config{
		Name:               block.Name,
		Listen:             block.Listen,
		Shards:             d.count(block.Shards, 1, 1<<16, 1),
		ExtentBytes:        uint32(d.bytes(block.ExtentBytes, 4<<10, 16<<20, 256<<10)),
		Seed:               uint64(d.count(block.Seed, 0, math.MaxInt32, 1)),
		ConnectTimeout:     d.duration(block.ConnectTimeout, time.Millisecond, time.Minute, 250*time.Millisecond),
		ConnectionsPerNode: d.count(block.ConnectionsPerNode, 1, 64, 2),
		ShutdownTimeout:    d.duration(block.ShutdownTimeout, 0, time.Hour, 10*time.Second),
		EventQueueLength:   d.count(block.Limits.EventQueue, 16, 1<<20, 4096),
		RequestClasses:     map[string]*RequestClass{},
		Volumes:            map[string]*front.Volume{},
		VolumeLimits:       map[int64]RateLimit{},
	}
	if c.Name == "" || strings.ContainsAny(c.Name, "/:# ") {
		d.reject(block.Range, "Invalid gateway name",
			"The name must not be empty or have a space, slash, colon or number sign.")
	}
	return c
}

// limits reads the limits of client connections.
func (d *decoder) limits(block *limitsBlock, config *Config) {
	wire := sftp.DefaultLimits
	wire.MaxPacket = int(d.bytes(block.PacketBytes, 34<<10, 16<<20, int64(wire.MaxPacket)))
	packet := int64(wire.MaxPacket)
	wire.MaxReadAhead = int(d.bytes(block.ReadAheadBytes, packet, 1<<30, max(int64(wire.MaxReadAhead), packet)))
	wire.MaxUnsent = int(d.bytes(block.UnsentBytes, packet, 1<<30, max(int64(wire.MaxUnsent), packet)))
	config.Limits = front.Limits{
		Connections: d.count(block.Connections, 1, 1<<20, 1024),
		Outstanding: d.count(block.Outstanding, 1, 1<<16, 256),
		Handles:     d.count(block.Handles, 1, 1<<20, 1024),
		Entries:     d.count(block.Entries, 1, 1<<24, 100_000),
		Wire:        wire,
	}
}

// capture reads the folder and limits of captures. Without the block the default limits apply.
func (d *decoder) capture(block *captureBlock, config *Config) {
	config.CaptureLimits = capture.DefaultLimits
	if block == nil {
		return
	}
	config.CaptureAtStart = block.AtStart == nil || *block.AtStart
	config.CaptureDir = d.text(block.Dir, "")
	if config.CaptureDir == "" {
		d.reject(block.Dir.Range(), "No capture folder", "The capture block needs a folder for its files.")
	}
	limits := &config.CaptureLimits
	limits.FileBytes = d.bytes(block.FileBytes, 1<<20, 1<<40, limits.FileBytes)
	limits.FileAge = d.duration(block.FileAge, time.Second, 30*day, limits.FileAge)
	limits.KeptFiles = d.count(block.KeptFiles, 1, 1<<20, limits.KeptFiles)
	limits.FlushInterval = d.duration(block.FlushInterval, 10*time.Millisecond, time.Minute, limits.FlushInterval)
	limits.QueuedBlocks = d.count(block.QueuedBlocks, 1, 4096, limits.QueuedBlocks)
}
