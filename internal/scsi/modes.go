package scsi

import (
	"encoding/binary"
	"math"
)

// Mode page codes (SPC-4, 7.5; SBC-3, 6.4), and values of the page control field of MODE SENSE, the upper two bits of
// its page code.
const (
	pageCaching  = 0x08
	pageControl  = 0x0a
	pageAllModes = 0x3f

	changeableValues = 1
	savedValues      = 3
)

// Bits of the DEVICE-SPECIFIC PARAMETER byte in the mode parameter header.
const (
	headerWriteProtected  = 0x80
	headerForceUnitAccess = 0x10 // DPOFUA: the FUA bit is supported
)

type modePage struct {
	code byte
	body []byte
}

func modePages() []modePage {
	return []modePage{
		// WCE: without FUA, writes are not committed until a SYNCHRONIZE CACHE.
		{pageCaching, append([]byte{0x04}, make([]byte, 17)...)},
		// Sense data in fixed format, unrestricted reordering of commands, aborted tasks are reported (TAS).
		{pageControl, []byte{0x02, 0x10, 0, 0x40, 0, 0, 0xff, 0xff, 0, 0}},
	}
}

func (u *Unit) modeSense(command *Command) ([]byte, *Sense) {
	code, control := command.Page&pageAllModes, command.Page>>6
	if control == savedValues {
		return nil, savingNotSupported
	}
	found := code == pageAllModes
	var pages []byte
	for _, page := range modePages() {
		if code != pageAllModes && code != page.code {
			continue
		}
		found = true
		body := page.body
		if control == changeableValues { // no value is changeable
			body = make([]byte, len(body))
		}
		pages = append(pages, page.code, byte(len(body)))
		pages = append(pages, body...)
	}
	if !found {
		return nil, InvalidField
	}
	return u.modeParameters(command, pages), nil
}

// modeParameters returns the mode parameter header, the block descriptor unless it is disabled, and the mode pages.
func (u *Unit) modeParameters(command *Command, pages []byte) []byte {
	flags := byte(headerForceUnitAccess)
	if u.ReadOnly {
		flags |= headerWriteProtected
	}
	var descriptor []byte
	if !command.DisableBlockDescriptors {
		descriptor = binary.BigEndian.AppendUint32(nil, uint32(min(u.Blocks, math.MaxUint32)))
		descriptor = binary.BigEndian.AppendUint32(descriptor, u.BlockSize&0xffffff)
	}
	body := append(descriptor, pages...)
	var header []byte
	if command.LongForm {
		header = binary.BigEndian.AppendUint16(nil, uint16(6+len(body)))
		header = append(header, 0, flags, 0, 0, 0, byte(len(descriptor)))
	} else {
		header = []byte{byte(3 + len(body)), 0, flags, byte(len(descriptor))}
	}
	return append(header, body...)
}
