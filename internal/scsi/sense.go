package scsi

import (
	"encoding/binary"
	"fmt"
)

// Status is the status of a completed command (SAM-5).
type Status uint8

// Status codes of SAM-5.
const (
	Good           Status = 0x00
	CheckCondition Status = 0x02
	Busy           Status = 0x08 // the command was not executed and can be retried safely
	TaskSetFull    Status = 0x28 // the queue is full; the command was not executed
	TaskAborted    Status = 0x40
)

// Sense is the sense data of a command that ended with CheckCondition: the sense key, the additional sense code and its
// qualifier (SPC-4, 4.5).
type Sense struct {
	Key, Code, Qualifier uint8
	Information          uint32 // a block address, or for Miscompare a byte offset
	Valid                bool   // Information is present
}

// Sense keys (SPC-4, 4.5.6).
const (
	keyNotReady       = 0x2
	keyIllegalRequest = 0x5
	keyDataProtect    = 0x7
	keyAbortedCommand = 0xb
	keyMiscompare     = 0xe
)

// Sense data that units return.
var (
	InvalidOpcode            = &Sense{Key: keyIllegalRequest, Code: 0x20}
	InvalidField             = &Sense{Key: keyIllegalRequest, Code: 0x24}
	InvalidParameterList     = &Sense{Key: keyIllegalRequest, Code: 0x26}
	ParameterListLength      = &Sense{Key: keyIllegalRequest, Code: 0x1a}
	LBAOutOfRange            = &Sense{Key: keyIllegalRequest, Code: 0x21}
	LUNNotSupported          = &Sense{Key: keyIllegalRequest, Code: 0x25}
	NotReady                 = &Sense{Key: keyNotReady, Code: 0x04}
	BecomingReady            = &Sense{Key: keyNotReady, Code: 0x04, Qualifier: 0x01}
	CommandTimeout           = &Sense{Key: keyAbortedCommand, Code: 0x08, Qualifier: 0x01} // may have been executed in part
	Miscompare               = &Sense{Key: keyMiscompare, Code: 0x1d}
	WriteProtected           = &Sense{Key: keyDataProtect, Code: 0x27}
	NotEnoughUnsolicitedData = &Sense{Key: keyAbortedCommand, Code: 0x0c, Qualifier: 0x0d} // also misplaced Data-Out
	CRCError                 = &Sense{Key: keyAbortedCommand, Code: 0x47, Qualifier: 0x05} // data digest mismatch
)

// savingNotSupported is returned for a MODE SENSE that requests saved values.
var savingNotSupported = &Sense{Key: keyIllegalRequest, Code: 0x39}

// senseCode identifies sense data regardless of the Information field.
type senseCode struct{ key, code, qualifier uint8 }

func (s *Sense) senseCode() senseCode { return senseCode{s.Key, s.Code, s.Qualifier} }

var senseTexts = map[senseCode]string{
	InvalidOpcode.senseCode():            "no such command here",
	InvalidField.senseCode():             "a field of the command is wrong",
	InvalidParameterList.senseCode():     "a field of its list is wrong",
	ParameterListLength.senseCode():      "its list is too short",
	LBAOutOfRange.senseCode():            "past the last block",
	LUNNotSupported.senseCode():          "no such unit",
	NotReady.senseCode():                 "the unit is not ready",
	BecomingReady.senseCode():            "the unit is not ready yet",
	CommandTimeout.senseCode():           "written off: it may have been done in part or not at all",
	Miscompare.senseCode():               "the blocks compare otherwise",
	WriteProtected.senseCode():           "write protected",
	NotEnoughUnsolicitedData.senseCode(): "data is missing",
	CRCError.senseCode():                 "a digest does not fit",
}

// Text describes the sense data in words. It returns "unnamed" if the sense data has no text in senseTexts.
func (s *Sense) Text() string {
	if text, known := senseTexts[s.senseCode()]; known {
		return text
	}
	return "unnamed"
}

// Error returns the sense key, the code, the qualifier and the text.
func (s *Sense) Error() string {
	return fmt.Sprintf("sense %x/%02x/%02x (%s)", s.Key, s.Code, s.Qualifier, s.Text())
}

// Values in fixed-format sense data (SPC-4, 4.5.3).
const (
	fixedSenseLength    = 18
	minFixedSenseLength = 14 // up to the qualifier
	fixedSenseFormat    = 0x70
	informationValid    = 0x80
)

// Bytes encodes the sense data in fixed format.
func (s *Sense) Bytes() []byte {
	b := make([]byte, fixedSenseLength)
	b[0] = fixedSenseFormat
	b[2] = s.Key
	b[7] = fixedSenseLength - 8 // additional sense length
	b[12] = s.Code
	b[13] = s.Qualifier
	if s.Valid {
		b[0] |= informationValid
		binary.BigEndian.PutUint32(b[3:], s.Information)
	}
	return b
}

// DecodeSense decodes sense data in fixed format. It returns false if the data is too short or in another format.
func DecodeSense(b []byte) (*Sense, bool) {
	if len(b) < minFixedSenseLength || b[0]&^informationValid != fixedSenseFormat {
		return nil, false
	}
	return &Sense{
		Key:         b[2] & 0xf,
		Code:        b[12],
		Qualifier:   b[13],
		Information: binary.BigEndian.Uint32(b[3:]),
		Valid:       b[0]&informationValid != 0,
	}, true
}
