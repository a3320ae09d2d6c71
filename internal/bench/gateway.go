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

// gatewayProcess is a gateway in a process of its own, and a client that is connected to it.
type gatewayProcess struct {
	command *exec.Cmd
	load    *loadClient
}

// startGateway writes the configuration to a file, starts the program as a gateway with it, and connects a client.
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
		return nil, fmt.Errorf("gateway did not report its address: %w", err)
	}
	if gateway.load, err = newLoadClient(lastWord(line), volumePrefix+name); err != nil {
		gateway.stop()
		return nil, err
	}
	return gateway, nil
}

// lastWord returns the last word of a line. In the line that a gateway prints once it listens, this is the address.
func lastWord(line string) string {
	line = strings.TrimSpace(line)
	return line[strings.LastIndexByte(line, ' ')+1:]
}

// measure measures a case at the gateway, including the gateway's CPU time.
func (g *gatewayProcess) measure(c testCase, each time.Duration) loadResult {
	return g.load.measure(c, each, g.command.Process.Pid)
}

// stop shuts the gateway down gracefully and waits for the process to exit. It does nothing if g is nil.
func (g *gatewayProcess) stop() {
	if g == nil {
		return
	}
	_ = g.command.Process.Signal(syscall.SIGTERM) // it fails if the process has exited
	_ = g.command.Wait()                          // a process that a signal ended counts as an error
}
