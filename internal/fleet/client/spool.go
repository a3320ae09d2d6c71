package client

import (
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

// spool has a gateway's last content on disk, one file named by its digest, whole or not there. After a start it is a base for what is
// fetched; it says nothing of what may be acted on.
type spool struct {
	dir     string
	gateway string
	log     *slog.Logger
	to      chan []byte // the last one counts
	ended   chan struct{}
	once    sync.Once
	fails   bool // the last one could not be written
}

var (
	spooled = regexp.MustCompile(`^[0-9a-f]{64}\.rules$`)
	begun   = regexp.MustCompile(`^\.[0-9a-f]{64}\.rules\d+$`) // a file that a kill left before it had its name
)

// openSpool makes the folder where there is none, sees that it can be written to, and reads what is there; nil: nothing that is whole.
func openSpool(dir, gateway string, log *slog.Logger) (*spool, []byte, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("the folder for contents cannot be made: %w", err)
	}
	probe, err := os.CreateTemp(dir, ".probe")
	if err != nil {
		return nil, nil, fmt.Errorf("the folder for contents cannot be written to: %w", err)
	}
	probe.Close()
	os.Remove(probe.Name())
	s := &spool{dir: dir, gateway: gateway, log: log, to: make(chan []byte, 1), ended: make(chan struct{})}
	content, err := s.read()
	if err != nil {
		return nil, nil, fmt.Errorf("the folder for contents cannot be read: %w", err)
	}
	go s.run()
	return s, content, nil
}

// read finds the newest file that is what its name says, and removes all others of a spool's.
func (s *spool) read() (content []byte, err error) {
	list, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, err
	}
	var newest string
	var at time.Time
	for _, e := range list {
		name := filepath.Join(s.dir, e.Name())
		if begun.MatchString(e.Name()) {
			os.Remove(name)
		}
		if !spooled.MatchString(e.Name()) {
			continue
		}
		b, when, err := s.open(name)
		if err != nil {
			s.log.Warn("a content on disk is left, it is fetched whole: "+err.Error(), "gateway", s.gateway, "file", name)
		} else if newest == "" || when.After(at) {
			newest, at, content = name, when, b
		}
	}
	return content, s.clear(newest)
}

func (s *spool) open(name string) ([]byte, time.Time, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, time.Time{}, err
	}
	if !info.Mode().IsRegular() || info.Size() == 0 || info.Size() > configversion.MaxContentBytes {
		return nil, time.Time{}, fmt.Errorf("%d bytes, where a content has 1 to %d", info.Size(), configversion.MaxContentBytes)
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, time.Time{}, err
	}
	if sum := configversion.DigestOf(b); filepath.Base(name) != sum+".rules" {
		return nil, time.Time{}, fmt.Errorf("its digest is %.12s", sum)
	}
	return b, info.ModTime(), nil
}

// clear removes all files of a spool's but one.
func (s *spool) clear(but string) error {
	list, err := os.ReadDir(s.dir)
	for _, e := range list {
		if name := filepath.Join(s.dir, e.Name()); spooled.MatchString(e.Name()) && name != but {
			os.Remove(name) // what stays is removed with the next
		}
	}
	return err
}

// put has a content written by and by. It does not wait.
func (s *spool) put(content []byte) {
	if s == nil || len(content) == 0 {
		return
	}
	select {
	case <-s.to: // overtaken
	default:
	}
	s.to <- content // one puts
}

func (s *spool) run() {
	defer close(s.ended)
	for content := range s.to {
		name := filepath.Join(s.dir, configversion.DigestOf(content)+".rules")
		err := renameio.WriteFile(name, content, 0o600)
		if err == nil {
			err = s.clear(name)
		}
		if fails := err != nil; fails != s.fails {
			s.fails = fails
			if fails {
				s.log.Warn("contents cannot be written to disk: after a start they are fetched whole", "gateway", s.gateway, "folder", s.dir, "why", err)
			} else {
				s.log.Info("contents are written to disk again", "gateway", s.gateway, "folder", s.dir)
			}
		}
	}
}

// close ends it, once all is written.
func (s *spool) close() {
	if s != nil {
		s.once.Do(func() { close(s.to) })
		<-s.ended
	}
}
