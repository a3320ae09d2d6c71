package scsi

// CommandKind is what a command asks for.
type CommandKind uint8

// The kinds of commands. Those from Read on concern blocks.
const (
	TestUnitReady    CommandKind = iota // TEST UNIT READY, START STOP UNIT
	Inquiry                             // INQUIRY
	ReportLUNs                          // REPORT LUNS
	ReadCapacity10                      // READ CAPACITY (10)
	ReadCapacity16                      // READ CAPACITY (16)
	ModeSense                           // MODE SENSE
	RequestSense                        // REQUEST SENSE: there is none, as senses come with the answers
	Read                                // READ
	Write                               // WRITE
	Verify                              // VERIFY, whether blocks can be read
	SynchronizeCache                    // SYNCHRONIZE CACHE
	Unmap                               // UNMAP: ranges come as data
	WriteSame                           // WRITE SAME: one block, over a range
	CompareAndWrite                     // COMPARE AND WRITE
)

// Command is a command that was parsed.
type Command struct {
	Kind   CommandKind
	LBA    uint64 // of the first block
	Blocks uint64

	AllocationLength        int   // bytes that the answer may have, of commands that are answered with a page
	VitalProductData        bool  // INQUIRY: a page of vital product data
	Page                    uint8 // INQUIRY, MODE SENSE
	LongForm                bool  // MODE SENSE (10)
	DisableBlockDescriptors bool  // MODE SENSE

	ForceUnitAccess bool // what is written is to be committed before the answer
	UnmapBlocks     bool // WRITE SAME: the blocks are to read as zeros, and may give their space back
	NoDataOut       bool // WRITE SAME: no block comes, zeros are meant
}

// DataLengths returns how many bytes a command brings, and with how many at most it is answered.
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
