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

// cacheFileNameOf returns the name of the cache file for a content.
func cacheFileNameOf(content []byte) string { return configversion.DigestOf(content) + ".rules" }

// TestStartFailsWithoutCacheFolder checks that the error names the folder that cannot be created.
func TestStartFailsWithoutCacheFolder(t *testing.T) {
	notAFolder := filepath.Join(t.TempDir(), "a file")
	if err := os.WriteFile(notAFolder, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Start(Options{Gateway: "g", Replicas: []string{"127.0.0.1:1"}, RenewInterval: time.Second, Now: wallClock,
		CacheDir: filepath.Join(notAFolder, "x"), Logger: slog.New(slog.DiscardHandler)})
	if err == nil || !strings.Contains(err.Error(), "a file") {
		t.Errorf("got error %v, want one that names the folder", err)
	}
}

// TestCacheFileIsBaseAfterStart checks that after a start the newest intact content on disk, if any, is the base of
// the first delta, and that a file which is damaged or of no use results in one log line and a fetch of the full
// content.
func TestCacheFileIsBaseAfterStart(t *testing.T) {
	replica := startReplica(t, time.Second)
	first, second, foreign := largeContent(200, 1), largeContent(200, 2), largeContent(200, 9)
	replica.propose(first)
	replica.propose(second)
	type files = map[string][]byte
	nameOf := cacheFileNameOf
	for name, c := range map[string]struct {
		files    files
		logged   string // text of the only log line; "": none
		encoding string // of the first content that is fetched; "": none is fetched
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
			addr := replica.proxy(nil, encodings.record)
			group := startClients(t, 1, []string{addr}, func(_ int, options *Options) {
				logs.captureLogsOf(options)
				options.CacheDir = dir
			})
			if _, effective := group.clients[0].Status(); effective != "none" {
				t.Errorf("%s is in effect right after the start, want none", effective)
			}
			group.waitForVersion(2)
			group.clients[0].Close()
			if got := strings.Join(encodings.list(), ","); got != c.encoding {
				t.Errorf("contents were sent as %q, want %q", got, c.encoding)
			}
			lines := strings.Count(logs.String(), "level=WARN") + strings.Count(logs.String(), "received full content")
			if want := min(len(c.logged), 1); lines != want || !strings.Contains(logs.String(), c.logged) {
				t.Errorf("%d log lines, want only one with %q, or none if that is empty: %s", lines, c.logged, logs)
			}
			checkOnlyCacheFile(t, dir, cacheFileNameOf(second))
		})
	}
}

// writeCacheFiles writes files dated an hour ago; the one that holds newest is dated a minute later.
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

// checkOnlyCacheFile checks that a folder has one cache file of the given name, and no other but notes.txt.
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
		t.Errorf("files on disk: got %q, want %s alone", names, name)
	}
}
