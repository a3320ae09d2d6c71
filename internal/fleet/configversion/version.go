package configversion

import (
	"errors"
	"fmt"
	"strconv"
)

// MaxContentBytes bounds the canonical form of a version's configuration. It is some 75 times that of 1,800 nodes.
const MaxContentBytes = 16 << 20

// shownDigestDigits is how much of a digest is part of a version's name.
const shownDigestDigits = 8

// ErrDigestMismatch means that a version's content is not the one that its digest names.
var ErrDigestMismatch = errors.New("the content does not have the digest of the version")

// Version is a configuration under a number, with who made it from which version and why.
type Version struct {
	Number    uint64 `json:"number"`
	Parent    uint64 `json:"parent,omitempty"` // 0: it is the first
	Digest    string `json:"digest"`
	Author    string `json:"author,omitempty"`
	Reason    string `json:"why,omitempty"`
	CreatedAt string `json:"time,omitempty"`  // for people; nothing is decided by it
	Content   []byte `json:"rules,omitempty"` // the configuration's canonical form; empty: only the header is here

	config   *Config // parsed, and kept
	fallback *Config // of config, and kept
}

// Config parses the content and checks it against the digest. The result is kept and shared, so it must not be
// changed.
func (v *Version) Config() (*Config, error) {
	if v.config != nil {
		return v.config, nil
	}
	// The bytes are checked as they are: a content in another form than the canonical one is another content.
	if digest := DigestOf(v.Content); digest != v.Digest {
		return nil, fmt.Errorf("version %d: %w: %.12s instead of %.12s", v.Number, ErrDigestMismatch, digest, v.Digest)
	}
	config, err := Parse(v.Content)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", v.Number, err)
	}
	v.config = config
	return config, nil
}

// Fallback returns the fallback of the version's configuration. The result is kept and shared, so it must not be
// changed.
func (v *Version) Fallback() (*Config, error) {
	config, err := v.Config()
	if err == nil && v.fallback == nil {
		v.fallback = config.Fallback()
	}
	return v.fallback, err
}

// ReleaseParsed drops the parsed form, which takes several times the memory of the content. Config parses it again.
func (v *Version) ReleaseParsed() {
	v.config = nil
	v.fallback = nil
}

// Header returns the version without its content and without what is for people.
func (v *Version) Header() *Version {
	return &Version{Number: v.Number, Parent: v.Parent, Digest: v.Digest}
}

// Name names the version for people, by its number and the first digits of its digest; "none" if v is nil.
func (v *Version) Name() string {
	if v == nil {
		return "none"
	}
	return strconv.FormatUint(v.Number, 10) + "." + v.Digest[:min(shownDigestDigits, len(v.Digest))]
}
