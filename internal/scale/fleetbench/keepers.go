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
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"irispost/internal/loopback"
	"irispost/internal/scale/meter"
)

// keeper is a keeper's process: started, killed, and started again with its folder.
type keeper struct {
	number int
	addr   string
	args   []string
	log    string // file with what it says
	cmd    *exec.Cmd
	ended  chan struct{} // its process has
	revive bool          // where it ends by itself, it is started again, as a supervisor would; that is counted and told
}

// keepers are the processes, with a relay from each to each other so that what passes between them is counted.
type keepers struct {
	program  string
	dir      string
	list     []*keeper               // by number, from 1
	relays   map[[2]int]*meter.Relay // from one number to another
	straight bool                    // no relays
	ends     int                     // how often one ended by itself and was started again
	note     func(line string)
}

// founders is how many keepers found the fleet.
const founders = 3

func startKeepers(o Options, dir string) (*keepers, error) {
	ks := &keepers{program: o.Program, dir: dir, straight: o.Straight, relays: map[[2]int]*meter.Relay{}, note: o.Note}
	if err := ks.found(); err != nil {
		ks.close()
		return nil, err
	}
	return ks, nil
}

func (ks *keepers) found() error {
	for range founders {
		if err := ks.place(); err != nil {
			return err
		}
	}
	for _, k := range ks.list {
		if err := ks.link(k); err != nil {
			return err
		}
	}
	for _, k := range ks.list {
		if err := k.start(ks.program); err != nil {
			return err
		}
	}
	return nil
}

// place makes room for the next keeper: a number, an address that is free, a folder.
func (ks *keepers) place() error {
	l, err := net.Listen("tcp", loopback.Own()+":0")
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	n := len(ks.list) + 1
	ks.list = append(ks.list, &keeper{number: n, addr: l.Addr().String(), log: filepath.Join(ks.dir, fmt.Sprintf("%d.log", n))})
	return nil
}

// link has a keeper reach all others through relays, and gives it its arguments.
func (ks *keepers) link(k *keeper) error {
	k.args = []string{"keeper", "--number", strconv.Itoa(k.number), "--listen", k.addr, "--dir", ks.folder(k.number),
		"--peer", fmt.Sprintf("%d=%s", k.number, k.addr)}
	for _, other := range ks.list {
		if other == k {
			continue
		}
		if ks.straight {
			k.args = append(k.args, "--peer", fmt.Sprintf("%d=%s", other.number, other.addr))
			continue
		}
		r, err := meter.NewRelay(loopback.Own(), other.addr)
		if err != nil {
			return err
		}
		ks.relays[[2]int{k.number, other.number}] = r
		k.args = append(k.args, "--peer", fmt.Sprintf("%d=%s", other.number, r.Addr()))
	}
	return nil
}

// join starts one more keeper, that votes once it is taken in, and tells the address at which the others are to reach it: a relay's.
func (ks *keepers) join() (k *keeper, addr string, err error) {
	if err := ks.place(); err != nil {
		return nil, "", err
	}
	k = ks.list[len(ks.list)-1]
	if err := ks.link(k); err != nil {
		return nil, "", err
	}
	back, err := meter.NewRelay(loopback.Own(), k.addr)
	if err != nil {
		return nil, "", err
	}
	ks.relays[[2]int{0, k.number}] = back // 0: whoever it is
	k.args, k.revive = append(k.args, "--join"), true
	return k, back.Addr(), k.start(ks.program)
}

func (ks *keepers) folder(number int) string { return filepath.Join(ks.dir, strconv.Itoa(number)) }

// addrs are the keepers' addresses, that of first before the others; 0: by number.
func (ks *keepers) addrs(first int) (list []string) {
	for _, k := range ks.list {
		if k.number == first {
			list = append([]string{k.addr}, list...)
		} else {
			list = append(list, k.addr)
		}
	}
	return list
}

// between is what a keeper has sent to other keepers through relays, as it asked them and as it answered them.
func (ks *keepers) between(number int) (out int64) {
	for way, r := range ks.relays {
		if way[0] == number {
			out += r.In()
		}
		if way[1] == number {
			out += r.Out()
		}
	}
	return out
}

