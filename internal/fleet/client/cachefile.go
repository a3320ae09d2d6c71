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

// cacheFile keeps the last content that a gateway fetched on disk, in one file that is named by the content's
// digest and replaced atomically. After a restart the content serves as a base for deltas; it does not decide
// which configuration is in effect.
type cacheFile struct {
	dir       string
	gateway   string
	logger    *slog.Logger
	pending   chan []byte // holds the latest content that is still to be written
	done      chan struct{}
	closeOnce sync.Once
	failing   bool // the last write failed; owned by writeLoop
}

// cacheFileSuffix follows the digest of the content in the name of a cache file.
const cacheFileSuffix = ".rules"

var (
	cacheFileName = regexp.MustCompile(`^[0-9a-f]{64}\.rules$`)
	// cacheFileTempName matches temporary files of renameio, which stay behind if the process is killed during a
	// write.
	cacheFileTempName = regexp.MustCompile(`^\.[0-9a-f]{64}\.rules\d+$`)
)

// Reasons why a cache file is ignored.
var (
	errCacheFileSize   = errors.New("size out of range")
	errCacheFileDigest = errors.New("content does not match the digest in the file's name")
)

// openCacheFile creates the folder if it does not exist, checks that it is writable, and returns the cached
// content, or nil if there is no intact one. If dir is empty, nothing is cached and all results are nil.
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

// checkWritable returns an error if no file can be created in a folder.
func checkWritable(dir string) error {
	probe, err := os.CreateTemp(dir, ".probe")
	if err != nil {
		return err
	}
	_ = probe.Close() // nothing was written
	_ = os.Remove(probe.Name())
	return nil
}

// load returns the content of the newest intact cache file, and removes all others and temporary files.
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
			_ = os.Remove(name) // harmless if it stays: it only takes space
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

// readCacheFile reads a cache file and checks its content against the digest in its name.
func readCacheFile(name string) (content []byte, modified time.Time, err error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, time.Time{}, err
	}
	if !info.Mode().IsRegular() || info.Size() == 0 || info.Size() > configversion.MaxContentBytes {
		err := fmt.Errorf("%w: %d bytes, want 1 to %d", errCacheFileSize, info.Size(), configversion.MaxContentBytes)
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

// removeOthers removes all cache files except one.
func (f *cacheFile) removeOthers(except string) error {
	entries, err := os.ReadDir(f.dir)
	for _, entry := range entries {
		name := filepath.Join(f.dir, entry.Name())
		if name == except || !cacheFileName.MatchString(entry.Name()) {
			continue
		}
		_ = os.Remove(name) // the next write tries again to remove it
	}
	return err
}

// write queues a content to be written in the background and replaces one that is still queued. It does not
// block. Only one goroutine may call it.
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

// writeLoop writes queued contents until the cache file is closed.
func (f *cacheFile) writeLoop() {
	defer close(f.done)
	for content := range f.pending {
		f.logOutcome(f.replace(content))
	}
}

// replace writes a content and removes all other cache files.
func (f *cacheFile) replace(content []byte) error {
	name := filepath.Join(f.dir, configversion.DigestOf(content)+cacheFileSuffix)
	if err := renameio.WriteFile(name, content, 0o600); err != nil {
		return err
	}
	return f.removeOthers(name)
}

// logOutcome logs when writes start to fail and when they succeed again, but not each failure.
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

// close writes the queued content, if any, and waits for writeLoop to end.
func (f *cacheFile) close() {
	if f != nil {
		f.closeOnce.Do(func() { close(f.pending) })
		<-f.done
	}
}
