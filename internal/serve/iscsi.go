package serve

import (
	"context"
	"fmt"
	"time"

	"irispost/internal/config"
	"irispost/internal/iscsi/target"
	"irispost/internal/scsi"
)

const (
	// maxTransferBytes is the maximum transfer length that a logical unit reports to initiators.
	maxTransferBytes = 4 << 20

	// Limits of the backoff between attempts to open the file that backs a logical unit.
	minOpenBackoff = 100 * time.Millisecond
	maxOpenBackoff = 5 * time.Second
)

// startISCSI starts the iSCSI target server. Each logical unit becomes ready once its file has been opened.
func (g *Gateway) startISCSI(ctx context.Context) (*target.Server, error) {
	opt := target.Options{Front: g.Frontend, Limits: g.Config.Disks.Limits, Log: g.logger}
	for _, conf := range g.Config.Disks.Targets {
		t := &target.Target{Name: conf.Name, Account: conf.Account, Units: map[uint16]*target.Unit{}}
		opt.Targets = append(opt.Targets, t)
		for number, lun := range conf.LUNs {
			unit := &target.Unit{Unit: scsi.Unit{
				Serial:            lun.File,
				BlockSize:         lun.BlockBytes,
				Blocks:            lun.Size / uint64(lun.BlockBytes),
				ReadOnly:          lun.ReadOnly,
				MaxTransferBlocks: maxTransferBytes / lun.BlockBytes,
				ExtentSize:        g.Config.ExtentBytes,
			}}
			t.Units[number] = unit
			name := fmt.Sprintf("%s, unit %d", conf.Name, number)
			g.spawn(func() { g.openUnit(ctx, unit, name, lun) })
		}
	}
	return target.Listen(g.Config.Disks.Listen, opt)
}

// openUnit opens the file that backs a logical unit. It retries, since storage nodes may start after the gateway.
func (g *Gateway) openUnit(ctx context.Context, unit *target.Unit, name string, lun config.LUN) {
	for backoff := minOpenBackoff; ; backoff = min(2*backoff, maxOpenBackoff) {
		disk, err := g.Frontend.OpenDisk(lun.File, lun.Size)
		if err == nil {
			unit.SetDisk(disk)
			return
		}
		g.logger.Warn("logical unit not ready, retrying",
			"gateway", g.Config.Name, "unit", name, "file", lun.File, "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
	}
}

// closeISCSI closes the iSCSI sessions and commits the writes to their logical units.
func (g *Gateway) closeISCSI() {
	if g.ISCSI == nil {
		return
	}
	if err := g.ISCSI.Close(); err != nil {
		g.logger.Warn("commit of logical units failed, writes since the last sync may be lost",
			"gateway", g.Config.Name, "err", err)
	}
}
