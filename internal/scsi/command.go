package scsi

// CommandKind is the operation of a command, independent of the length of its CDB.
type CommandKind uint8

// Command kinds. Those from Read on access blocks.
const (
	TestUnitReady    CommandKind = iota // TEST UNIT READY, START STOP UNIT
	Inquiry                             // INQUIRY
	ReportLUNs                          // REPORT LUNS
	ReadCapacity10                      // READ CAPACITY (10)
	ReadCapacity16                      // READ CAPACITY (16)
	ModeSense                           // MODE SENSE
	RequestSense                        // REQUEST SENSE; always empty: sense data is returned with the status
	Read                                // READ (6), (10) and (16)
	Write                               // WRITE (6), (10) and (16)
	Verify                              // VERIFY (10) and (16), without a comparison: checks that the blocks can be read
	SynchronizeCache                    // SYNCHRONIZE CACHE (10) and (16)
	Unmap                               // UNMAP; the ranges are in the parameter list
	WriteSame                           // WRITE SAME (10) and (16): writes one block to each block of a range
	CompareAndWrite                     // COMPARE AND WRITE
)

// Command is a parsed command.
type Command struct {
	Kind   CommandKind
	LBA    uint64 // first block
	Blocks uint64

	AllocationLength        int   // maximum length of the response data; UNMAP: length of the parameter list
	VitalProductData        bool  // INQUIRY: a vital product data page is requested
	Page                    uint8 // INQUIRY and MODE SENSE: page code; of MODE SENSE also the page control
	LongForm                bool  // MODE SENSE (10)
	DisableBlockDescriptors bool  // MODE SENSE: the response has no block descriptor

	ForceUnitAccess bool // the data has to be committed before the response
	UnmapBlocks     bool // WRITE SAME: the blocks may be unmapped, and then read as zeros
	NoDataOut       bool // WRITE SAME: there is no Data-Out; zeros are written
}

// DataLengths returns the number of bytes of a command's Data-Out, and the maximum number of bytes of its Data-In.
func (c *Command) DataLengths(unit *Unit) (out, in uint64) {
	blockSize := uint64(unit.BlockSize)
	switch c.Kind {
	case Read:
		return 0, c.Blocks * blockSize
	case Write:
		return c.Blocks * blockSize, 0
	case CompareAndWrite:
		return 2 * c.Blocks * blockSize, 0
	case WriteSame:
		if c.NoDataOut {
			return 0, 0
		}
		return blockSize, 0
	case Unmap:
		return uint64(c.AllocationLength), 0
	case TestUnitReady, SynchronizeCache, Verify:
		return 0, 0
	}
	return 0, uint64(c.AllocationLength)
}
