// Package layout determines where files are stored: the home shard of a file's record, the extents of a file, and the
// pieces of a read or write in each extent. It also encodes records for the nodes that store them. Package front uses
// all of it; package config parses paths with it. It does no I/O, reads no clock and has no state.
// docs/gateway.md compares the options ("Where files lie").
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

// Path is the path of a file or directory in a volume. The zero Path is the root of all volumes.
type Path struct {
	Volume string
	Rel    string // clean, without leading and trailing slashes; "" is the volume's root
}

// Errors of Parse. Their texts are sent to clients.
var (
	ErrOutsideVolume = errors.New("the path climbs out of its volume")
	ErrInvalidName   = errors.New("the path holds a NUL byte or a name of over 255 bytes")
	ErrTooLong       = errors.New("the path has over 4096 bytes")
)

// Parse parses a client's path /VOLUME/REL. The leading slash is optional, and "." and ".." are resolved as long as
// they stay in the volume. It fails with ErrOutsideVolume, ErrInvalidName or ErrTooLong.
func Parse(text string) (Path, error) {
	if len(text) > maxPathLength {
		return Path{}, ErrTooLong
	}
	if strings.IndexByte(text, 0) >= 0 {
		return Path{}, ErrInvalidName
	}
	depth := 0 // number of names below the root of all volumes
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

// String returns the path with a leading slash, as nodes store it.
func (p Path) String() string {
	if p.Rel == "" {
		return "/" + p.Volume
	}
	return "/" + p.Volume + "/" + p.Rel
}

// Parent returns the parent directory of p.
func (p Path) Parent() Path {
	dir, _ := path.Split(p.Rel)
	return Path{Volume: p.Volume, Rel: strings.TrimSuffix(dir, "/")}
}

// Name returns the last element of p.
func (p Path) Name() string { return path.Base("/" + p.Volume + "/" + p.Rel) }

// Hash returns the hash of the path, by which HomeShard chooses the shard.
func (p Path) Hash() uint64 { return xxhash.Sum64String(p.String()) }

// HomeShard returns the shard, from 0, that holds the record of p. The number of shards is fixed. The algorithm is
// jump consistent hash (Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm", 2014).
func (p Path) HomeShard(shards int) int {
	key, shard, next := p.Hash(), int64(-1), int64(0)
	for next < int64(shards) {
		shard = next
		key = key*2862933555777941757 + 1
		next = int64(float64(shard+1) * (float64(int64(1)<<31) / float64(key>>33+1)))
	}
	return int(shard)
}
