package scale

import (
	"bufio"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"irispost/internal/fleet/rig"
	"irispost/internal/loopback"
	"irispost/internal/scale/meter"
)

// keeper is one of the keepers, a process.
type keeper struct {
	number int
	region int
	addr   string
	dir    string
	args   []string
	cmd    *exec.Cmd // nil: it is not there
}

// ownHost is an address of loopback that is this fleet's: a port that is free there is not taken by another fleet, of this process or of
// another, while a keeper starts.
func ownHost() string {
	f := strings.Split(loopback.Own(), ".") // its second number is 64 to 127
	return fmt.Sprintf("127.%d.%s.%s", 128+fleets.Add(1)%120, f[2], f[3])
}

var fleets atomic.Int64

// openKeepers starts the keepers. Those of different regions reach each other over long links.
func (f *Fleet) openKeepers() error {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	host := ownHost()
	for i, region := range f.Size.ReplicaRegions {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return err
		}
		held = append(held, l)
		f.keepers = append(f.keepers, &keeper{number: i + 1, region: region, addr: l.Addr().String(), dir: filepath.Join(f.opt.Dir, fmt.Sprintf("keeper%d", i+1))})
	}
	for _, k := range f.keepers {
		k.args = []string{"keeper", "--number", strconv.Itoa(k.number), "--listen", k.addr, "--dir", k.dir, "--lease", f.Size.Lease.String(), "--log", "json"}
		for _, other := range f.keepers {
			addr := other.addr
			if other.region != k.region {
				l, err := f.long(addr, k.region, other.region)
				if err != nil {
					return err
				}
				addr = l.Addr()
			}
			k.args = append(k.args, "--peer", fmt.Sprintf("%d=%s", other.number, addr))
		}
	}
	for i, k := range f.keepers {
		_ = held[i].Close()
		if err := f.startKeeper(k); err != nil {
			return err
		}
	}
	return nil
}

// startKeeper starts a keeper; one that was there before finds its folder again.
func (f *Fleet) startKeeper(k *keeper) error {
	for range 40 { // its address may be taken for a moment by a connection that somebody makes
		cmd := f.opt.Program(k.args...)
		out, err := cmd.StdoutPipe()
		if err != nil {
			return err
		}
		if err := cmd.Start(); err != nil {
			return err
		}
		if line, err := bufio.NewReader(out).ReadString('\n'); err == nil && strings.Contains(line, "serves") {
			k.cmd = cmd
			return nil
		}
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("keeper %d does not start", k.number)
}

// kill ends a keeper as a crash does.
func (k *keeper) kill() {
	if k.cmd != nil {
		_ = k.cmd.Process.Kill()
		_ = k.cmd.Wait()
		k.cmd = nil
	}
}

// spent is what each keeper has used, by its place in the list; of one that is not there nothing.
func (f *Fleet) spent() (list []meter.Spent, err error) {
	for _, k := range f.keepers {
		s := meter.Spent{}
		if k.cmd != nil {
			if s, err = meter.Process(k.cmd.Process.Pid); err != nil {
				return nil, err
			}
		}
		list = append(list, s)
	}
	return list, nil
}

// leader is the keeper that leads, and another one that does not.
func (f *Fleet) leader() (leads, other *keeper, err error) {
	s, err := f.operator.Status()
	if err != nil {
		return nil, nil, err
	}
	for _, k := range f.keepers {
		if uint64(k.number) == s.Leader {
			leads = k
		} else if k.cmd != nil {
			other = k
		}
	}
	if leads == nil {
		return nil, nil, fmt.Errorf("keeper %d leads, and is none of ours", s.Leader)
	}
	return leads, other, nil
}

// long is a link between regions, or within one.
func (f *Fleet) long(to string, from, there int) (*rig.Link, error) {
	latency := time.Duration(0)
	if from != there {
		latency = f.Size.Latency
	}
	l, err := rig.NewLinkWithLatency(to, latency)
	if err != nil {
		return nil, err
	}
	f.links = append(f.links, l)
	if from != there {
		f.between = append(f.between, l)
	}
	return l, nil
}
