package configversion

import (
	"fmt"
	"strconv"
)

// MaxContentBytes is how many bytes the canonical form of a version's rules has at most: some 75 times that of 1,800 nodes.
const MaxContentBytes = 16 << 20

// Version is rules under a number, with who made them of what and why. Time is for people only: nothing is decided by it.
type Version struct {
	Number    uint64 `json:"number"`
	Parent    uint64 `json:"parent,omitempty"` // 0: the first
	Digest    string `json:"digest"`
	Author    string `json:"author,omitempty"`
	Reason    string `json:"why,omitempty"`
	CreatedAt string `json:"time,omitempty"`
	Content   []byte `json:"rules,omitempty"` // in the canonical form; none: only what it is named by is here
	read      *Config
	floor     *Config
}

// Config reads a version's rules and checks them against its digest.
func (v *Version) Config() (*Config, error) {
	if v.read != nil {
		return v.read, nil
	}
	if sum := DigestOf(v.Content); sum != v.Digest { // of the bytes as they are: they are canonical, or it is another
		return nil, fmt.Errorf("version %d: its rules have the digest %.12s, and it says %.12s", v.Number, sum, v.Digest)
	}
	r, err := Parse(v.Content)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", v.Number, err)
	}
	v.read = r
	return r, nil
}

// Header is the version without its content, and without what is for people.
func (v *Version) Header() *Version {
	return &Version{Number: v.Number, Parent: v.Parent, Digest: v.Digest}
}

// Fallback reads the version's floor.
func (v *Version) Fallback() (*Config, error) {
	r, err := v.Config()
	if err == nil && v.floor == nil {
		v.floor = r.Fallback()
	}
	return v.floor, err
}

// Name names the version, for people.
func (v *Version) Name() string {
	if v == nil {
		return "none"
	}
	return strconv.FormatUint(v.Number, 10) + "." + v.Digest[:min(8, len(v.Digest))]
}
