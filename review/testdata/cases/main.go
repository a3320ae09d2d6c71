// Command cases plays the cases of the review. It starts the project's programs as separate processes, and the
// stand-ins that a case needs, on loopback addresses. It exits with 1 if the rule of the case was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxRunTime is the longest that a case may run.
const maxRunTime = 110 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*bench) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*bench) (bool, error), recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "irispost-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	b := &bench{dir: dir, record: bufio.NewWriter(record), startedAt: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	defer b.endAll()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(b)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	result := outcome{err: errors.New("the case took too long")}
	select {
	case result = <-done:
	case <-time.After(maxRunTime):
	case s := <-signals:
		result.err = fmt.Errorf("ended by %v", s)
	}
	code := exitHeld
	switch {
	case result.err != nil:
		b.logf("NOT RUN: %v", result.err)
		code = exitNotRun
	case result.broken:
		b.logf("BROKEN")
		code = exitBroken
	default:
		b.logf("HELD")
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.record.Flush()
	return code
}

// bench holds the processes and the record of a case.
type bench struct {
	dir       string
	startedAt time.Time
	trouble   bool

	lock      sync.Mutex // guards the fields below
	record    *bufio.Writer
	processes []*process
}

// logf adds a line to the record, with the milliseconds since the start.
func (b *bench) logf(format string, args ...any) {
	b.lock.Lock()
	defer b.lock.Unlock()
	line := fmt.Sprintf("%9.3f %s\n", time.Since(b.startedAt).Seconds(), fmt.Sprintf(format, args...))
	_, _ = b.record.WriteString(line)
	if !strings.HasPrefix(format, "  ") {
		_, _ = os.Stdout.WriteString(line)
	}
}

// process is a program of the project that the case has started.
type process struct {
	command *exec.Cmd
	name    string
	ended   chan struct{}
	log     string
}

// start starts a program of the project from bin/.
func (b *bench) start(name string, env []string, args ...string) (*process, error) {
	return b.startProcess(name, nil, env, args)
}

// startWithInput is start with a file as standard input.
func (b *bench) startWithInput(name string, in *os.File, args ...string) (*process, error) {
	return b.startProcess(name, in, nil, args)
}

func (b *bench) startProcess(name string, in *os.File, env, args []string) (*process, error) {
	path, err := filepath.Abs("bin/irispost")
	if err != nil {
		return nil, err
	}
	logPath := filepath.Join(b.dir, name+".log")
	out, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	command := exec.Command(path, args...)
	command.Dir = b.dir
	command.Env = append(os.Environ(), env...)
	command.Stdout, command.Stderr = out, out
	if in != nil {
		command.Stdin = in
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{command: command, name: name, ended: make(chan struct{}), log: logPath}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	b.lock.Lock()
	b.processes = append(b.processes, p)
	b.lock.Unlock()
	b.logf("started %s as process %d: irispost %s", name, command.Process.Pid, strings.Join(args, " "))
	return p, nil
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill ends a process at once and waits until it has ended.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

func (b *bench) endAll() {
	b.lock.Lock()
	processes := b.processes
	b.lock.Unlock()
	for _, p := range processes {
		p.kill()
	}
}

// appendLog copies the end of a process's log into the record.
func (b *bench) appendLog(p *process, most int) {
	src, err := os.ReadFile(p.log)
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(src)), "\n")
	if len(lines) > most {
		lines = lines[len(lines)-most:]
	}
	for _, line := range lines {
		b.logf("  %s says: %s", p.name, line)
	}
}

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// waitListening waits until a process accepts connections at an address.
func waitListening(p *process, addr string) error {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if !p.running() {
			return fmt.Errorf("%s has ended", p.name)
		}
		if conn, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			_ = conn.Close()
			return nil
		}
	}
	return fmt.Errorf("%s does not listen at %s", p.name, addr)
}

func writeFile(path, text string) error { return os.WriteFile(path, []byte(text), 0o644) }
