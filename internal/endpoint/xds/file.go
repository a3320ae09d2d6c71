package xds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/filesource"
)

// fileFetchTimeout is the fetch timeout for files: a resource that the files lack is reported at once, not waited
// for.
const fileFetchTimeout = time.Nanosecond

// errFileExtension is returned for a file name whose extension does not give its encoding.
var errFileExtension = errors.New("the name of an xDS file must end in .json or .pb")

// FileSource is an endpoint.Source that reads two files, each of which holds a DiscoveryResponse as JSON (.json) or
// in protobuf's binary encoding (.pb). The files are read again when they change.
type FileSource struct {
	Clusters  string // path
	Endpoints string // path
	Log       *slog.Logger
}

// ReadResponse reads a DiscoveryResponse from a file.
func ReadResponse(file string) (*discoveryv3.DiscoveryResponse, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return DecodeResponse(file, src)
}

// DecodeResponse decodes a DiscoveryResponse in the encoding given by the file's extension. A response without a
// version gets a hash of its content as its version.
func DecodeResponse(file string, src []byte) (*discoveryv3.DiscoveryResponse, error) {
	m := &discoveryv3.DiscoveryResponse{}
	var err error
	switch ext := filepath.Ext(file); ext {
	case ".json":
		err = protojson.Unmarshal(src, m)
	case ".pb":
		err = proto.Unmarshal(src, m)
	default:
		err = fmt.Errorf("%w, not %q", errFileExtension, ext)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if m.VersionInfo == "" {
		m.VersionInfo = strconv.FormatUint(xxhash.Sum64(src), 16)
	}
	return m, nil
}

// typedFile is a file and the type of the resources that it must hold.
type typedFile struct{ path, typeURL string }

// typedFiles returns the files in the order in which they are read.
func typedFiles(clusters, endpoints string) []typedFile {
	return []typedFile{{clusters, ClusterType}, {endpoints, EndpointType}}
}

// response converts a file's content to a Response for a session.
func (f typedFile) response(m *discoveryv3.DiscoveryResponse) Response {
	return Response{Type: f.typeURL, Version: m.VersionInfo, Resources: m.Resources}
}

// CheckFiles checks two files as a FileSource would read them. It returns the number of nodes in them, and notes such
// as those on fields without effect.
func CheckFiles(clusters, endpoints string) (nodes int, notes []string, err error) {
	s := NewSession(false, nil, fileFetchTimeout)
	s.OpenStream(1)
	for _, f := range typedFiles(clusters, endpoints) {
		m, err := ReadResponse(f.path)
		if err != nil {
			return 0, nil, err
		}
		out := s.HandleResponse(1, f.response(m))
		notes = append(notes, out.Notes...)
		if out.Rejected != nil {
			return 0, notes, fmt.Errorf("%s: %w", f.path, out.Rejected)
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

// Run implements endpoint.Source.
func (f FileSource) Run(ctx context.Context, to endpoint.Subscriber) error {
	watcher, err := filesource.Watch(f.Clusters, f.Endpoints)
	if err != nil {
		return err
	}
	defer watcher.Close()
	to.OnLink(true, "")
	r := newFileReader(f, to)
	r.read()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		timer.Reset(untilDue(r.session, r.now(), maxWait))
		event, err := watcher.Wait(ctx, timer.C)
		switch event {
		case filesource.Ended:
			return nil
		case filesource.TimerFired:
			r.tick()
		case filesource.Changed:
			if err != nil {
				to.OnRejected(err)
			}
			r.read()
		}
	}
}

// fileReader passes the content of files to a session.
type fileReader struct {
	files   []typedFile
	log     *slog.Logger
	name    string // for the log
	to      endpoint.Subscriber
	now     func() int64
	session *Session
	hashes  map[string]uint64 // hashes of the contents last read, by resource type
}

func newFileReader(f FileSource, to endpoint.Subscriber) *fileReader {
	r := &fileReader{
		files:   typedFiles(f.Clusters, f.Endpoints),
		log:     f.Log,
		name:    f.Endpoints,
		to:      to,
		now:     monotonicClock(),
		session: NewSession(false, nil, fileFetchTimeout),
		hashes:  map[string]uint64{},
	}
	r.session.OpenStream(r.now())
	return r
}

// read reads the files that have changed, clusters before endpoints. If the clusters changed, the endpoints are
// processed again even if unchanged. Only the list after both files is reported.
func (r *fileReader) read() {
	var list *endpoint.List
	changed := false
	for _, f := range r.files {
		src, err := os.ReadFile(f.path)
		if err != nil {
			r.to.OnRejected(err)
			return
		}
		sum := xxhash.Sum64(src)
		if r.hashes[f.typeURL] == sum && !changed {
			continue
		}
		r.hashes[f.typeURL], changed = sum, true
		m, err := DecodeResponse(f.path, src)
		if err != nil {
			r.to.OnRejected(err)
			continue
		}
		out := r.session.HandleResponse(r.now(), f.response(m))
		r.report(out)
		if out.List != nil {
			list = out.List
		}
	}
	if list != nil {
		r.to.OnUpdate(*list)
	}
}

// tick handles the session's timeouts.
func (r *fileReader) tick() {
	out := r.session.Tick(r.now())
	r.report(out)
	if out.List != nil {
		r.to.OnUpdate(*out.List)
	}
}

// report logs notes and passes rejections to the subscriber.
func (r *fileReader) report(out Outcome) {
	for _, note := range out.Notes {
		r.log.Info("xds note", "file", r.name, "note", note)
	}
	if out.Rejected != nil {
		r.to.OnRejected(out.Rejected)
	}
}
