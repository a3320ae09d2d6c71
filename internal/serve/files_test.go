package serve_test

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	pkgsftp "github.com/pkg/sftp"

	"irispost/internal/testkit"
)

// put writes a whole file, in several WRITE requests if it is large.
func put(c *pkgsftp.Client, path string, data []byte) error {
	f, err := c.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	if _, err := f.ReadFrom(bytes.NewReader(data)); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func get(c *pkgsftp.Client, path string) ([]byte, error) {
	f, err := c.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var b bytes.Buffer
	_, err = f.WriteTo(&b)
	return b.Bytes(), err
}

func randomBytes(seed uint64, n int) []byte {
	b := make([]byte, n)
	r := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	_, _ = r.Read(b) // never fails
	return b
}

// must fails the test if a step returned an error.
func must(t *testing.T, what string, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

// TestFileCommands: an independent SFTP client (pkg/sftp) reads through one gateway the files that it wrote through
// another, and can rename, replace and truncate them and change their mode.
func TestFileCommands(t *testing.T) {
	testbed := testkit.Start(t, testkit.Conf, 3, 2, nil)
	a, b := testbed.Client(0), testbed.Client(1)
	data := randomBytes(1, 300_001)
	must(t, "mkdir", a.Mkdir("/meals/week"))
	must(t, "put", put(a, "/meals/week/menu", data))
	got, err := get(b, "/meals/week/menu")
	must(t, "get", err)
	if sha256.Sum256(got) != sha256.Sum256(data) {
		t.Fatalf("the %d bytes read through another gateway differ from those written", len(got))
	}
	info, err := b.Stat("/meals/week/menu")
	must(t, "stat", err)
	if info.Size() != int64(len(data)) || info.IsDir() {
		t.Errorf("stat returned %d bytes, folder %v, want all bytes of a file", info.Size(), info.IsDir())
	}
	must(t, "rename", b.Rename("/meals/week/menu", "/meals/menu"))
	if _, err := a.Stat("/meals/week/menu"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("stat of the old name: error %v, want fs.ErrNotExist", err)
	}
	must(t, "second", put(a, "/meals/other", []byte("x")))
	if err := a.Rename("/meals/other", "/meals/menu"); err == nil {
		t.Error("RENAME replaced an existing file, want an error")
	}
	must(t, "posix-rename", a.PosixRename("/meals/other", "/meals/menu"))
	got, err = get(b, "/meals/menu")
	must(t, "get after replace", err)
	if string(got) != "x" {
		t.Errorf("after the replacement: %d bytes, want only \"x\"", len(got))
	}
	must(t, "truncate", a.Truncate("/meals/menu", 0))
	must(t, "chmod", a.Chmod("/meals/menu", 0o600))
	if info, err = b.Stat("/meals/menu"); err != nil || info.Size() != 0 || info.Mode().Perm() != 0o600 {
		t.Errorf("after truncate and chmod: %v, error %v, want size 0 and mode 0600", info, err)
	}
}

// TestFolderCommands: folders created through one gateway are listed and removed through another, and invalid
// operations are rejected.
func TestFolderCommands(t *testing.T) {
	testbed := testkit.Start(t, testkit.Conf, 3, 2, nil)
	a, b := testbed.Client(0), testbed.Client(1)
	must(t, "mkdir", a.Mkdir("/meals/week"))
	must(t, "put", put(a, "/meals/menu", []byte("x")))
	list, err := b.ReadDir("/meals")
	must(t, "list", err)
	var names []string
	for _, entry := range list {
		names = append(names, entry.Name())
	}
	if !slices.Equal(names, []string{"menu", "week"}) {
		t.Errorf("the folder lists %v, want menu and week", names)
	}
	must(t, "put in folder", put(a, "/meals/week/x", nil))
	if err := b.RemoveDirectory("/meals/week"); err == nil || !strings.Contains(err.Error(), "not empty") {
		t.Errorf("rmdir of a folder with entries: error %v, want one with \"not empty\"", err)
	}
	must(t, "remove", b.Remove("/meals/week/x"))
	must(t, "rmdir", b.RemoveDirectory("/meals/week"))
	if err := put(a, "/meals/week/y", nil); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("create in a removed folder: error %v, want fs.ErrNotExist", err)
	}
	if _, err := a.OpenFile("/meals/menu", os.O_WRONLY|os.O_CREATE|os.O_EXCL); err == nil {
		t.Error("exclusive create of an existing file succeeded, want an error")
	}
	for _, path := range []string{"/meals/../../etc/passwd", "/meals/..", "/nothing/here"} {
		if _, err := a.Stat(path); err == nil {
			t.Errorf("stat of %s succeeded, want an error", path)
		}
	}
}

// TestSparseTruncateAndAppend: holes read as zeros, a file that is truncated and then extended reads as zeros in
// between, and appends write at the end.
func TestSparseTruncateAndAppend(t *testing.T) {
	testbed := testkit.Start(t, testkit.Conf, 3, 1, nil)
	c := testbed.Client(0)
	f, err := c.OpenFile("/meals/sparse", os.O_RDWR|os.O_CREATE)
	if err != nil {
		t.Fatal(err)
	}
	model := make([]byte, 200_000)
	tail := randomBytes(2, 1000)
	copy(model[199_000:], tail)
	if _, err := f.WriteAt(tail, 199_000); err != nil {
		t.Fatal(err)
	}
	check := func(when string) {
		t.Helper()
		got := make([]byte, len(model)+1)
		n, err := f.ReadAt(got, 0)
		if !errors.Is(err, io.EOF) || !bytes.Equal(got[:n], model) {
			t.Fatalf("%s: read %d bytes, want %d; equal %v, error %v, want true and EOF",
				when, n, len(model), bytes.Equal(got[:n], model), err)
		}
	}
	check("with a hole")
	model = model[:199_500]
	if err := f.Truncate(199_500); err != nil {
		t.Fatal(err)
	}
	check("truncated")
	model = append(model, make([]byte, 600)...)
	model[200_099] = 7
	if _, err := f.WriteAt([]byte{7}, 200_099); err != nil {
		t.Fatal(err)
	}
	check("extended again")
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if f, err = c.OpenFile("/meals/sparse", os.O_RDWR|os.O_APPEND); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte("end")); err != nil {
		t.Fatal(err)
	}
	model = append(model, "end"...)
	check("appended")
}
