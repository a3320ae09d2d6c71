package bench

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"irispost/internal/config"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

const conf = `
gateway "bench" {
  listen = "127.0.0.1:0"
  nodes  = "nodes.hcl"
  shards = 1
  extent = "1MiB"
  limits {
    outstanding = 512
  }
}
plan "basic" {
  rate = 1000000
}
product "read" {
  goal     = "1s"
  patience = "5s"
}
product "write" {
  goal     = "1s"
  patience = "5s"
  in_turn  = true
}
product "change" {
  kind     = "referenced"
  group    = "shard"
  window   = "30s"
  goal     = "1s"
  patience = "5s"
}
volume "v" {
  id   = 1
  plan = "basic"
  product "read" {
    for = ["read", "look"]
  }
  product "write" {
    for = ["write"]
  }
  product "change" {
    for = ["change"]
  }
}
`

// process is a gateway in a process of its own, with a client.
type process struct {
	cmd  *exec.Cmd
	side *side
}

func start(dir, name, conf, program, profile string) (*process, error) {
	file := filepath.Join(dir, name+".hcl")
	if err := os.WriteFile(file, []byte(conf), 0o644); err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(program, "serve", "--config", file, "--cpu-profile", profile)}
	pipe, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(pipe).ReadString('\n')
	if err != nil {
		p.stop()
		return nil, fmt.Errorf("the gateway does not start: %w", err)
	}
	p.side, err = open(strings.TrimSpace(line[strings.LastIndexByte(strings.TrimSpace(line), ' ')+1:]), "/v/"+name)
	if err != nil {
		p.stop()
	}
	return p, err
}

func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Wait() // it reports the signal
}

// keepers are three of them in processes of their own, that hold the bench's settings and its node as their first version.
type keepers struct {
	addrs []string
	list  []*exec.Cmd
}

func startKeepers(program, dir, node string) (*keepers, error) {
	k := &keepers{}
	var args []string
	var held []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		held, k.addrs = append(held, l), append(k.addrs, l.Addr().String())
		args = append(args, "--peer", fmt.Sprintf("%d=%s", i+1, l.Addr()))
	}
	for i, addr := range k.addrs {
		_ = held[i].Close()
		number := strconv.Itoa(i + 1)
		cmd := exec.Command(program, append([]string{"keeper", "--number", number, "--listen", addr, "--dir", filepath.Join(dir, "keeper"+number)}, args...)...)
		if err := cmd.Start(); err != nil {
			k.stop()
			return nil, err
		}
		k.list = append(k.list, cmd)
	}
	c, err := config.Parse("bench.hcl", []byte(conf))
	if err != nil {
		k.stop()
		return nil, err
	}
	r := &configversion.Config{RequiredFormat: configversion.Format, Shards: 1, MeanRequestUnits: 1}
	r.SetFromSettings(c.Settings)
	r.Nodes[node] = configversion.Node{}
	client := &replica.Client{Replicas: k.addrs, Timeout: 20 * time.Second}
	if _, err := client.Propose(&lease.Proposal{ID: "bench", Reason: "what is measured", Content: r.Canonical()}); err != nil {
		k.stop()
		return nil, err
	}
	return k, nil
}

func (k *keepers) stop() {
	for _, cmd := range k.list {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// follow is the gateway's configuration with these keepers in place of its list.
func (k *keepers) follow(conf string) string {
	return strings.Replace(conf, `  nodes  = "nodes.hcl"`+"\n", "", 1) + fmt.Sprintf("follow {\n  keepers = [\"%s\"]\n}\n", strings.Join(k.addrs, `", "`))
}
