package bench

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gatewayProcess is a gateway in a process of its own, with a client's connection to it.
type gatewayProcess struct {
	command *exec.Cmd
	load    *load
}

// startGateway starts the program as a gateway with a configuration, and opens files at it.
func startGateway(dir, name, config, program, profile string) (*gatewayProcess, error) {
	file := filepath.Join(dir, name+".hcl")
	if err := os.WriteFile(file, []byte(config), 0o644); err != nil {
		return nil, err
	}
	gateway := &gatewayProcess{command: exec.Command(program, "serve", "--config", file, "--cpu-profile", profile)}
	output, err := gateway.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := gateway.command.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		gateway.stop()
		return nil, fmt.Errorf("the gateway does not start: %w", err)
	}
	if gateway.load, err = openLoad(lastWord(line), volumePrefix+name); err != nil {
		gateway.stop()
		return nil, err
	}
	return gateway, nil
}

// lastWord returns the last word of a line: the address, in the line that a gateway prints when it listens.
func lastWord(line string) string {
	line = strings.TrimSpace(line)
	return line[strings.LastIndexByte(line, ' ')+1:]
}

// measure measures a case at the gateway, with its processor time.
func (g *gatewayProcess) measure(c testCase, each time.Duration) loadResult {
	return g.load.measure(c, each, g.command.Process.Pid)
}

// stop ends the gateway by a graceful shutdown and waits for it. One that was not started has nothing to stop.
func (g *gatewayProcess) stop() {
	if g == nil {
		return
	}
	_ = g.command.Process.Signal(syscall.SIGTERM) // it may have exited already
	_ = g.command.Wait()                          // it reports the signal
}
