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

// replicaProcess is a replica's process. It can be killed and started again with its folder.
type replicaProcess struct {
	number  int
	addr    string
	port    net.Listener // holds the address until the first start; nil afterwards
	args    []string
	logFile string
	command *exec.Cmd     // nil: it does not run
	exited  chan struct{} // closed once the process has exited
	restart bool          // started again if it exits by itself, as a supervisor would
}

// UnexpectedExitError is returned when a replica exits by itself during a measurement.
type UnexpectedExitError struct {
	Number  int    // of the replica
	LastLog string // the last line of its log
}

// Error names the replica and the last line of its log.
func (e *UnexpectedExitError) Error() string {
	return fmt.Sprintf("keeper %d has ended: %s", e.Number, e.LastLog)
}

// start starts the process. Its log is appended to the log file.
func (r *replicaProcess) start(program string) error {
	log, err := os.OpenFile(r.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own handle
	r.release()
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
		_ = command.Wait() // that it has exited counts, not how
		close(exited)
	}()
	return nil
}

// release gives up the reserved address.
func (r *replicaProcess) release() {
	if r.port != nil {
		_ = r.port.Close()
		r.port = nil
	}
}

// kill kills the process and waits for its end. Its folder stays.
func (r *replicaProcess) kill() {
	r.release()
	if r.command != nil {
		_ = r.command.Process.Kill() // it may have exited already
		<-r.exited
		r.command = nil
	}
}

// hasExited tells whether a process that was started and not killed has exited.
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

// exitError returns the error of a process that has exited.
func (r *replicaProcess) exitError() error {
	text, _ := os.ReadFile(r.logFile) // without it the error lacks the last line
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return &UnexpectedExitError{Number: r.number, LastLog: string(lines[len(lines)-1])}
}

// replicaState is a replica's own view of the log.
type replicaState struct {
	leader    bool
	term      int
	inForce   int // version
	announced int // version
}

// state fetches a replica's state from its metrics.
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

// parseState reads a replica's state from the text of its metrics. All values have to be there.
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
			return state, fmt.Errorf("a keeper's metrics: %s", line)
		}
		*target = int(value)
		delete(missing, name)
	}
	if len(missing) > 0 {
		return state, fmt.Errorf("a keeper's metrics lack %d of what tells how it stands", len(missing))
	}
	state.leader = leads == 1
	return state, nil
}
