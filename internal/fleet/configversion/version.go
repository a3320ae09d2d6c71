package configversion

import (
	"errors"
	"fmt"
	"strconv"
)

// MaxContentBytes limits the size of a version's content. It is some 75 times the size of a configuration with 1,800
// nodes.
const MaxContentBytes = 16 << 20

// shownDigestDigits is the number of hexadecimal digits of the digest in a version's name.
const shownDigestDigits = 8

// ErrDigestMismatch means that a version's content does not have the version's digest.
var ErrDigestMismatch = errors.New("content does not match the digest of the version")

// Version is a numbered configuration, with its parent version, its author and the reason for the change.
type Version struct {
	Number    uint64 `json:"number"`
	Parent    uint64 `json:"parent,omitempty"` // 0: this is the first version
	Digest    string `json:"digest"`
	Author    string `json:"author,omitempty"`
	Reason    string `json:"why,omitempty"`
	CreatedAt string `json:"time,omitempty"`  // informational only
	Content   []byte `json:"rules,omitempty"` // canonical form of the configuration; empty: header only

	config   *Config // parsed Content; nil until it is needed
	fallback *Config // fallback of config; nil until it is needed
}

// Config checks the content against the digest and parses it. The result is cached and shared, so callers must not
// modify it.
func (v *Version) Config() (*Config, error) {
	if v.config != nil {
		return v.config, nil
	}
	// The digest is of the bytes as received: the same configuration in another encoding is a mismatch.
	if digest := DigestOf(v.Content); digest != v.Digest {
		return nil, fmt.Errorf("version %d: %w: got %.12s, want %.12s", v.Number, ErrDigestMismatch, digest, v.Digest)
	}
	config, err := Parse(v.Content)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", v.Number, err)
	}
	v.config = config
	return config, nil
}

// Fallback returns the fallback of the version's configuration. The result is cached and shared, so callers must not
// modify it.
func (v *Version) Fallback() (*Config, error) {
	config, err := v.Config()
	if err == nil && v.fallback == nil {
		v.fallback = config.Fallback()
	}
	return v.fallback, err
}

// ReleaseParsed drops the cached configuration, which takes several times the memory of the content. Config parses the
// content again when needed.
func (v *Version) ReleaseParsed() {
	v.config = nil
	v.fallback = nil
}

// Header returns the number, parent and digest of the version, without its content and informational fields.
func (v *Version) Header() *Version {
	return &Version{Number: v.Number, Parent: v.Parent, Digest: v.Digest}
}

// Name returns a short name for logs and displays: the number and the first digits of the digest, or "none" if v is
// nil.
func (v *Version) Name() string {
	if v == nil {
		return "none"
	}
	return strconv.FormatUint(v.Number, 10) + "." + v.Digest[:min(shownDigestDigits, len(v.Digest))]
}
