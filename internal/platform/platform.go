// Package platform reads what the platform tells a gateway that it starts: its environment and config.json.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"irispost/internal/endpoint/discovery"
	"irispost/internal/wire"
	"irispost/scheduler"
)

// Config is what a gateway is told.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	Seed            uint64
	Cores           float64
	MemoryBytes     int64 // bytes
	MaxSockets      int
	CachedEndpoints *discovery.Response
	Settings        scheduler.Settings
	DialTimeout     time.Duration // a connection to a node that is not up by then has failed
	IdleTimeout     time.Duration // nodes close connections that have been idle for so long
}

// file is config.json.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores   float64 `json:"cores"`
		Memory  float64 `json:"memory_mb"`
		Sockets int     `json:"sockets"`
	} `json:"limits"`
	Known    *discovery.Response `json:"known"`
	Settings json.RawMessage     `json:"settings"`
}

// Load reads the configuration that the environment names. What the file leaves out, the environment tells.
func Load(env func(string) string) (*Config, error) {
	path := env("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG names no configuration")
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

// Parse reads a configuration.
func Parse(src []byte, env func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(src, &f); err != nil {
		return nil, err
	}
	or := func(s, name string) string {
		if s == "" {
			return env(name)
		}
		return s
	}
	c := &Config{Name: or(f.Name, "PROXY_NAME"), Listen: or(f.Listen, "PROXY_LISTEN"), Discovery: or(f.Discovery, "PROXY_DISCOVERY"),
		Cores: f.Limits.Cores, MemoryBytes: int64(f.Limits.Memory * (1 << 20)), MaxSockets: f.Limits.Sockets, CachedEndpoints: f.Known, Settings: scheduler.Settings{}}
	for name, v := range map[string]string{"name": c.Name, "listen": c.Listen, "discovery": c.Discovery} {
		if v == "" {
			return nil, fmt.Errorf("no %s", name)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a number of up to 16 hex digits", f.Seed)
	}
	if c.MaxSockets <= 0 || c.MemoryBytes <= 0 || c.Cores <= 0 {
		return nil, fmt.Errorf("limits: %v cores, %v MB and %d sockets", f.Limits.Cores, f.Limits.Memory, f.Limits.Sockets)
	}
	d := json.NewDecoder(bytes.NewReader(f.Settings))
	d.UseNumber()
	var settings any
	if err := d.Decode(&settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	spans := map[string]*time.Duration{"permissions.dial_timeout_ms": &c.DialTimeout, "permissions.idle_close_ms": &c.IdleTimeout}
	flat := map[string]string{}
	flatten("", settings, func(path, value string) {
		flat[path] = value
		wire.TranslateSetting(c.Settings, path, value)
		if s := spans[path]; s != nil {
			if ns, ok := wire.ParseTime([]byte(value)); ok && ns > 0 {
				*s = time.Duration(ns)
			}
		}
	})
	if err := check(flat); err != nil {
		return nil, err
	}
	c.Settings["discovery"] = "ask" // whoever changes it, over HTTP the list comes to who asks
	if c.DialTimeout == 0 || c.IdleTimeout == 0 {
		return nil, errors.New("settings: permissions.dial_timeout_ms and permissions.idle_close_ms have to be above 0")
	}
	return c, nil
}

// flatten writes nested values as the bench's first message does: a list of objects by its count and its items, a list of plain
// values as one text.
func flatten(path string, v any, set func(path, value string)) {
	join := func(name string) string {
		if path == "" {
			return name
		}
		return path + "." + name
	}
	switch v := v.(type) {
	case map[string]any:
		for name, o := range v {
			flatten(join(name), o, set)
		}
	case []any:
		var plain []string
		for _, o := range v {
			switch o.(type) {
			case map[string]any, []any:
			default:
				plain = append(plain, text(o))
			}
		}
		if len(plain) == len(v) && len(v) > 0 {
			set(path, strings.Join(plain, ","))
			return
		}
		set(join("count"), strconv.Itoa(len(v)))
		for i, o := range v {
			flatten(join(strconv.Itoa(i)), o, set)
		}
	case nil:
	default:
		set(path, text(v))
	}
}

func text(v any) string {
	switch v := v.(type) {
	case json.Number:
		return v.String()
	case string:
		return v
	case bool:
		return strconv.FormatBool(v)
	}
	return ""
}

// The platform kills a gateway that it ends after the longest time that a client waits, counted as longestWait at most, and
// afterWait more.
const (
	longestWait = 3 * time.Second
	afterWait   = 700 * time.Millisecond
)

// ShutdownGrace is how long a gateway has from being told to end to being killed.
func (c *Config) ShutdownGrace() time.Duration {
	longest := 0.0
	count, _ := strconv.Atoi(c.Settings["products.count"])
	for i := range count {
		ms, _ := strconv.ParseFloat(c.Settings["products."+strconv.Itoa(i)+".patience"], 64)
		longest = max(longest, ms)
	}
	return min(time.Duration(longest*float64(time.Millisecond)), longestWait) + afterWait
}

// longestHold leaves three of the six seconds after which what a silent watch missed counts as told: one until the silence is noticed, and
// two for the calls that follow.
const longestHold = 3 * time.Second

// LongPoll is how long the list's service may hold a watch open: often enough within the time after which a gateway that has not asked
// counts as told all the same, so that a service that fell silent is noticed before.
func (c *Config) LongPoll() time.Duration {
	ms, _ := strconv.ParseFloat(c.Settings["list.every"], 64)
	if ms <= 0 {
		return longestHold
	}
	return min(time.Duration(ms/4*float64(time.Millisecond)), longestHold)
}
