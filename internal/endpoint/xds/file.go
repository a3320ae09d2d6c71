package xds

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/fsnotify/fsnotify"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"irispost/internal/endpoint"
)

// FileSource is a source of lists: files that each hold a DiscoveryResponse, as JSON (.json) or in its binary form (.pb), read
// again when they change.
type FileSource struct {
	Clusters  string
	Endpoints string
	Log       *slog.Logger
}

// ReadResponse reads a DiscoveryResponse.
func ReadResponse(file string) (*discoveryv3.DiscoveryResponse, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return DecodeResponse(file, src)
}

// DecodeResponse reads a DiscoveryResponse by its file's ending.
func DecodeResponse(file string, src []byte) (*discoveryv3.DiscoveryResponse, error) {
	m := &discoveryv3.DiscoveryResponse{}
	var err error
	switch ext := filepath.Ext(file); ext {
	case ".json":
		err = protojson.Unmarshal(src, m)
	case ".pb":
		err = proto.Unmarshal(src, m)
	default:
		return nil, fmt.Errorf("%s: a file in xDS form ends in .json or .pb, not %q", file, ext)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if m.VersionInfo == "" {
		m.VersionInfo = strconv.FormatUint(xxhash.Sum64(src), 16)
	}
	return m, nil
}

// CheckFiles checks two files as a gateway would take them, and tells what has no effect.
func CheckFiles(clusters, endpoints string) (nodes int, notes []string, err error) {
	s := NewSession(false, nil, time.Nanosecond)
	s.OpenStream(1)
	for _, f := range []struct{ file, kind string }{{clusters, ClusterType}, {endpoints, EndpointType}} {
		m, err := ReadResponse(f.file)
		if err != nil {
			return 0, nil, err
		}
		out := s.HandleResponse(1, Response{Type: f.kind, Version: m.VersionInfo, Resources: m.Resources})
		notes = append(notes, out.Notes...)
		if out.Rejected != nil {
			return 0, notes, fmt.Errorf("%s: %w", f.file, out.Rejected)
		}
		if out.List != nil {
			nodes = len(out.List.Nodes)
		}
	}
	out := s.Tick(2)
	if out.List != nil {
		nodes = len(out.List.Nodes)
	}
	return nodes, append(notes, out.Notes...), out.Rejected
}

// Run reads the files, clusters before endpoints, and watches their folders.
func (f FileSource) Run(ctx context.Context, to endpoint.Subscriber) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return err
	}
	defer watcher.Close()
	for _, dir := range []string{filepath.Dir(f.Clusters), filepath.Dir(f.Endpoints)} {
		if err := watcher.Add(dir); err != nil {
			return err
		}
	}
	to.OnLink(true, "")
	start := time.Now()
	now := func() int64 { return start.UnixNano() + int64(time.Since(start)) }
	session := NewSession(false, nil, time.Nanosecond) // a file that is not there now is not waited for
	session.OpenStream(now())
	last := map[string]uint64{}
	tell := func(out Outcome) {
		for _, n := range out.Notes {
			f.Log.Info("xds: "+n, "file", f.Endpoints)
		}
		if out.Rejected != nil {
			to.OnRejected(out.Rejected)
		}
	}
	read := func() {
		var list *endpoint.List
		changed := false
		for _, part := range []struct{ file, kind string }{{f.Clusters, ClusterType}, {f.Endpoints, EndpointType}} {
			src, err := os.ReadFile(part.file)
			if err != nil {
				to.OnRejected(err)
				return
			}
			sum := xxhash.Sum64(src)
			if last[part.kind] == sum && !changed {
				continue
			}
			last[part.kind], changed = sum, true // endpoints are read again with their clusters
			m, err := DecodeResponse(part.file, src)
			if err != nil {
				to.OnRejected(err)
				continue
			}
			out := session.HandleResponse(now(), Response{Type: part.kind, Version: m.VersionInfo, Resources: m.Resources})
			if tell(out); out.List != nil {
				list = out.List
			}
		}
		if list != nil {
			to.OnUpdate(*list)
		}
	}
	read()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := time.Hour
		if at := session.NextDeadline(); at > 0 {
			wait = min(wait, max(time.Duration(at-now()), 0)+time.Microsecond)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			out := session.Tick(now())
			if tell(out); out.List != nil {
				to.OnUpdate(*out.List)
			}
		case e, ok := <-watcher.Events:
			if !ok {
				return nil
			}
			if name := filepath.Clean(e.Name); name == filepath.Clean(f.Clusters) || name == filepath.Clean(f.Endpoints) {
				read()
			}
		case err, ok := <-watcher.Errors:
			if !ok {
				return nil
			}
			to.OnRejected(err) // events may have been lost
			read()
		}
	}
}
