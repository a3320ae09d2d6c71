package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one of the project's programs, started by a case.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	state   *os.ProcessState

	lock   sync.Mutex
	output []string // lines of standard output and error
}

// startProcess starts a program of the project from the root of the repository. It is killed at the end of the case.
func (p *play) startProcess(name string, env []string, args ...string) (*process, error) {
	program := filepath.Join(p.root, "bin", "irispost")
	started := &process{name: name, command: exec.Command(program, args...), ended: make(chan struct{})}
	started.command.Dir = p.root
	started.command.Env = append(os.Environ(), env...)
	reader, writer := io.Pipe()
	started.command.Stdout = writer
	started.command.Stderr = writer
	if err := started.command.Start(); err != nil {
		return nil, err
	}
	p.note("started %s: bin/irispost %s", name, strings.Join(args, " "))
	go started.readOutput(reader)
	go func() {
		_ = started.command.Wait()
		started.state = started.command.ProcessState
		close(started.ended)
		_ = writer.Close()
	}()
	p.atEnd(func() {
		_ = started.command.Process.Signal(syscall.SIGCONT)
		_ = started.command.Process.Kill()
		<-started.ended
	})
	return started, nil
}

func (s *process) readOutput(reader io.Reader) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 1<<20), 1<<20)
	for scanner.Scan() {
		s.lock.Lock()
		s.output = append(s.output, scanner.Text())
		s.lock.Unlock()
	}
	_, _ = io.Copy(io.Discard, reader)
}

// lines returns the lines of output that contain a text.
func (s *process) lines(text string) (found []string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, line := range s.output {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

func (s *process) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// waitListening waits until an address accepts connections.
func waitListening(addr string, process *process) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			return conn.Close()
		}
		if process.hasEnded() {
			return fmt.Errorf("%s ended: %v", process.name, process.lines(""))
		}
	}
	return fmt.Errorf("%s does not listen at %s", process.name, addr)
}
