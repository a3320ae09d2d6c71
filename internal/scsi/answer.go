package scsi

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Identification of the units in INQUIRY data (SPC-4, 6.4.2).
const (
	vendorID  = "IRISPOST"
	productID = "VOLUME"
	revision  = "1"
)

// Lengths of fields in INQUIRY data, in bytes.
const (
	vendorIDLength        = 8
	productIDLength       = 16
	revisionLength        = 4
	standardInquiryLength = 96
)

// Vital product data (VPD) pages (SPC-4, 7.8; SBC-3, 6.5), and values in them.
const (
	pageSupported            = 0x00
	pageSerialNumber         = 0x80
	pageDeviceIdentification = 0x83
	pageBlockLimits          = 0xb0
	pageBlockCharacteristics = 0xb1
	pageLogicalProvisioning  = 0xb2
	maxCompareAndWriteBlocks = 255
	maxUnmapDescriptors      = 256
	naaLocallyAssigned       = 3
)

// paddedText returns text truncated or padded with spaces to the given length.
func paddedText(text string, length int) []byte {
	return fmt.Appendf(nil, "%-*.*s", length, length, text)
}

// ResponseData returns the data of the response to a command that does not access the medium, truncated to the
// command's allocation length, and nil for all other commands. luns are the logical unit numbers of the target.
func (u *Unit) ResponseData(command *Command, luns []uint16) ([]byte, *Sense) {
	var answer []byte
	var sense *Sense
	switch command.Kind {
	case Inquiry:
		answer, sense = u.inquiry(command)
	case ReportLUNs:
		answer = reportLUNs(luns)
	case RequestSense:
		answer = (&Sense{}).Bytes()
	case ReadCapacity10:
		answer = u.readCapacity10()
	case ReadCapacity16:
		answer = u.readCapacity16()
	case ModeSense:
		answer, sense = u.modeSense(command)
	default:
		return nil, nil
	}
	if sense != nil {
		return nil, sense
	}
	return answer[:min(len(answer), command.AllocationLength)], nil
}

func reportLUNs(luns []uint16) []byte {
	answer := binary.BigEndian.AppendUint32(nil, uint32(8*len(luns)))
	answer = append(answer, 0, 0, 0, 0)
	for _, lun := range luns {
		answer = append(answer, EncodeLUN(lun)...)
	}
	return answer
}

func (u *Unit) readCapacity10() []byte {
	answer := binary.BigEndian.AppendUint32(nil, uint32(min(u.Blocks-1, math.MaxUint32)))
	return binary.BigEndian.AppendUint32(answer, u.BlockSize)
}

func (u *Unit) readCapacity16() []byte {
	const lbpmeAndLbprz = 0xc0 // thin provisioning: unmapped blocks read as zeros
	answer := make([]byte, 32)
	binary.BigEndian.PutUint64(answer, u.Blocks-1)
	binary.BigEndian.PutUint32(answer[8:], u.BlockSize)
	answer[14] = lbpmeAndLbprz
	return answer
}

func (u *Unit) inquiry(command *Command) ([]byte, *Sense) {
	if !command.VitalProductData {
		return standardInquiry(), nil
	}
	var page []byte
	switch command.Page {
	case pageSupported:
		page = []byte{pageSupported, pageSerialNumber, pageDeviceIdentification, pageBlockLimits, pageBlockCharacteristics,
			pageLogicalProvisioning}
	case pageSerialNumber:
		page = []byte(u.Serial)
	case pageDeviceIdentification:
		page = u.deviceIdentification()
	case pageBlockLimits:
		page = u.blockLimits()
	case pageBlockCharacteristics:
		page = make([]byte, 60)
		page[1] = 1 // MEDIUM ROTATION RATE: non-rotating
	case pageLogicalProvisioning:
		page = []byte{0, 0xc4, 2, 0} // LBPU, LBPWS, LBPRZ (unmapped blocks read as zeros); thin provisioned
	default:
		return nil, InvalidField
	}
	return append([]byte{0, command.Page, 0, byte(len(page))}, page...), nil
}

// standardInquiry returns the standard INQUIRY data, which is the same for all units (SPC-4, 6.4.2).
func standardInquiry() []byte {
	answer := []byte{0, 0, 6, 0x12, standardInquiryLength - 5, 0, 0, 2} // disk, SPC-4, response data format 2, CMDQUE
	answer = append(answer, paddedText(vendorID, vendorIDLength)...)
	answer = append(answer, paddedText(productID, productIDLength)...)
	answer = append(answer, paddedText(revision, revisionLength)...)
	answer = append(answer, make([]byte, 22)...)
	for _, version := range []uint16{0x00a0, 0x0960, 0x0460, 0x04c0} { // SAM-5, iSCSI, SPC-4, SBC-3
		answer = binary.BigEndian.AppendUint16(answer, version)
	}
	return append(answer, make([]byte, standardInquiryLength-len(answer))...)
}

// deviceIdentification returns two designators of the unit: a T10 vendor ID with the serial number, and an NAA
// identifier that is a hash of the serial number.
func (u *Unit) deviceIdentification() []byte {
	name := append(paddedText(vendorID, vendorIDLength), u.Serial...)
	page := append([]byte{2, 1, 0, byte(len(name))}, name...) // ASCII, T10 vendor ID based
	page = append(page, 1, 3, 0, 8)                           // binary, NAA
	naaIdentifier := xxhash.Sum64String(u.Serial)&(1<<60-1) | naaLocallyAssigned<<60
	return binary.BigEndian.AppendUint64(page, naaIdentifier)
}

func (u *Unit) blockLimits() []byte {
	page := make([]byte, 60)
	granularity := u.extentBlocks()
	page[1] = maxCompareAndWriteBlocks
	binary.BigEndian.PutUint16(page[2:], uint16(min(granularity, math.MaxUint16))) // optimal transfer granularity
	binary.BigEndian.PutUint32(page[4:], u.MaxTransferBlocks)
	binary.BigEndian.PutUint32(page[8:], min(granularity, u.MaxTransferBlocks)) // optimal transfer length
	binary.BigEndian.PutUint32(page[16:], MaxUnmapBlocks)
	binary.BigEndian.PutUint32(page[20:], maxUnmapDescriptors)
	binary.BigEndian.PutUint32(page[24:], granularity) // optimal unmap granularity
	binary.BigEndian.PutUint64(page[32:], MaxUnmapBlocks)
	return page
}
