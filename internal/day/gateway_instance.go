package day

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"time"

	"irispost/internal/config"
	"irispost/internal/serve"
)

// The start of a process is retried, as a connection of another process may hold its port for a moment.
const (
	startAttempts = 40
	startDelay    = 50 * time.Millisecond
)

// Lines of the configuration that a scenario replaces.
var (
	nodesLine  = regexp.MustCompile(`(?m)^  nodes +=.*$`)
	shardsLine = regexp.MustCompile(`(?m)^  shards +=.*$`)
)

// gatewayInstance is a gateway of the script, in this process or as a separate process.
type gatewayInstance struct {
	name       string
	configFile string

	lock        sync.Mutex // guards what follows
	address     string     // of the SFTP front end
	diskAddress string     // of the iSCSI target; empty if there is none
	inProcess   *serve.Gateway
	process     *exec.Cmd
}

// gatewayConfig returns the script's configuration with the changes for this gateway: its name, the scenario's
// endpoint source, and addresses with free ports.
func (t *testbed) gatewayConfig(instance *gatewayInstance) (string, error) {
	header := fmt.Sprintf("gateway %q", instance.name)
	head, rest, found := strings.Cut(t.configText, `gateway "`+t.config.Name+`"`)
	if !found {
		return "", fmt.Errorf("%s: the gateway block must start with: gateway %q {", t.script.Config, t.config.Name)
	}
	text := head + header + rest
	text = strings.Replace(text, quoted(t.config.Sources[0].File), quoted(t.listFile()), 1)
	if t.managementServer != nil {
		source := fmt.Sprintf("\nsource \"xds\" \"plane\" {\n  address = %q\n  form = %q\n}\n",
			t.managementServer.Addr(), t.options.EndpointSource)
		text = nodesLine.ReplaceAllString(text, "") + source
	}
	if t.replicas != nil {
		text = nodesLine.ReplaceAllString(text, "") + t.replicas.followBlock(instance)
	}
	if t.script.Shards > 0 {
		text = shardsLine.ReplaceAllString(text, fmt.Sprintf("  shards = %d", t.script.Shards))
	}
	text = strings.Replace(text, quoted(t.config.Listen), quoted(anyLoopbackPort), 1)
	if t.options.Capture != "" {
		body := strings.Index(text, header)
		body += strings.IndexByte(text[body:], '{') + 1
		capture := fmt.Sprintf("\n  capture {\n    folder = %q\n  }\n", t.options.Capture)
		text = text[:body] + capture + text[body:]
	}
	return text + t.script.diskBlock(), nil
}

func quoted(text string) string { return fmt.Sprintf("%q", text) }

// startGateway starts a gateway, in this process or as a separate process.
func (t *testbed) startGateway(instance *gatewayInstance) error {
	text, err := t.gatewayConfig(instance)
	if err != nil {
		return err
	}
	if err := os.WriteFile(instance.configFile, []byte(text), 0o644); err != nil {
		return err
	}
	if t.options.Program == "" {
		return t.startGatewayInProcess(instance)
	}
	attempts := 1
	if t.script.Fleet.Peers { // the port for its peers is fixed, and another process may hold it for a moment
		attempts = startAttempts
	}
	for range attempts {
		if err = t.startGatewayProcess(instance); err == nil {
			return nil
		}
		time.Sleep(startDelay)
	}
	return err
}

func (t *testbed) startGatewayInProcess(instance *gatewayInstance) error {
	parsed, err := config.Load(instance.configFile)
	if err != nil {
		return err
	}
	started, err := serve.Start(parsed, t.dir, slog.New(slog.NewTextHandler(t.options.GatewayLog, nil)))
	if err != nil {
		return err
	}
	instance.lock.Lock()
	defer instance.lock.Unlock()
	instance.inProcess = started
	instance.address = started.Frontend.Addr()
	if started.ISCSI != nil {
		instance.diskAddress = started.ISCSI.Addr()
	}
	return nil
}

// startGatewayProcess starts a gateway as a separate process and waits until it has printed its addresses. Each
// address is the last word of a line.
func (t *testbed) startGatewayProcess(instance *gatewayInstance) error {
	command := exec.Command(t.options.Program, "serve", "--config", instance.configFile)
	command.Stderr = t.options.GatewayLog
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	lines := bufio.NewReader(output)
	address, err := lastWordOfLine(lines)
	diskAddress := ""
	if t.script.diskBlock() != "" {
		var diskErr error
		diskAddress, diskErr = lastWordOfLine(lines)
		err = errors.Join(err, diskErr)
	}
	if err != nil {
		kill(command)
		return fmt.Errorf("gateway %s did not start: %w", instance.name, err)
	}
	instance.lock.Lock()
	defer instance.lock.Unlock()
	instance.process = command
	instance.address = address
	instance.diskAddress = diskAddress
	return nil
}

func lastWordOfLine(lines *bufio.Reader) (string, error) {
	line, err := lines.ReadString('\n')
	line = strings.TrimSpace(line)
	return line[strings.LastIndexByte(line, ' ')+1:], err
}

// kill kills a process and waits for its end. The errors are ignored, as both calls fail if it has already ended.
func kill(command *exec.Cmd) {
	_ = command.Process.Kill()
	_ = command.Wait()
}

// kill ends the gateway without a shutdown, as a crash would.
func (g *gatewayInstance) kill() {
	g.lock.Lock()
	inProcess, process := g.inProcess, g.process
	g.inProcess = nil
	g.process = nil
	g.lock.Unlock()
	if inProcess != nil {
		inProcess.Kill()
	}
	if process != nil {
		kill(process)
	}
}

// frontendAddress returns the address of the SFTP front end. It changes when the gateway restarts.
func (g *gatewayInstance) frontendAddress() string {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.address
}

// targetAddress returns the address of the iSCSI target. It changes when the gateway restarts.
func (g *gatewayInstance) targetAddress() string {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.diskAddress
}
