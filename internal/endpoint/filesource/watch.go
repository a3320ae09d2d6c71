package filesource

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/fsnotify/fsnotify"
)

// Event is what ended a wait for changes of files.
type Event uint8

// Events of Watcher.Wait.
const (
	Changed    Event = iota // a file may have changed
	TimerFired              // the caller's timer fired
	Ended                   // the context ended, or the watcher was closed
)

// Watcher notices changes of files. It watches their directories, so that a file renamed into place is noticed as
// well.
type Watcher struct {
	files   []string // cleaned paths
	watcher *fsnotify.Watcher
}

// Watch begins to watch files, which need not exist; their directories do.
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

// Close ends the watch.
func (w *Watcher) Close() {
	_ = w.watcher.Close() // it has nothing that could be lost
}

// Wait waits until one of the files may have changed, the timer fires (nil: it never does) or the context ends. With
// Changed it returns an error if changes may have gone unnoticed.
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
