package client

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"irispost/internal/fleet/configversion"
)

// cacheFile keeps a gateway's last content on disk, in one file that is named by its digest and replaced
// atomically. After a start the content is a base for deltas; it does not say which configuration is in effect.
type cacheFile struct {
	dir       string
	gateway   string
	logger    *slog.Logger
	pending   chan []byte // holds the latest content that is not written yet
	done      chan struct{}
	closeOnce sync.Once
	failing   bool // the last write failed; owned by the writing goroutine
}

// cacheFileSuffix follows the content's digest in a file's name.
const cacheFileSuffix = ".rules"

var (
	cacheFileName = regexp.MustCompile(`^[0-9a-f]{64}\.rules$`)
	// cacheFileTempName is that of a file that was being written when the process was killed.
	cacheFileTempName = regexp.MustCompile(`^\.[0-9a-f]{64}\.rules\d+$`)
)

// Why a file in the folder is not used.
var (
	errCacheFileSize   = errors.New("size out of range")
	errCacheFileDigest = errors.New("content does not match the digest in the file's name")
)

// openCacheFile makes the folder if there is none, checks that it is writable, and reads the content in it; nil:
// there is none that is intact. Without a folder's name there is no cache file, and all results are nil.
func openCacheFile(dir, gateway string, logger *slog.Logger) (*cacheFile, []byte, error) {
	if dir == "" {
		return nil, nil, nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("create content cache folder %s: %w", dir, err)
	}
	if err := checkWritable(dir); err != nil {
		return nil, nil, fmt.Errorf("write to content cache folder %s: %w", dir, err)
	}
	file := &cacheFile{dir: dir, gateway: gateway, logger: logger, pending: make(chan []byte, 1), done: make(chan struct{})}
	content, err := file.load()
	if err != nil {
		return nil, nil, fmt.Errorf("read content cache folder %s: %w", dir, err)
	}
	go file.writeLoop()
	return file, content, nil
}

// checkWritable tells whether files can be made in a folder.
func checkWritable(dir string) error {
	probe, err := os.CreateTemp(dir, ".probe")
	if err != nil {
		return err
	}
	_ = probe.Close() // nothing was written to it
	_ = os.Remove(probe.Name())
	return nil
}

// load returns the content of the newest intact file, and removes all other cache files.
func (f *cacheFile) load() (content []byte, err error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, err
	}
	var newest string
	var newestTime time.Time
	for _, entry := range entries {
		name := filepath.Join(f.dir, entry.Name())
		if cacheFileTempName.MatchString(entry.Name()) {
			_ = os.Remove(name) // a remainder only takes space
		}
		if !cacheFileName.MatchString(entry.Name()) {
			continue
		}
		candidate, modified, err := readCacheFile(name)
		if err != nil {
			f.logger.Warn("content cache file ignored, the full content will be fetched",
				"gateway", f.gateway, "file", name, "err", err)
		} else if newest == "" || modified.After(newestTime) {
			newest, newestTime, content = name, modified, candidate
		}
	}
	return content, f.removeOthers(newest)
}

// readCacheFile reads a file and checks it against its name.
func readCacheFile(name string) (content []byte, modified time.Time, err error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, time.Time{}, err
	}
	if !info.Mode().IsRegular() || info.Size() == 0 || info.Size() > configversion.MaxContentBytes {
		err := fmt.Errorf("%w: %d bytes, not 1 to %d", errCacheFileSize, info.Size(), configversion.MaxContentBytes)
		return nil, time.Time{}, err
	}
	content, err = os.ReadFile(name)
	if err != nil {
		return nil, time.Time{}, err
	}
	if digest := configversion.DigestOf(content); filepath.Base(name) != digest+cacheFileSuffix {
		return nil, time.Time{}, fmt.Errorf("%w: its digest is %.12s", errCacheFileDigest, digest)
	}
	return content, info.ModTime(), nil
}

// removeOthers removes all cache files but one.
func (f *cacheFile) removeOthers(except string) error {
	entries, err := os.ReadDir(f.dir)
	for _, entry := range entries {
		name := filepath.Join(f.dir, entry.Name())
		if name == except || !cacheFileName.MatchString(entry.Name()) {
			continue
		}
		_ = os.Remove(name) // the next write tries again
	}
	return err
}

// write has a content written in the background, in place of one that still waits to be. It does not wait. Only
// one goroutine may call it.
func (f *cacheFile) write(content []byte) {
	if f == nil || len(content) == 0 {
		return
	}
	select {
	case <-f.pending:
	default:
	}
	f.pending <- content
}

// writeLoop writes contents until the file is closed.
func (f *cacheFile) writeLoop() {
	defer close(f.done)
	for content := range f.pending {
		f.logOutcome(f.replace(content))
	}
}

// replace has a content be the only one in the folder.
func (f *cacheFile) replace(content []byte) error {
	name := filepath.Join(f.dir, configversion.DigestOf(content)+cacheFileSuffix)
	if err := renameio.WriteFile(name, content, 0o600); err != nil {
		return err
	}
	return f.removeOthers(name)
}

// logOutcome logs when writes begin to fail, and when they succeed again.
func (f *cacheFile) logOutcome(err error) {
	failing := err != nil
	if failing == f.failing {
		return
	}
	f.failing = failing
	if failing {
		f.logger.Warn("content cache file cannot be written, a restart will fetch the full content",
			"gateway", f.gateway, "dir", f.dir, "err", err)
		return
	}
	f.logger.Info("content cache file can be written again", "gateway", f.gateway, "dir", f.dir)
}

// close writes what still waits to be, and ends the writing goroutine.
func (f *cacheFile) close() {
	if f != nil {
		f.closeOnce.Do(func() { close(f.pending) })
		<-f.done
	}
}
