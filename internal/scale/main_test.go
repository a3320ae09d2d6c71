package scale

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// TestMain runs the tests. If the test binary is started with the arguments of a replica or of a single case, it runs
// that instead.
func TestMain(m *testing.M) {
	modes := map[string]func([]string) error{"keeper": runReplica, "case": runCaseRequest}
	if len(os.Args) <= 2 || modes[os.Args[1]] == nil {
		os.Exit(m.Run())
	}
	if err := modes[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runReplica runs a replica with the arguments of `irispost keeper` until it ends.
func runReplica(args []string) error {
	options := replica.Options{
		Peers:         map[uint64]string{},
		LeaseSettings: lease.Settings{MaxClockDrift: maxClockDrift},
		Logger:        slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	flags := flag.NewFlagSet("keeper", flag.ContinueOnError)
	flags.Uint64Var(&options.ID, "number", 0, "")
	flags.StringVar(&options.Listen, "listen", "", "")
	flags.StringVar(&options.Dir, "dir", "", "")
	flags.String("log", "", "")
	leaseDuration := flags.Duration("lease", 0, "")
	flags.Func("peer", "", func(text string) error {
		number, addr, _ := strings.Cut(text, "=")
		id, err := strconv.ParseUint(number, 10, 32)
		options.Peers[id] = addr
		return err
	})
	if err := flags.Parse(args); err != nil {
		return err
	}
	options.LeaseSettings.LeaseDuration = int64(*leaseDuration)
	started, err := replica.Start(options)
	if err != nil {
		return err
	}
	fmt.Println("serves")
	<-started.Done()
	return started.Err()
}

// caseRequest describes a case to run, possibly in a separate process.
type caseRequest struct {
	Name    string
	Size    Size
	Dir     string
	Defects Defect
}

// runCaseRequest runs a case that is given as JSON and prints its result as JSON.
func runCaseRequest(args []string) error {
	var request caseRequest
	if err := json.Unmarshal([]byte(args[0]), &request); err != nil {
		return err
	}
	result, err := runCase(request, func(string, ...any) {})
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}

// runCase runs a case in this process.
func runCase(request caseRequest, progress func(string, ...any)) (*Result, error) {
	found, err := Find(request.Name)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return Run(found, request.Size, Options{
		Program:  func(args ...string) *exec.Cmd { return exec.Command(self, args...) },
		Dir:      request.Dir,
		Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		Progress: progress,
		Defects:  request.Defects,
	})
}

// fleetSlots limits how many fleets run at once. Starting more would overload a machine that is shared with others.
var fleetSlots = make(chan struct{}, 4)

// runInSlot waits for a free slot and runs a case. The case "ordinary" runs in a separate process, because it measures
// the memory of its whole process.
func runInSlot(t *testing.T, name string, size Size, defects Defect) *Result {
	t.Helper()
	fleetSlots <- struct{}{}
	defer func() { <-fleetSlots }()
	request := caseRequest{name, size, t.TempDir(), defects}
	if name != "ordinary" {
		result, err := runCase(request, t.Logf)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	return runInProcess(t, request)
}

// runInProcess runs a case in a separate process.
func runInProcess(t *testing.T, request caseRequest) *Result {
	t.Helper()
	encoded, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(self, "case", string(encoded))
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	result := &Result{}
	if err := json.Unmarshal(output, result); err != nil {
		t.Fatal(err)
	}
	return result
}
