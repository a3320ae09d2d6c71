// Package filesource is a source of endpoint lists that reads a file in the gateway's own form, and reads it again when
// it changes. Its Watcher is also what other sources watch their files with.
//
// The endpoint manager runs a Source in a goroutine of its own, which owns the watch. Nothing is written.
package filesource

import (
	"context"
	"os"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/endpoint"
)

// Source is an endpoint.Source of one file.
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

// reader reports a file's list when the content has changed.
type reader struct {
	path    string
	to      endpoint.Subscriber
	hasRead bool   // content was read before
	sum     uint64 // of the content read last, also where that was rejected
}

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
