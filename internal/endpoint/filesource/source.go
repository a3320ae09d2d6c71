// Package filesource provides a source of endpoint lists that reads a file in the gateway's own format, and reads it
// again whenever it changes. Other sources use its Watcher to watch their files.
//
// The endpoint manager runs each Source in its own goroutine, which owns the Watcher. The package writes no files.
package filesource

import (
	"context"
	"os"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/endpoint"
)

// Source is an endpoint.Source that reads one file.
type Source struct{ Path string }

// Run implements endpoint.Source.
func (s Source) Run(ctx context.Context, to endpoint.Subscriber) error {
	watcher, err := Watch(s.Path)
	if err != nil {
		return err
	}
	defer watcher.Close()
	to.OnLink(true, "")
	reader := reader{path: s.Path, to: to}
	reader.read()
	for {
		event, err := watcher.Wait(ctx, nil)
		if event == Ended {
			return nil
		}
		if err != nil {
			to.OnRejected(err)
		}
		reader.read()
	}
}

// reader reads a file and reports its list if the content has changed.
type reader struct {
	path    string
	to      endpoint.Subscriber
	hasRead bool   // the file has been read before
	sum     uint64 // hash of the last content, accepted or rejected
}

// read reads the file, and reports the list or why it is rejected.
func (r *reader) read() {
	src, err := os.ReadFile(r.path)
	if err != nil {
		r.to.OnRejected(err)
		return
	}
	sum := xxhash.Sum64(src)
	if r.hasRead && sum == r.sum {
		return
	}
	r.hasRead, r.sum = true, sum
	list, err := endpoint.ParseList(r.path, src)
	if err != nil {
		r.to.OnRejected(err)
		return
	}
	r.to.OnUpdate(list)
}
