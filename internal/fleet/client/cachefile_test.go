package client

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
)

// cacheFileNameOf is the name of the file with a content.
func cacheFileNameOf(content []byte) string { return configversion.DigestOf(content) + ".rules" }

// TestStartFailsWithoutCacheFolder: the error names the folder that cannot be made.
func TestStartFailsWithoutCacheFolder(t *testing.T) {
	notAFolder := filepath.Join(t.TempDir(), "a file")
	if err := os.WriteFile(notAFolder, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Start(Options{Gateway: "g", Replicas: []string{"127.0.0.1:1"}, RenewInterval: time.Second, Now: wallClock,
		CacheDir: filepath.Join(notAFolder, "x"), Logger: slog.New(slog.DiscardHandler)})
	if err == nil || !strings.Contains(err.Error(), "a file") {
		t.Errorf("a folder that cannot be made: %v", err)
	}
}

// TestCacheFileIsBaseAfterStart: after a start the content on disk is a base: intact or not there, the newest,
// one at most. A file that is no such content costs one line in the log.
func TestCacheFileIsBaseAfterStart(t *testing.T) {
	replica := startReplica(t, time.Second)
	first, second, foreign := largeContent(200, 1), largeContent(200, 2), largeContent(200, 9)
	replica.propose(first)
	replica.propose(second)
	type files = map[string][]byte
	nameOf := cacheFileNameOf
	for name, c := range map[string]struct {
		files    files
		logged   string // "": nothing
		encoding string // of the first content that is fetched; "": none is
	}{
		"no file":                      {nil, "", content.EncodingZstd},
		"the version before":           {files{nameOf(first): first}, "", content.EncodingDelta},
		"the version in force":         {files{nameOf(second): second}, "", ""},
		"another fleet's":              {files{nameOf(foreign): foreign}, "does not have the base", content.EncodingZstd},
		"truncated":                    {files{nameOf(first): first[:100]}, "its digest is", content.EncodingZstd},
		"empty":                        {files{nameOf(first): nil}, "0 bytes", content.EncodingZstd},
		"killed before the rename":     {files{"." + nameOf(second) + "123": second[:9], nameOf(first): first}, "", content.EncodingDelta},
		"killed before the removal":    {files{nameOf(foreign): foreign, nameOf(first): first}, "", content.EncodingDelta},
		"a file that is not a content": {files{"notes.txt": []byte("x")}, "", content.EncodingZstd},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			writeCacheFiles(t, dir, c.files, first)
			encodings, logs := &encodingLog{}, &logBuffer{}
			addr := replica.proxy(nil, encodings.note)
			group := startClients(t, 1, []string{addr}, func(_ int, options *Options) {
				logs.use(options)
				options.CacheDir = dir
			})
			if _, effective := group.clients[0].Status(); effective != "none" {
				t.Errorf("%s is in effect at once", effective)
			}
			group.waitForVersion(2)
			group.clients[0].Close()
			if got := strings.Join(encodings.list(), ","); got != c.encoding {
				t.Errorf("contents came as %q, not %q", got, c.encoding)
			}
			lines := strings.Count(logs.String(), "level=WARN") + strings.Count(logs.String(), "received full content")
			if want := min(len(c.logged), 1); lines != want || !strings.Contains(logs.String(), c.logged) {
				t.Errorf("%d lines, not %q: %s", lines, c.logged, logs)
			}
			checkOnlyCacheFile(t, dir, cacheFileNameOf(second))
		})
	}
}

// writeCacheFiles writes files an hour ago, and the one with the newest content a minute later.
func writeCacheFiles(t *testing.T, dir string, files map[string][]byte, newest []byte) {
	t.Helper()
	hourAgo := time.Now().Add(-time.Hour)
	for name, b := range files {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		modified := hourAgo
		if bytes.Equal(b, newest) {
			modified = hourAgo.Add(time.Minute)
		}
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
}

// checkOnlyCacheFile checks that a folder has one cache file, and nothing else that a client writes.
func checkOnlyCacheFile(t *testing.T, dir, name string) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, entry := range entries {
		if entry.Name() != "notes.txt" {
			names = append(names, entry.Name())
		}
	}
	if !slices.Equal(names, []string{name}) {
		t.Errorf("%q on disk, not %s alone", names, name)
	}
}
