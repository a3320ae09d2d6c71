package serve_test

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/standin"
	"irispost/internal/testkit"
)

// TestFileReadsBackThroughOtherGatewayWhileNodesFail: a file written through one gateway is read back unchanged
// through another while nodes fail, are slow, stall and reset connections.
func TestFileReadsBackThroughOtherGatewayWhileNodesFail(t *testing.T) {
	testbed := testkit.Start(t, testkit.Conf, 3, 2, func(o *standin.Options) { o.UnitTime = 50 * time.Microsecond })
	a, b := testbed.Client(0), testbed.Client(1)
	for i, trouble := range []string{"fail 0.3", "slow 10", "stall 50ms"} {
		if err := testbed.Nodes[i].Command(trouble); err != nil {
			t.Fatal(err)
		}
	}
	var running sync.WaitGroup
	for i := range 6 {
		running.Add(1)
		go func() {
			defer running.Done()
			path, data := fmt.Sprintf("/meals/f%d", i), randomBytes(uint64(i), 50_000*(i+1))
			testkit.RetryUntilDone(t, "put", func() error { return put(a, path, data) })
			if i == 3 {
				command(t, testbed.Nodes[1], "reset")
			}
			testkit.RetryUntilDone(t, "get", func() error {
				got, err := get(b, path)
				if err == nil && sha256.Sum256(got) != sha256.Sum256(data) {
					t.Errorf("%s: the content read differs from the content written", path)
				}
				return err
			})
		}()
	}
	running.Wait()
}

// TestRenamesLoseNothing: several clients rename files concurrently through two gateways while nodes fail. No file is
// lost or duplicated. An interrupted rename is completed by the next request that encounters it.
func TestRenamesLoseNothing(t *testing.T) {
	testbed := testkit.Start(t, testkit.Conf, 3, 2, func(o *standin.Options) { o.UnitTime = 20 * time.Microsecond })
	clients := []func(string, string) error{testbed.Client(0).Rename, testbed.Client(1).Rename, testbed.Client(0).Rename}
	const files, names = 4, 7
	for i := range files {
		if err := put(testbed.Client(0), fmt.Sprintf("/meals/n%d", i), randomBytes(uint64(i), 100+i)); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range testbed.Nodes {
		command(t, n, "fail 0.1")
	}
	var running sync.WaitGroup
	for c, rename := range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			r := rand.New(rand.NewPCG(uint64(c), 9))
			for range 60 {
				_ = rename(fmt.Sprintf("/meals/n%d", r.IntN(names)), fmt.Sprintf("/meals/n%d", r.IntN(names)))
			}
		}()
	}
	running.Wait()
	for _, n := range testbed.Nodes {
		command(t, n, "well")
	}
	found := map[string]int{}
	for i := range names {
		got, err := get(testbed.Client(1), fmt.Sprintf("/meals/n%d", i))
		if err == nil {
			found[string(got)]++
		} else if !errors.Is(err, os.ErrNotExist) {
			t.Error(err)
		}
	}
	for i := range files {
		if n := found[string(randomBytes(uint64(i), 100+i))]; n != 1 {
			t.Errorf("file %d exists %d times, want once", i, n)
		}
	}
	if len(found) != files {
		t.Errorf("%d distinct contents found, want %d", len(found), files)
	}
}

// TestHungNodeDoesNotDelayOthers: a request whose node does not answer is rejected when the timeout of its request
// class expires, requests to other nodes still succeed, and a node listed as draining receives no new requests.
func TestHungNodeDoesNotDelayOthers(t *testing.T) {
	conf := strings.ReplaceAll(strings.ReplaceAll(testkit.Conf, `"5s"`, `"1500ms"`), `"3s"`, `"1s"`)
	testbed := testkit.Start(t, conf, 2, 1, nil)
	c := testbed.Client(0)
	var files [2]string // the record of files[i] is at shard i
	for i := 0; files[0] == "" || files[1] == ""; i++ {
		path := fmt.Sprintf("/meals/f%d", i)
		before := testbed.Nodes[0].AttemptsReceived()
		if err := put(c, path, nil); err != nil {
			t.Fatal(err)
		}
		if testbed.Nodes[0].AttemptsReceived() > before {
			files[0] = path
		} else {
			files[1] = path
		}
	}
	command(t, testbed.Nodes[0], "hang")
	if _, err := c.Stat(files[0]); err == nil || !strings.Contains(err.Error(), "dismissed") {
		t.Errorf("stat at a hung node: error %v, want \"dismissed\"", err)
	}
	if _, err := c.Stat(files[1]); err != nil {
		t.Errorf("stat at another node: %v", err)
	}
	if _, err := c.ReadDir("/meals"); err == nil {
		t.Error("a listing succeeded although a shard did not answer, want an error")
	}
	l := testbed.List()
	l.Nodes[0].Health = endpoint.Draining
	testbed.UpdateEndpoints(l)
	command(t, testbed.Nodes[0], "well")
	_, _ = c.Stat(files[1]) // this request follows the list
	before := testbed.Nodes[0].AttemptsReceived()
	if _, err := c.Stat(files[0]); err == nil {
		t.Error("a draining node serves a request, want an error")
	}
	if n := testbed.Nodes[0].AttemptsReceived() - before; n != 0 {
		t.Errorf("a draining node received %d attempts, want 0", n)
	}
	testbed.UpdateEndpoints(testbed.List())
	testkit.RetryUntilDone(t, "stat", func() error { _, err := c.Stat(files[0]); return err })
}
