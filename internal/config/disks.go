package config

import (
	"strconv"
	"strings"
	"time"

	"irispost/internal/iscsi/negotiate"
	"irispost/internal/iscsi/target"
	"irispost/internal/layout"
)

const (
	maxTargetNameBytes = 223 // RFC 7143, 4.2.7.1
	minSecretBytes     = 12  // RFC 7143, 9.2.1
	lunBits            = 14  // of a logical unit number in flat addressing

	smallBlock = 512
	largeBlock = 4096
)

// disks reads the disks block with the iSCSI targets.
func (d *decoder) disks(block *disksBlock, config *Config) {
	if block == nil {
		return
	}
	disks := &Disks{Listen: block.Listen, Limits: target.DefaultLimits}
	limits := &disks.Limits
	limits.Connections = d.count(block.Connections, 1, 1<<20, limits.Connections)
	limits.Login = d.duration(block.LoginTimeout, 100*time.Millisecond, time.Hour, limits.Login)
	limits.Pace.MaxWindow = d.count(block.SessionQueue, 1, 1<<16, limits.Pace.MaxWindow)
	limits.Pace.MaxBound = d.count(block.InFlight, 1, 1<<16, limits.Pace.MaxBound)
	limits.Pace.InitialBound = min(limits.Pace.InitialBound, limits.Pace.MaxBound)
	limits.Unread = int(d.bytes(block.UnsentBytes, 64<<10, 1<<30, int64(limits.Unread)))
	limits.Wire.MaxUnsent = max(limits.Wire.MaxUnsent, limits.Unread+2*limits.Pace.MaxBytes)
	lunByFile := map[string]string{} // logical unit that exports a file, by the file's path
	for _, targetBlock := range block.Targets {
		disks.Targets = append(disks.Targets, d.target(&targetBlock, config, lunByFile))
	}
	config.Disks = disks
}

func (d *decoder) target(block *targetBlock, config *Config, lunByFile map[string]string) Target {
	if !validTargetName(block.Name) {
		d.reject(block.Range, "Invalid target name",
			"A target name begins with iqn., eui. or naa. and has at most %d bytes "+
				"(RFC 7143, 4.2.7), for example \"iqn.2026-01.example:disk\".", maxTargetNameBytes)
	}
	t := Target{Name: block.Name, LUNs: map[uint16]LUN{}}
	if chap := block.CHAP; chap != nil {
		if len(chap.Secret) < minSecretBytes || chap.Secret == chap.TargetSecret {
			d.reject(chap.Range, "Invalid secret",
				"A CHAP secret needs at least %d bytes (RFC 7143, 9.2.1), and the two sides need different ones.", minSecretBytes)
		}
		t.Account = negotiate.Account{Name: chap.Name, Secret: chap.Secret,
			TargetName: chap.TargetName, TargetSecret: chap.TargetSecret}
	}
	for _, lunBlock := range block.LUNs {
		number, err := strconv.ParseUint(lunBlock.Number, 10, lunBits)
		if _, duplicate := t.LUNs[uint16(number)]; err != nil || duplicate {
			d.reject(lunBlock.Range, "Invalid LUN", "A LUN must be unique and from 0 to 16383, not %q.", lunBlock.Number)
		}
		t.LUNs[uint16(number)] = d.lun(&lunBlock, block.Name, config, lunByFile)
	}
	if len(t.LUNs) == 0 {
		d.reject(block.Range, "No LUN", "A target needs at least one lun block.")
	}
	return t
}

func validTargetName(name string) bool {
	if len(name) > maxTargetNameBytes {
		return false
	}
	return strings.HasPrefix(name, "iqn.") || strings.HasPrefix(name, "eui.") || strings.HasPrefix(name, "naa.")
}

func (d *decoder) lun(block *lunBlock, targetName string, config *Config, lunByFile map[string]string) LUN {
	lun := LUN{
		File:       block.File,
		Size:       uint64(d.bytes(block.Size, smallBlock, 1<<50, 0)),
		BlockBytes: uint32(d.bytes(block.BlockBytes, smallBlock, largeBlock, largeBlock)),
		ReadOnly:   block.ReadOnly,
	}
	if lun.BlockBytes != smallBlock && lun.BlockBytes != largeBlock {
		d.reject(block.Range, "Invalid block size",
			"A block must have %d or %d bytes, not %d.", smallBlock, largeBlock, lun.BlockBytes)
	} else if lun.Size%uint64(lun.BlockBytes) != 0 || lun.Size == 0 {
		d.reject(block.Range, "Invalid size",
			"%d bytes are not a positive multiple of the block size %d.", lun.Size, lun.BlockBytes)
	}
	file, err := layout.Parse(block.File)
	if err != nil || file.Rel == "" || config.Volumes[file.Volume] == nil {
		d.reject(block.Range, "No such file", "%q is not a file in a volume of this gateway.", block.File)
	}
	if other := lunByFile[file.String()]; other != "" {
		d.reject(block.Range, "Duplicate file", "%s is already exported by %s.", block.File, other)
	}
	lunByFile[file.String()] = targetName + " lun " + block.Number
	return lun
}
