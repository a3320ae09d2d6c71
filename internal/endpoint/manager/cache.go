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

// cacheSuffix ends the names of cached lists, after those of the gateway and the source.
const cacheSuffix = ".nodes.hcl"

func (m *Manager) cacheFile(s *membership.Source) string {
	return filepath.Join(m.opt.Dir, m.opt.Gateway+"."+s.Name+cacheSuffix)
}

// writeCache writes the source's last list to the cache directory, each file completely or not at all, until the
// source ends.
func (s *subscriber) writeCache() {
	m := s.manager
	for list := range s.cache {
		if err := renameio.WriteFile(m.cacheFile(s.source), endpoint.FormatList(list), 0o600); err != nil {
			m.opt.Log.Warn("endpoint list not cached", "gateway", m.opt.Gateway, "source", s.source.Name, "err", err)
		}
	}
}

// loadCached reports the list that an earlier run cached, marked stale, if there is one that can be read.
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
