package client

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// operation is a read or a proposal by an operator, with its outcome.
type operation struct {
	isRead       bool
	parent       uint64
	digest       string
	outcomeKnown bool
	rejected     bool
	number       uint64
}

// latestVersion is the state of the log model: the latest version.
type latestVersion struct {
	number uint64
	digest string
}

// logModel is a sequential model of the log: a proposal is accepted if its parent is the latest version, and a read
// returns the latest version.
var logModel = (&porcupine.NondeterministicModel{
	Init:  func() []any { return []any{latestVersion{}} },
	Step:  func(state, _, output any) []any { return stepLog(state.(latestVersion), output.(operation)) },
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// stepLog returns the states that the log may be in after an operation. There is none if the operation cannot have
// had this outcome.
func stepLog(state latestVersion, op operation) []any {
	next := latestVersion{op.parent + 1, op.digest}
	switch {
	case op.isRead && state == latestVersion{op.number, op.digest}:
		return []any{state}
	case op.isRead:
		return nil
	case !op.outcomeKnown && op.parent == state.number:
		return []any{state, next}
	case !op.outcomeKnown, op.rejected && op.parent != state.number:
		return []any{state}
	case !op.rejected && op.parent == state.number && op.number == next.number:
		return []any{next}
	}
	return nil
}

// TestLogModelRejectsImpossibleHistories checks that the model rejects a history in which two proposals with the
// same parent are both accepted, and one in which an accepted version disappears.
func TestLogModelRejectsImpossibleHistories(t *testing.T) {
	at := func(from, to int64, op operation) porcupine.Operation {
		return porcupine.Operation{ClientId: int(from), Input: op, Output: op, Call: from, Return: to}
	}
	first, second := operation{outcomeKnown: true, digest: "a", number: 1}, operation{outcomeKnown: true, digest: "b", number: 1}
	rejected, unknown := operation{outcomeKnown: true, rejected: true}, operation{digest: "a"}
	read := func(n uint64, digest string) operation { return operation{isRead: true, number: n, digest: digest} }
	type history = []porcupine.Operation
	for name, c := range map[string]struct {
		history  history
		possible bool
	}{
		"one accepted, one rejected": {history{at(1, 5, first), at(2, 4, rejected)}, true},
		"both accepted":              {history{at(1, 5, first), at(2, 4, second)}, false},
		"accepted and gone":          {history{at(1, 5, first), at(6, 7, read(0, ""))}, false},
		"accepted and there":         {history{at(1, 5, first), at(6, 7, read(1, "a"))}, true},
		"unknown, and there later":   {history{at(1, 100, unknown), at(6, 7, read(0, "")), at(8, 9, read(1, "a"))}, true},
		"unknown, there and gone":    {history{at(1, 100, unknown), at(6, 7, read(1, "a")), at(8, 9, read(0, ""))}, false},
	} {
		if porcupine.CheckOperations(logModel, c.history) != c.possible {
			t.Errorf("%s: the model does not report possible = %v", name, c.possible)
		}
	}
}

// operators are concurrent operators that read and propose until they are stopped, and record the history.
type operators struct {
	addrs    []string
	start    time.Time
	stop     chan struct{}
	accepted atomic.Int64 // number of proposals that were accepted

	mutex   sync.Mutex // guards history
	history []porcupine.Operation

	goroutines sync.WaitGroup
}

func startOperators(count int, addrs []string) *operators {
	o := &operators{addrs: addrs, start: time.Now(), stop: make(chan struct{})}
	for operator := range count {
		o.goroutines.Go(func() { o.run(operator) })
	}
	return o
}

// stopAndWait stops the operators and returns the history.
func (o *operators) stopAndWait() []porcupine.Operation {
	close(o.stop)
	o.goroutines.Wait()
	return o.history
}

func (o *operators) run(operator int) {
	for n := 0; ; n++ {
		select {
		case <-o.stop:
			return
		default:
		}
		o.readAndPropose(operator, n)
	}
}

// readAndPropose reads the latest version and proposes a successor to it.
func (o *operators) readAndPropose(operator, n int) {
	replicas := &replica.Client{Replicas: o.addrs, Timeout: 2 * time.Second}
	called := time.Since(o.start)
	status, err := replicas.Status()
	if err != nil {
		return
	}
	read := operation{isRead: true, number: status.Announced}
	if status.Latest != nil {
		read.digest = status.Latest.Digest
	}
	o.record(operator, called, read)

	content := numberedContent(10*n + operator)
	proposal := &lease.Proposal{ID: fmt.Sprint(operator, " ", n), Parent: status.Announced, ReplacePending: true}
	proposal.Content = content
	called = time.Since(o.start)
	version, err := replicas.Propose(proposal)
	proposed := operation{parent: status.Announced, digest: configversion.DigestOf(content), outcomeKnown: err == nil}
	var rejected *replica.RejectedError
	if errors.As(err, &rejected) {
		proposed.outcomeKnown, proposed.rejected = true, true
	}
	if err == nil {
		proposed.number = version.Number
		o.accepted.Add(1)
	}
	o.record(operator, called, proposed)
}

func (o *operators) record(operator int, called time.Duration, op operation) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	entry := porcupine.Operation{ClientId: operator, Input: op, Output: op, Call: int64(called)}
	entry.Return = int64(time.Since(o.start))
	if !op.outcomeKnown && !op.isRead { // the proposal may take effect at any later time
		entry.ClientId = 100 + len(o.history)
		entry.Return = int64(time.Hour)
	}
	o.history = append(o.history, entry)
}

// TestReplicasKilledAtRandomPointsAgreeOnOneLog kills replica processes at random times while operators race, and
// checks that the operators' history is linearizable with respect to a single log. IRISPOST_MEASURE=1 makes it kill
// 100 times.
func TestReplicasKilledAtRandomPointsAgreeOnOneLog(t *testing.T) {
	kills := 6
	if os.Getenv("IRISPOST_MEASURE") == "1" {
		kills = 100
	}
	addrs, processes := startReplicaProcesses(t)
	random := rand.New(rand.NewPCG(7, uint64(kills)))
	restart := func(i int) {
		t.Helper()
		processes[i] = restartProcess(t, processes[i])
	}
	racingOperators := startOperators(3, addrs)
	for n := range kills {
		for before := racingOperators.accepted.Load(); racingOperators.accepted.Load() < before+2; {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Duration(random.IntN(20_000)) * time.Microsecond)
		i := random.IntN(3)
		killProcess(processes[i])
		if n%3 == 2 { // kill all three at once
			others := []int{(i + 1) % 3, (i + 2) % 3}
			for _, other := range others {
				killProcess(processes[other])
			}
			for _, other := range others {
				restart(other)
			}
		}
		restart(i)
	}
	history := racingOperators.stopAndWait()
	result, _ := porcupine.CheckOperationsVerbose(logModel, history, time.Minute)
	if result != porcupine.Ok {
		t.Errorf("linearizability of a history of %d operations: got %v, want Ok", len(history), result)
	}
	t.Logf("%d kills, %d accepted proposals, %d operations: %v", kills, racingOperators.accepted.Load(), len(history), result)
}

// restartProcess starts the command of an ended process again. extraEnv overrides its environment.
func restartProcess(t *testing.T, ended *exec.Cmd, extraEnv ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(ended.Path)
	cmd.Env = append(ended.Env, extraEnv...)
	startProcess(t, cmd)
	return cmd
}

// TestReplicaWithAFullDiskEndsAndRecovers checks that a replica whose disk is full exits with the reason, before it
// acknowledges anything that it could not write. The others go on, and once restarted with free space the replica
// has every version that was acknowledged.
func TestReplicaWithAFullDiskEndsAndRecovers(t *testing.T) {
	addrs, processes := startReplicaProcesses(t, diskLimitEnv+"=200000")
	replicas := &replica.Client{Replicas: addrs, Timeout: 30 * time.Second}
	limited := processes[0]
	ended := make(chan struct{})
	go func() {
		_ = limited.Wait() // the exit code is checked below
		close(ended)
	}()
	var digests []string
	propose := func() {
		t.Helper()
		n := len(digests)
		proposal := &lease.Proposal{ID: fmt.Sprint(n), Parent: uint64(n), ReplacePending: true}
		proposal.Content = numberedContent(n + 1)
		version, err := replicas.Propose(proposal)
		if err != nil {
			t.Fatal(err)
		}
		digests = append(digests, version.Digest)
	}
	for full := false; !full; {
		propose()
		select {
		case <-ended:
			full = true
		default:
		}
		if len(digests) > 2000 {
			t.Fatal("over 2000 proposals did not fill the disk")
		}
	}
	output, exitCode := fmt.Sprint(limited.Stdout), limited.ProcessState.ExitCode()
	if exitCode != failedReplicaExitCode || !strings.Contains(output, "nothing is promised by it") {
		t.Errorf("the replica with the full disk exited with code %d, want failedReplicaExitCode and the reason: %s", exitCode, output)
	}
	for range 5 { // the two remaining replicas still accept proposals
		propose()
	}
	restartProcess(t, limited, diskLimitEnv+"=")
	killProcess(processes[1]) // so that the restarted replica is needed for a majority
	propose()
	versions, err := replicas.Versions(1)
	if err != nil || len(versions) != len(digests) {
		t.Fatalf("got %d versions, want %d: %v", len(versions), len(digests), err)
	}
	for i, version := range versions {
		if version.Digest != digests[i] {
			t.Errorf("version %d has another digest than was acknowledged", version.Number)
		}
	}
}
