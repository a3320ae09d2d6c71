package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"irispost/internal/endpoint/discovery"
	"irispost/internal/webstandin"
)

// Limits of a gateway process on the platform.
const (
	limitMemoryMB = 192
	limitSockets  = 1024
)

// limitedSettings are the settings of a gateway under the platform's limits: a class for each kind of idempotency,
// ordered classes, a rate limit and a retry budget.
const limitedSettings = `{"discovery":"ask",
	"contract":{"drain_grace_ms":2000,"ask_every_ms":10000,"free_resends":10,"repeat_ratio":0.1,"look_back_ms":5000,
		"key_rest_ms":100},
	"contracts":[
		{"name":"basic","proportion":1,"base_rate":400,"floor_rate":200},
		{"name":"capped","proportion":4,"base_rate":1100,"floor_rate":880,"never_over":2000,"burst":400,"cap_slack":10}],
	"domain":{"unit_mean":2,"largest":8,"tells_elsewhere":true,"metering_ms":1000},
	"lanes":[
		{"name":"read","effect":"read_like","target_ms":300,"hard_limit_ms":2500},
		{"name":"keyed","effect":"idempotency_key","target_ms":300,"hard_limit_ms":2500,"repeat_window_ms":5000,
			"group":"all","in_turn":true},
		{"name":"unsafe","effect":"non_idempotent","target_ms":300,"hard_limit_ms":2500}],
	"permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"retry_after":true,"max_retry_after_ms":1000,
		"dial_timeout_ms":250,"idle_close_ms":15000}}`

// limitedGateway is a gateway process that runs on one core with the platform's limit on file descriptors, with its
// storage nodes, one per shard. Its peak memory is checked against the platform's limit.
type limitedGateway struct {
	*webProcess
	nodes []*webstandin.Node
}

const limitedGatewayNodes = 3

// startLimitedGateway starts a gateway and waits until it is ready.
func startLimitedGateway(t testing.TB) *limitedGateway {
	t.Helper()
	g := &limitedGateway{}
	list := discovery.Response{Revision: 7, Full: true}
	for shard := range limitedGatewayNodes {
		n := webstandin.Start(t)
		g.nodes = append(g.nodes, n)
		list.Targets = append(list.Targets, discovery.Target{UID: fmt.Sprint("s", shard),
			Endpoint: n.Listener.Addr().String(), Shard: shard, State: "ready"})
	}
	g.webProcess = startLimitedProcess(t, startStaticDiscovery(t, list))
	g.waitUntilReady()
	return g
}

// startStaticDiscovery starts a discovery service whose list never changes and returns its address.
func startStaticDiscovery(t testing.TB, list discovery.Response) string {
	quit := make(chan bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("from") != "" {
			hold, _ := strconv.Atoi(r.FormValue("hold_ms"))
			select {
			case <-time.After(time.Duration(hold) * time.Millisecond):
			case <-quit:
			case <-r.Context().Done():
			}
		}
		_ = json.NewEncoder(w).Encode(list) // the gateway may have closed the connection
	}))
	t.Cleanup(func() {
		close(quit)
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func startLimitedProcess(t testing.TB, discoveryAddr string) *webProcess {
	t.Helper()
	w := newWebProcess(t)
	w.write(fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"settings":%s}`,
		w.addr, discoveryAddr, limitMemoryMB, limitSockets, limitedSettings))
	w.start(limitSockets, startOnOneCore)
	return w
}

// startOnOneCore starts a command with the affinity to a single core, which a process inherits from the thread that
// starts it.
func startOnOneCore(command *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	last := 0
	for cpu := range runtime.NumCPU() * 4 {
		if all.IsSet(cpu) {
			last = cpu
		}
	}
	one.Set(last)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	startErr := command.Start()
	return errors.Join(startErr, unix.SchedSetaffinity(0, &all))
}

// usage is what a process has used so far.
type usage struct {
	residentMB, peakMB float64
	cpu                time.Duration
	descriptors        int
}

// clockTicksPerSecond is the unit of processor times in /proc (USER_HZ).
const clockTicksPerSecond = 100

// usage reads the process's use of resources from /proc. It fails the test if the process has ended.
func (g *limitedGateway) usage() (u usage) {
	g.t.Helper()
	folder := fmt.Sprintf("/proc/%d/", g.Process.Pid)
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		g.t.Fatal("the gateway has ended: ", err)
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			u.residentMB = kilobytes / 1024
		case "VmHWM:":
			u.peakMB = kilobytes / 1024
		}
	}
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		g.t.Fatal(err)
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName) // starts with field 3 of proc(5); utime and stime are 14 and 15
	for _, text := range fields[11:13] {
		ticks, _ := strconv.ParseInt(text, 10, 64)
		u.cpu += time.Duration(ticks) * time.Second / clockTicksPerSecond
	}
	descriptors, err := os.ReadDir(folder + "fd")
	if err != nil {
		g.t.Fatal(err)
	}
	u.descriptors = len(descriptors)
	return u
}

// checkMemory fails the test if the gateway's memory has been over the platform's limit.
func (g *limitedGateway) checkMemory() {
	g.t.Helper()
	if u := g.usage(); u.peakMB > limitMemoryMB {
		g.t.Errorf("the gateway used up to %.0f MB, the limit is %d", u.peakMB, limitMemoryMB)
	}
}
