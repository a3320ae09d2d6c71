package follow

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"irispost/internal/fleet/accord"
	"irispost/internal/fleet/keep"
	"irispost/internal/fleet/rules"
)

// TestMain has the test's own binary be a keeper where it is started as one.
func TestMain(m *testing.M) {
	if args := strings.Fields(os.Getenv("IRISPOST_TEST_KEEPER")); len(args) > 0 {
		o := keep.Options{Peers: map[uint64]string{}, Dir: args[1], Terms: accord.Terms{Lease: 2e9, Drift: 0.01}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
		o.Number, _ = strconv.ParseUint(args[0], 10, 64)
		for i, addr := range args[2:] {
			o.Peers[uint64(i+1)] = addr
		}
		o.Listen = o.Peers[o.Number]
		if limit, err := strconv.ParseUint(os.Getenv("IRISPOST_TEST_DISK"), 10, 64); err == nil { // no file grows past it, as on a full disk
			signal.Ignore(unix.SIGXFSZ)
			if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: limit, Max: limit}); err != nil {
				panic(err)
			}
		}
		k, err := keep.Start(o)
		for tries := 0; err != nil && tries < 200; tries++ { // its address may be taken for a moment
			time.Sleep(20 * time.Millisecond)
			k, err = keep.Start(o)
		}
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println("serves")
		<-k.Ended()
		fmt.Println(k.Err())
		os.Exit(3)
	}
	os.Exit(m.Run())
}

// processes are keepers of their own.
func processes(t *testing.T, more ...string) (addrs []string, list []*exec.Cmd) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var held []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, l)
		addrs = append(addrs, l.Addr().String())
	}
	dir := t.TempDir()
	for i := range 3 {
		held[i].Close()
		cmd := exec.Command(self)
		cmd.Env = append(os.Environ(), fmt.Sprintf("IRISPOST_TEST_KEEPER=%d %s/%d %s", i+1, dir, i+1, strings.Join(addrs, " ")))
		cmd.Stdout = &bytes.Buffer{}
		if i == 0 {
			cmd.Env = append(cmd.Env, more...)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		list = append(list, cmd)
		t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	}
	return addrs, list
}

func content(n int) []byte {
	r := &rules.Rules{Needs: 1, Shards: 100, Mean: 1, Plans: map[string]rules.Plan{"gold": {Weight: 1, Limit: float64(n)}}, Sending: rules.Sending{Most: 1},
		Products: map[string]rules.Product{}, Nodes: map[string]rules.Node{}}
	for i := range 100 {
		r.Nodes[fmt.Sprintf("10.0.0.%d:7000", i)] = rules.Node{Shard: i, Zone: "a"}
	}
	return r.Canonical()
}

// spent is a process's time of the processor so far, and its memory in MB.
func spent(cmd *exec.Cmd) (cpu time.Duration, memory float64) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	pages, _ := strconv.ParseFloat(f[21], 64)
	return time.Duration(user+system) * 10 * time.Millisecond, pages * float64(os.Getpagesize()) / 1e6
}

// IRISPOST_MEASURE=1 measures 300 and 3,000 followers over real sockets.
func TestSize(t *testing.T) {
	if os.Getenv("IRISPOST_MEASURE") != "1" {
		t.Skip("a measurement: IRISPOST_MEASURE=1")
	}
	for _, count := range []int{300, 3000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) { measure(t, count) })
	}
}

func measure(t *testing.T, count int) {
	addrs, keepers := processes(t)
	client := &keep.Client{Keepers: addrs, Within: 30 * time.Second}
	propose := func(n int) {
		if _, err := client.Propose(&accord.Proposal{ID: fmt.Sprint(n), Parent: uint64(n - 1), Over: true, Rules: content(n)}); err != nil {
			t.Fatal(err)
		}
	}
	propose(1)
	var want atomic.Pointer[string]
	none := "nothing"
	want.Store(&none)
	var there atomic.Int64
	all := make(chan struct{}, 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	list := make([]*Following, count)
	begin := func(i int) {
		var last atomic.Pointer[string]
		ready := make(chan struct{})
		o := Options{Gateway: fmt.Sprint("g", i), Keepers: addrs, Pause: 400 * time.Millisecond, Now: func() int64 { return time.Now().UnixNano() }, Seed: uint64(i), Log: log}
		o.Wake = func() {
			<-ready
			list[i].At(time.Now().UnixNano())
			_, acts := list[i].Status()
			if w := want.Load(); strings.HasPrefix(acts, *w) && !strings.Contains(acts, "&") && last.Swap(w) != w {
				if there.Add(1) == int64(count) {
					all <- struct{}{}
				}
			}
		}
		f, err := Start(o)
		if err != nil {
			t.Fatal(err)
		}
		list[i] = f
		close(ready)
	}
	wait := func(n int) {
		text := fmt.Sprint(n, ".")
		there.Store(0)
		want.Store(&text)
	}
	storm := func(what string) {
		wait(1)
		at := time.Now()
		cpu := []time.Duration{}
		for _, k := range keepers {
			c, _ := spent(k)
			cpu = append(cpu, c)
		}
		for i := range list {
			begin(i)
		}
		select {
		case <-all:
		case <-time.After(2 * time.Minute):
			t.Fatalf("%s: %d of %d act", what, there.Load(), count)
		}
		for i, k := range keepers {
			c, _ := spent(k)
			cpu[i] = c - cpu[i]
		}
		t.Logf("%s: all of %d act on the version after %d ms; processor of the keepers %v", what, count, time.Since(at).Milliseconds(), cpu)
	}
	storm("first start")
	for _, f := range list {
		f.Close()
	}
	storm("all start again at once")
	time.Sleep(3 * time.Second)
	var before []time.Duration
	for _, k := range keepers {
		c, _ := spent(k)
		before = append(before, c)
	}
	const idle = 10 * time.Second
	time.Sleep(idle)
	for i, k := range keepers {
		c, memory := spent(k)
		t.Logf("idle, keeper %d: %.1f%% of a core, %.1f MB", i+1, 100*float64(c-before[i])/float64(idle), memory)
	}
	var announced, acting []float64
	for n := 2; n <= 41; n++ {
		wait(n)
		at := time.Now()
		propose(n)
		announced = append(announced, float64(time.Since(at).Microseconds())/1000)
		select {
		case <-all:
		case <-time.After(time.Minute):
			t.Fatalf("version %d: %d of %d act", n, there.Load(), count)
		}
		acting = append(acting, float64(time.Since(at).Microseconds())/1000)
	}
	slices.Sort(announced)
	slices.Sort(acting)
	t.Logf("from proposal to announced p50 %.1f p99 %.1f ms, to all acting on it alone p50 %.0f p99 %.0f ms", announced[len(announced)/2], announced[len(announced)-1],
		acting[len(acting)/2], acting[len(acting)-1])
	for _, f := range list {
		f.Close()
	}
}
