package lease

import (
	"fmt"

	"irispost/internal/fleet/configversion"
)

// Size limits of a proposal's text fields, in bytes. Every replica keeps these texts in its log and history.
const (
	maxIDBytes     = 128
	maxAuthorBytes = 256
	maxTimeBytes   = 256
	maxReasonBytes = 2048
)

// Command is one entry of the replicas' log. Exactly one of its fields is set.
type Command struct {
	Bootstrap    *Settings `json:"found,omitempty"`   // the first command of a fleet
	Propose      *Proposal `json:"propose,omitempty"` // announces a new version
	Activate     uint64    `json:"force,omitempty"`   // puts the announced version into force
	Join         []string  `json:"join,omitempty"`    // holders that may be granted leases from now on
	Remove       []string  `json:"part,omitempty"`    // holders without a lease or a valid fallback
	LeaseExpired []string  `json:"away,omitempty"`    // holders without a lease, whose fallback may still be valid
	Forget       []uint64  `json:"forget,omitempty"`  // versions that no gateway uses any more; requires format 2
}

// Proposal asks for a new version. A retry has the same ID and does not create a second version.
type Proposal struct {
	ID             string `json:"id"`
	Parent         uint64 `json:"parent"` // the latest version known to the author
	ReplacePending bool   `json:"over"`   // may replace a version that is announced and not in force yet
	Author         string `json:"author"`
	Reason         string `json:"why"`
	CreatedAt      string `json:"time"`  // informational only; no decision depends on it
	Content        []byte `json:"rules"` // canonical form of the configuration

	// A log entry of format 2 holds these in place of Content. EncodeEntry sets them and Apply reads them.
	Digest    string `json:"digest,omitempty"` // of Content
	DeltaBase uint64 `json:"base,omitempty"`   // version that Delta is relative to: Parent, or 0 for complete content
	Delta     []byte `json:"-"`                // encoded by package delta
}

// Validate rejects a proposal that is too large for the log.
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
			return fmt.Errorf("the proposal's %s is %d bytes long, the limit is %d", part.name, part.size, part.max)
		}
	}
	return nil
}
