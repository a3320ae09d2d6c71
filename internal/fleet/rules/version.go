package rules

import (
	"fmt"
	"strconv"
)

// Version is rules under a number, with who made them of what and why. Time is for people only: nothing is decided by it.
type Version struct {
	Number uint64 `json:"number"`
	Parent uint64 `json:"parent"` // 0: the first
	Digest string `json:"digest"`
	Author string `json:"author"`
	Why    string `json:"why"`
	Time   string `json:"time"`
	Rules  []byte `json:"rules"` // in the canonical form
	read   *Rules
	floor  *Rules
}

// Open reads a version's rules and checks them against its digest.
func (v *Version) Open() (*Rules, error) {
	if v.read != nil {
		return v.read, nil
	}
	r, err := Read(v.Rules)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", v.Number, err)
	}
	if sum := r.Digest(); sum != v.Digest {
		return nil, fmt.Errorf("version %d: its rules have the digest %.12s, and it says %.12s", v.Number, sum, v.Digest)
	}
	v.read = r
	return r, nil
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
