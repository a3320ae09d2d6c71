package manager

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/membership"
)

// cacheSuffix is the suffix of the file of a cached list, which is named after the gateway and the source.
const cacheSuffix = ".nodes.hcl"

// cacheFile returns the path of the cached list of a source.
func (m *Manager) cacheFile(s *membership.Source) string {
	return filepath.Join(m.opt.Dir, m.opt.Gateway+"."+s.Name+cacheSuffix)
}

// writeCache writes the source's latest list to the cache directory, each time atomically, until the source ends.
func (s *subscriber) writeCache() {
	m := s.manager
	for list := range s.cache {
		if err := renameio.WriteFile(m.cacheFile(s.source), endpoint.FormatList(list), 0o600); err != nil {
			m.opt.Log.Warn("endpoint list not cached", "gateway", m.opt.Gateway, "source", s.source.Name, "err", err)
		}
	}
}

// loadCached reports the list cached by an earlier run to the tracker, marked stale. An unreadable file is logged and
// ignored.
func (m *Manager) loadCached(s *membership.Source) {
	if m.opt.Dir == "" {
		return
	}
	list, err := readCached(m.cacheFile(s))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err != nil {
		m.opt.Log.Warn("cached endpoint list ignored", "gateway", m.opt.Gateway, "source", s.Name, "err", err)
		return
	}
	list.Stale = true
	s.Receive(m.opt.Now(), list)
}

func readCached(file string) (endpoint.List, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return endpoint.List{}, err
	}
	return endpoint.ParseList(file, src)
}
