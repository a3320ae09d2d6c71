package fleetbench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

const metricsTimeout = 5 * time.Second

// replicaProcess is the process of a replica. It can be killed and restarted with the same directory.
type replicaProcess struct {
	number        int
	addr          string
	reservation   net.Listener // reserves the address until the first start; then nil
	args          []string
	logFile       string
	command       *exec.Cmd     // nil: not running
	exited        chan struct{} // closed once the process has exited
	restartOnExit bool          // checkExits restarts it after an unexpected exit, as a supervisor would
}

// UnexpectedExitError is returned when a replica exits without being killed during a measurement.
type UnexpectedExitError struct {
	Number  int    // of the replica
	LastLog string // the last line of its log
}

// Error returns the replica's number and the last line of its log.
func (e *UnexpectedExitError) Error() string {
	return fmt.Sprintf("replica %d exited: %s", e.Number, e.LastLog)
}

// start starts the process. Its standard error is appended to the log file.
func (r *replicaProcess) start(program string) error {
	log, err := os.OpenFile(r.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	r.releaseAddr()
	command := exec.Command(program, r.args...)
	command.Stderr = log
	if err := command.Start(); err != nil {
		r.command = nil
		return err
	}
	r.command = command
	exited := make(chan struct{})
	r.exited = exited
	go func() {
		_ = command.Wait() // the exit status is not used
		close(exited)
	}()
	return nil
}

// releaseAddr closes the listener that reserves the address.
func (r *replicaProcess) releaseAddr() {
	if r.reservation != nil {
		_ = r.reservation.Close()
		r.reservation = nil
	}
}

// kill kills the process and waits until it has exited. The directory remains.
func (r *replicaProcess) kill() {
	r.releaseAddr()
	if r.command != nil {
		_ = r.command.Process.Kill() // it may have exited already
		<-r.exited
		r.command = nil
	}
}

// hasExited reports whether the process has exited without being killed.
func (r *replicaProcess) hasExited() bool {
	if r.command == nil {
		return false
	}
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// exitError returns an UnexpectedExitError for a process that has exited.
func (r *replicaProcess) exitError() error {
	text, _ := os.ReadFile(r.logFile) // on an error, LastLog is empty
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return &UnexpectedExitError{Number: r.number, LastLog: string(lines[len(lines)-1])}
}

// replicaState is the state of the replicated log as a replica sees it.
type replicaState struct {
	leader    bool
	term      int
	inForce   int // number of the version in force
	announced int // number of the announced version
}

// state fetches the replica's metrics and returns its state.
func (r *replicaProcess) state(ctx context.Context) (state replicaState, err error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.addr+"/metrics", nil)
	if err != nil {
		return state, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return state, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return state, err
	}
	return parseState(string(text))
}

// parseState parses a replica's metrics. A missing value is an error.
func parseState(text string) (state replicaState, err error) {
	var leads int
	missing := map[string]*int{
		"irispost_keeper_leads":                      &leads,
		"irispost_keeper_term":                       &state.term,
		`irispost_keeper_version{which="in_force"}`:  &state.inForce,
		`irispost_keeper_version{which="announced"}`: &state.announced,
	}
	for line := range strings.Lines(text) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		target := missing[name]
		if target == nil {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return state, fmt.Errorf("invalid value in a replica's metrics: %s", line)
		}
		*target = int(value)
		delete(missing, name)
	}
	if len(missing) > 0 {
		return state, fmt.Errorf("%d required values are missing from a replica's metrics", len(missing))
	}
	state.leader = leads == 1
	return state, nil
}
