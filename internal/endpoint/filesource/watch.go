package filesource

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/fsnotify/fsnotify"
)

// Event is the reason why Watcher.Wait returned.
type Event uint8

// Events returned by Watcher.Wait.
const (
	Changed    Event = iota // a watched file may have changed
	TimerFired              // the caller's timer fired
	Ended                   // the context ended, or the watcher was closed
)

// Watcher detects changes of files. It watches their directories, so that it also detects a file that is renamed into
// place.
type Watcher struct {
	files   []string // cleaned paths
	watcher *fsnotify.Watcher
}

// Watch starts watching files. The files need not exist, but their directories must.
func Watch(files ...string) (*Watcher, error) {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, fmt.Errorf("watch %q: %w", files, err)
	}
	w := &Watcher{watcher: watcher}
	for _, file := range files {
		if err := watcher.Add(filepath.Dir(file)); err != nil {
			w.Close()
			return nil, fmt.Errorf("watch the directory of %s: %w", file, err)
		}
		w.files = append(w.files, filepath.Clean(file))
	}
	return w, nil
}

// Close stops the watcher.
func (w *Watcher) Close() {
	_ = w.watcher.Close() // nothing is lost if it fails
}

// Wait blocks until a watched file may have changed, the timer fires (nil: never) or the context ends. It returns
// Changed with an error if changes may have been missed.
func (w *Watcher) Wait(ctx context.Context, timer <-chan time.Time) (Event, error) {
	for {
		select {
		case <-ctx.Done():
			return Ended, nil
		case <-timer:
			return TimerFired, nil
		case event, open := <-w.watcher.Events:
			if !open {
				return Ended, nil
			}
			if slices.Contains(w.files, filepath.Clean(event.Name)) {
				return Changed, nil
			}
		case err, open := <-w.watcher.Errors:
			if !open {
				return Ended, nil
			}
			return Changed, err
		}
	}
}
