package lease

import (
	"fmt"

	"irispost/internal/fleet/configversion"
)

// Largest texts of a proposal, in bytes. They stay in each replica's log and history.
const (
	maxIDBytes     = 128
	maxAuthorBytes = 256
	maxTimeBytes   = 256
	maxReasonBytes = 2048
)

// Command is one entry of the replicas' log. Exactly one of its parts is set.
type Command struct {
	Bootstrap    *Settings `json:"found,omitempty"`   // the first command of a fleet
	Propose      *Proposal `json:"propose,omitempty"` // announces a new version
	Activate     uint64    `json:"force,omitempty"`   // brings the announced version into force
	Join         []string  `json:"join,omitempty"`    // holders that may be granted leases from now on
	Remove       []string  `json:"part,omitempty"`    // holders that act on nothing any more
	LeaseExpired []string  `json:"away,omitempty"`    // holders without a lease, which may still act on a fallback
	Forget       []uint64  `json:"forget,omitempty"`  // versions that nobody acts on any more; from format 2 on
}

// Proposal asks for a new version. A retry has the same ID and becomes no second version.
type Proposal struct {
	ID             string `json:"id"`
	Parent         uint64 `json:"parent"` // the latest version that the author knew
	ReplacePending bool   `json:"over"`   // may take the place of a version that is announced and not in force yet
	Author         string `json:"author"`
	Reason         string `json:"why"`
	CreatedAt      string `json:"time"`  // for people; nothing is decided by it
	Content        []byte `json:"rules"` // the configuration in its canonical form

	// A log entry of format 2 has these in place of Content. EncodeEntry sets them and Apply reads them.
	Digest    string `json:"digest,omitempty"` // of Content
	DeltaBase uint64 `json:"base,omitempty"`   // the version that Delta starts from: Parent, or 0 for a complete content
	Delta     []byte `json:"-"`                // in the form of package delta
}

// Validate refuses a proposal that is too large to be put into the log.
func (p *Proposal) Validate() error {
	parts := []struct {
		name      string
		size, max int
	}{
		{"content", len(p.Content), configversion.MaxContentBytes},
		{"ID", len(p.ID), maxIDBytes},
		{"author", len(p.Author), maxAuthorBytes},
		{"time", len(p.CreatedAt), maxTimeBytes},
		{"reason", len(p.Reason), maxReasonBytes},
	}
	for _, part := range parts {
		if part.size > part.max {
			return fmt.Errorf("the proposal's %s has %d bytes, %d at most are taken", part.name, part.size, part.max)
		}
	}
	return nil
}