// through is all that has passed between a keeper and others, both ways.
func (ks *keepers) through(number int) (both int64) {
	for way, r := range ks.relays {
		if way[0] == number || way[1] == number {
			both += r.Both()
		}
	}
	return both
}

func (ks *keepers) close() {
	for _, k := range ks.list {
		k.kill()
	}
	for _, r := range ks.relays {
		r.Close()
	}
}

func (k *keeper) start(program string) error {
	log, err := os.OpenFile(k.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	k.cmd = exec.Command(program, k.args...)
	k.cmd.Stderr = log
	if err := k.cmd.Start(); err != nil {
		k.cmd = nil
		return err
	}
	k.ended = make(chan struct{})
	go func() {
		_ = k.cmd.Wait() // that it has ended is what counts, not how
		close(k.ended)
	}()
	return nil
}

// kill ends the process at once; its folder stays.
func (k *keeper) kill() {
	if k.cmd != nil {
		_ = k.cmd.Process.Kill()
		<-k.ended
		k.cmd = nil
	}
}

// mostEnds is how often keepers may end by themselves and be started again.
const mostEnds = 5

// check tells of a keeper that has ended by itself, or starts it again.
func (ks *keepers) check() error {
	for _, k := range ks.list {
		if k.cmd == nil {
			continue
		}
		select {
		case <-k.ended:
			text, _ := os.ReadFile(k.log)
			lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
			err := fmt.Errorf("keeper %d has ended: %s", k.number, lines[len(lines)-1])
			if !k.revive || ks.ends >= mostEnds {
				return err
			}
			ks.ends++
			ks.note(err.Error() + "; it is started again")
			if err := k.start(ks.program); err != nil {
				return err
			}
		default:
		}
	}
	return nil
}

// spent is what each keeper that runs has used, by number from 1; zeros for others.
func (ks *keepers) spent() ([]meter.Usage, error) {
	list := make([]meter.Usage, len(ks.list))
	for i, k := range ks.list {
		if k.cmd == nil {
			continue
		}
		var err error
		if list[i], err = meter.Process(k.cmd.Process.Pid); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// state is how a keeper stands, as it believes.
type state struct {
	leads                    bool
	term, inForce, announced int
}

// state asks a keeper's metrics.
func (k *keeper) state(ctx context.Context) (s state, err error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+k.addr+"/metrics", nil)
	if err != nil {
		return s, err
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return s, err
	}
	return parseState(string(text))
}

// parseState reads what a keeper's metrics say of its log. All of it has to be there.
func parseState(text string) (s state, err error) {
	var leads int
	want := map[string]*int{"irispost_keeper_leads": &leads, "irispost_keeper_term": &s.term, `irispost_keeper_version{which="in_force"}`: &s.inForce,
		`irispost_keeper_version{which="announced"}`: &s.announced}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if to := want[name]; to != nil {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return s, fmt.Errorf("a keeper's metrics: %s", line)
			}
			*to = int(n)
			delete(want, name)
		}
	}
	if len(want) > 0 {
		return s, fmt.Errorf("a keeper's metrics lack %d of what tells how it stands", len(want))
	}
	s.leads = leads == 1
	return s, nil
}

// leader is the number of the keeper that leads with the newest term, as they believe; 0: none does.
func (ks *keepers) leader(ctx context.Context) (number int, of state) {
	for _, k := range ks.list {
		if k.cmd == nil {
			continue
		}
		if s, err := k.state(ctx); err == nil && s.leads && s.term > of.term {
			number, of = k.number, s
		}
	}
	return number, of
}

// until waits until something is so, or a keeper has ended by itself.
func (ks *keepers) until(ctx context.Context, what string, pause time.Duration, is func() bool) error {
	end := time.Now().Add(patience)
	for !is() {
		if err := ks.check(); err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %v %s", patience, what)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
	return nil
}

// patience is how long something is waited for that has to come.
const patience = 2 * time.Minute
