package xds_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"irispost/internal/endpoint/xds"
	"irispost/internal/xdsstandin"
)

// responseFiles holds the paths of the two files of a FileSource, whose extension gives their encoding.
type responseFiles struct{ clusters, endpoints string }

// newResponseFiles returns paths in a temporary folder, where neither file exists yet.
func newResponseFiles(t *testing.T, extension string) responseFiles {
	t.Helper()
	dir := t.TempDir()
	return responseFiles{filepath.Join(dir, "clusters"+extension), filepath.Join(dir, "endpoints"+extension)}
}

// source runs a FileSource until the test ends.
func (f responseFiles) source(t *testing.T) *recorder {
	t.Helper()
	r := newRecorder()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- xds.FileSource{Clusters: f.clusters, Endpoints: f.endpoints, Log: discardLog}.Run(ctx, r)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return r
}

// check runs CheckFiles, and fails the test unless it returns the number of nodes and an error that contains the
// text. If the text is empty, there must be no error and no note.
func (f responseFiles) check(t *testing.T, nodes int, text string) {
	t.Helper()
	n, notes, err := xds.CheckFiles(f.clusters, f.endpoints)
	if text == "" {
		if n != nodes || len(notes) > 0 || err != nil {
			t.Errorf("CheckFiles returns %d nodes, notes %q, error %v; want the given number, no notes and no error",
				n, notes, err)
		}
		return
	}
	if n != nodes || err == nil || !strings.Contains(err.Error(), text) {
		t.Errorf("CheckFiles returns %d nodes, error %v; want the given number and an error with %q", n, err, text)
	}
}

// writeResponse writes a response to a file, in the encoding given by the file's extension.
func writeResponse(t *testing.T, file, version string, messages ...proto.Message) {
	t.Helper()
	response := &discoveryv3.DiscoveryResponse{VersionInfo: version}
	for _, m := range messages {
		response.Resources = append(response.Resources, pack(t, m))
	}
	marshal := protojson.Marshal
	if filepath.Ext(file) == ".pb" {
		marshal = proto.Marshal
	}
	content, err := marshal(response)
	if err != nil {
		t.Fatal(err)
	}
	replaceFile(t, file, content)
}

// replaceFile replaces a file by renaming a new one over it, as an atomic update does.
func replaceFile(t *testing.T, file string, content []byte) {
	t.Helper()
	if err := os.WriteFile(file+".next", content, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".next", file); err != nil {
		t.Fatal(err)
	}
}

// Files in both encodings are read, and read again when they change. An invalid file is rejected with an error that
// names it, and the list in force stays.
func TestFileSource(t *testing.T) {
	for _, extension := range []string{".json", ".pb"} {
		t.Run(extension, func(t *testing.T) {
			files := newResponseFiles(t, extension)
			writeResponse(t, files.endpoints, "1", xdsstandin.Assignment("a", nodes("1000"))) // no clusters yet
			r := files.source(t)
			r.awaitRejection(t, 0, "clusters"+extension)
			writeResponse(t, files.clusters, "1", xdsstandin.Cluster("a"))
			r.awaitList(t, "1000")
			writeResponse(t, files.endpoints, "2", xdsstandin.Assignment("a", nodes("1000", "1001")))
			r.awaitList(t, "1000 1001")
			if r.list.Version != "c:1 e:2" {
				t.Errorf("the list has version %q, want c:1 e:2", r.list.Version)
			}
			before := len(r.rejected)
			replaceFile(t, files.endpoints, []byte("{"))
			r.awaitRejection(t, before, "endpoints"+extension)
			writeResponse(t, files.endpoints, "3", xdsstandin.Assignment("a", nodes("0")))
			r.awaitRejection(t, before+1, "port_value 0")
			if got := ports(r.list); got != "1000 1001" {
				t.Errorf("the list in force is %q, want \"1000 1001\"", got)
			}
			files.check(t, 0, "port_value 0")
			writeResponse(t, files.endpoints, "4", xdsstandin.Assignment("a", nodes("1002")))
			r.awaitList(t, "1002")
			files.check(t, 1, "")
			writeResponse(t, files.clusters, "2", xdsstandin.Cluster("a"), xdsstandin.Cluster("b"))
			files.check(t, 1, "no endpoints of cluster \"b\"")
		})
	}
}

func TestUnknownFileExtensionIsRejected(t *testing.T) {
	if _, err := xds.DecodeResponse("clusters.yaml", nil); err == nil || !strings.Contains(err.Error(), ".json or .pb") {
		t.Error(err)
	}
}
