package rules

import (
	"fmt"
	"strconv"
)

// Most is how many bytes the canonical form of a version's rules has at most: some 75 times that of 1,800 nodes.
const Most = 16 << 20

// Version is rules under a number, with who made them of what and why. Time is for people only: nothing is decided by it.
type Version struct {
	Number uint64 `json:"number"`
	Parent uint64 `json:"parent,omitempty"` // 0: the first
	Digest string `json:"digest"`
	Author string `json:"author,omitempty"`
	Why    string `json:"why,omitempty"`
	Time   string `json:"time,omitempty"`
	Rules  []byte `json:"rules,omitempty"` // in the canonical form; none: only what it is named by is here
	read   *Rules
	floor  *Rules
}

// Open reads a version's rules and checks them against its digest.
func (v *Version) Open() (*Rules, error) {
	if v.read != nil {
		return v.read, nil
	}
	if sum := Sum(v.Rules); sum != v.Digest { // of the bytes as they are: they are canonical, or it is another
		return nil, fmt.Errorf("version %d: its rules have the digest %.12s, and it says %.12s", v.Number, sum, v.Digest)
	}
	r, err := Read(v.Rules)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", v.Number, err)
	}
	v.read = r
	return r, nil
}

// Head is the version without its content, and without what is for people.
func (v *Version) Head() *Version {
	return &Version{Number: v.Number, Parent: v.Parent, Digest: v.Digest}
}

// Floor reads the version's floor.
func (v *Version) Floor() (*Rules, error) {
	r, err := v.Open()
	if err == nil && v.floor == nil {
		v.floor = r.Lapsed()
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
