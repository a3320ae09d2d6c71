package filesource

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/endpoint"
)

// recorder is a Subscriber that sends what it receives to channels.
type recorder struct {
	lists    chan endpoint.List
	rejected chan error
}

func (r recorder) OnUpdate(l endpoint.List) { r.lists <- l }
func (r recorder) OnRejected(err error)     { r.rejected <- err }
func (r recorder) OnLink(bool, string)      {}

// A file that is renamed into place is read again. An invalid file is rejected, and the next valid one accepted.
func TestChangedFileIsReadAgain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "nodes.hcl")
	write := func(text string) {
		next := file + ".next"
		if err := os.WriteFile(next, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(next, file); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	lists, rejected, done := make(chan endpoint.List, 10), make(chan error, 10), make(chan error, 1)
	go func() {
		done <- Source{file}.Run(ctx, recorder{lists, rejected})
	}()
	if err := <-rejected; !os.IsNotExist(err) {
		t.Errorf("missing file: got error %v, want one that the file does not exist", err)
	}
	write("node \"a\" {\n  shard = 1\n}\n")
	if l := <-lists; len(l.Nodes) != 1 || l.Nodes[0].Addr != "a" {
		t.Errorf("got list %+v, want node a only", l)
	}
	write("node \"a\" {\n")
	if err := <-rejected; !strings.Contains(err.Error(), "nodes.hcl:1") {
		t.Error(err)
	}
	write("node \"b\" {\n  shard = 1\n}\n")
	if l := <-lists; len(l.Nodes) != 1 || l.Nodes[0].Addr != "b" {
		t.Errorf("got list %+v, want node b only", l)
	}
	cancel()
	if err := <-done; err != nil || len(lists) > 0 {
		t.Errorf("Run returned error %v with %d unexpected lists", err, len(lists))
	}
}

func TestMissingDirectoryEndsTheSource(t *testing.T) {
	file := filepath.Join(t.TempDir(), "none", "nodes.hcl")
	err := Source{file}.Run(t.Context(), recorder{})
	if !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), file) {
		t.Error(err)
	}
}

// If no file changes, Wait ends with the timer or the context.
func TestWaitEndsWithTimerOrContext(t *testing.T) {
	w, err := Watch(filepath.Join(t.TempDir(), "nodes.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	fired := make(chan time.Time, 1)
	fired <- time.Now()
	if event, err := w.Wait(t.Context(), fired); event != TimerFired || err != nil {
		t.Errorf("Wait with a fired timer: got event %v, error %v; want TimerFired", event, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if event, err := w.Wait(ctx, nil); event != Ended || err != nil {
		t.Errorf("Wait with an ended context: got event %v, error %v; want Ended", event, err)
	}
}
