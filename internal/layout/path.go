// Package layout decides where files lie: the home shard of a file's record, the extents of a file, and the pieces
// of a read or write in them; and it encodes records for the nodes that store them. The front end calls it
// (package front; package config parses paths). It is pure: no I/O, no clock, no state of its own.
// docs/gateway.md weighs the options ("Where files lie").
package layout

import (
	"errors"
	"path"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	maxPathLength = 4096 // bytes
	maxNameLength = 255  // bytes
)

// Path is a place in a volume. The zero Path is the root of all volumes.
type Path struct {
	Volume string
	Rel    string // clean, without slashes at its ends; "" is the volume's root
}

// Errors of Parse. Their texts go to clients.
var (
	ErrOutsideVolume = errors.New("the path climbs out of its volume")
	ErrInvalidName   = errors.New("the path holds a NUL byte or a name of over 255 bytes")
	ErrTooLong       = errors.New("the path has over 4096 bytes")
)

// Parse parses /VOLUME/REL, as a client writes it: with or without the first slash, with "." and ".." that stay in the
// volume. It fails with ErrOutsideVolume, ErrInvalidName or ErrTooLong.
func Parse(text string) (Path, error) {
	if len(text) > maxPathLength {
		return Path{}, ErrTooLong
	}
	if strings.IndexByte(text, 0) >= 0 {
		return Path{}, ErrInvalidName
	}
	depth := 0 // names below the root of all volumes
	for _, name := range strings.Split(text, "/") {
		switch {
		case len(name) > maxNameLength:
			return Path{}, ErrInvalidName
		case name == "" || name == ".":
		case name == "..":
			depth--
			if depth < 1 {
				return Path{}, ErrOutsideVolume
			}
		default:
			depth++
		}
	}
	volume, rel, _ := strings.Cut(strings.TrimPrefix(path.Clean("/"+text), "/"), "/")
	return Path{Volume: volume, Rel: rel}, nil
}

// String returns the path with a slash before the volume, as nodes store it.
func (p Path) String() string {
	if p.Rel == "" {
		return "/" + p.Volume
	}
	return "/" + p.Volume + "/" + p.Rel
}

// Parent returns the directory that holds p.
func (p Path) Parent() Path {
	dir, _ := path.Split(p.Rel)
	return Path{Volume: p.Volume, Rel: strings.TrimSuffix(dir, "/")}
}

// Name returns the last name of p.
func (p Path) Name() string { return path.Base("/" + p.Volume + "/" + p.Rel) }

// Hash returns the hash of the path, which HomeShard places it by.
func (p Path) Hash() uint64 { return xxhash.Sum64String(p.String()) }

// HomeShard returns the shard, from 0, that holds the record of p, among a number of shards that stays the same: jump
// consistent hash (Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm", 2014).
func (p Path) HomeShard(shards int) int {
	key, shard, next := p.Hash(), int64(-1), int64(0)
	for next < int64(shards) {
		shard = next
		key = key*2862933555777941757 + 1
		next = int64(float64(shard+1) * (float64(int64(1)<<31) / float64(key>>33+1)))
	}
	return int(shard)
}
