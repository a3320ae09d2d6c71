// Package platform reads the environment and the JSON configuration that the platform passes to a gateway. The
// gateway's command calls it at startup and on a reload. The package keeps no state; only Load does I/O.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"irispost/internal/endpoint/discovery"
	"irispost/internal/wire"
	"irispost/scheduler"
)

// Environment variables. All but the first are defaults for values that the configuration leaves out.
const (
	envConfig    = "PROXY_CONFIG" // path of the configuration
	envName      = "PROXY_NAME"
	envListen    = "PROXY_LISTEN"
	envDiscovery = "PROXY_DISCOVERY"
)

// Errors for an incomplete configuration.
var (
	ErrNoConfig  = errors.New(envConfig + " is not set")
	ErrNoTimeout = errors.New("settings: permissions.dial_timeout_ms and permissions.idle_close_ms must be above 0")
)

// Config is a gateway's configuration.
type Config struct {
	Name            string
	Listen          string // host:port for clients
	Discovery       string // host:port of the discovery service
	Seed            uint64
	Cores           float64
	MemoryBytes     int64
	MaxSockets      int
	CachedEndpoints *discovery.Response // the last endpoint list that this gateway had; nil: none
	Settings        scheduler.Settings  // of the scheduler
	DialTimeout     time.Duration       // for connecting to a node
	IdleTimeout     time.Duration       // after which nodes close an idle connection
}

// configFile is the JSON form of a configuration.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // up to 16 hex digits
	Limits    struct {
		Cores      float64 `json:"cores"`
		MemoryMB   float64 `json:"memory_mb"`
		MaxSockets int     `json:"sockets"`
	} `json:"limits"`
	CachedEndpoints *discovery.Response `json:"known"`
	Settings        json.RawMessage     `json:"settings"`
}

// Load reads the configuration file whose path is in the environment.
func Load(env func(name string) string) (*Config, error) {
	path := env(envConfig)
	if path == "" {
		return nil, ErrNoConfig
	}
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(src, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration from its JSON form. Values that are not in it are taken from env.
func Parse(src []byte, env func(name string) string) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(src, &f); err != nil {
		return nil, err
	}
	c, err := f.config(env)
	if err != nil {
		return nil, err
	}
	if err := c.readSettings(f.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

// config validates and converts everything but the settings.
func (f *configFile) config(env func(name string) string) (*Config, error) {
	orEnv := func(value, name string) string {
		if value == "" {
			return env(name)
		}
		return value
	}
	c := &Config{
		Name:            orEnv(f.Name, envName),
		Listen:          orEnv(f.Listen, envListen),
		Discovery:       orEnv(f.Discovery, envDiscovery),
		Cores:           f.Limits.Cores,
		MemoryBytes:     int64(f.Limits.MemoryMB * (1 << 20)),
		MaxSockets:      f.Limits.MaxSockets,
		CachedEndpoints: f.CachedEndpoints,
		Settings:        scheduler.Settings{},
	}
	for _, required := range []struct{ name, value string }{
		{"name", c.Name}, {"listen", c.Listen}, {"discovery", c.Discovery},
	} {
		if required.value == "" {
			return nil, fmt.Errorf("no %s", required.name)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a number of up to 16 hex digits", f.Seed)
	}
	if c.MaxSockets <= 0 || c.MemoryBytes <= 0 || c.Cores <= 0 {
		return nil, fmt.Errorf("limits: %v cores, %v MB and %d sockets; all must be above 0",
			c.Cores, f.Limits.MemoryMB, c.MaxSockets)
	}
	return c, nil
}

// readSettings reads the platform's settings: those of the scheduler, which it stores under the scheduler's names,
// and the timeouts of connections.
func (c *Config) readSettings(src json.RawMessage) error {
	decoder := json.NewDecoder(bytes.NewReader(src))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	flat := settings{}
	flatten("", tree, func(path, value string) {
		flat[path] = value
		wire.TranslateSetting(c.Settings, path, value)
	})
	c.DialTimeout = flat.duration("permissions.dial_timeout_ms")
	c.IdleTimeout = flat.duration("permissions.idle_close_ms")
	if err := flat.check(); err != nil {
		return err
	}
	c.Settings["discovery"] = "ask" // regardless of the setting: over HTTP the list is always polled
	if c.DialTimeout == 0 || c.IdleTimeout == 0 {
		return ErrNoTimeout
	}
	return nil
}
