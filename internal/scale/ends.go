package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/fleet/rig"
)

// ends holds the end state of a case against the newest version: it is in force at all keepers, each gateway is there and acts on it alone,
// its module sends each shard's work to the node that the version names, and begins a job of these shards there.
func (f *Fleet) ends(shards ...int) (broken []string) {
	broken = append(broken, f.await(f.newest, nobody)...)
	broken = append(broken, f.poll(func() (wrong []string) {
		states := map[string]string{"as wanted": fmt.Sprintf("%d in force, %d announced", f.newest, f.newest)}
		for _, k := range f.keepers {
			states[fmt.Sprint("keeper ", k.number)] = k.state()
		}
		return differing(states)
	})...)
	want := make([]string, f.Size.Nodes)
	for addr, n := range f.rules.Nodes {
		want[n.Shard] = addr
	}
	if len(broken) > 0 { // what follows would wait for who does not serve
		return broken
	}
	wrong := make([]string, len(f.Gateways))
	each(f.Gateways, func(i int, h *Hollow) {
		_, serves := h.seen()
		for shard, addr := range want {
			if serves[shard] != addr {
				wrong[i] = fmt.Sprintf("%s sends to %q for shard %d, and not to %s", h.Name, serves[shard], shard, addr)
				return
			}
		}
		for _, shard := range shards {
			if to := h.probe(shard); to != want[shard] {
				wrong[i] = fmt.Sprintf("%s began a job of shard %d at %q, and not at %s", h.Name, shard, to, want[shard])
				return
			}
		}
	})
	for _, text := range wrong {
		if text != "" {
			broken = append(broken, text)
		}
	}
	return broken
}

// state is what a keeper's log has, as it tells by itself.
func (k *keeper) state() string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+k.addr+"/metrics", nil)
	if err != nil {
		return err.Error()
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err.Error()
	}
	value := map[string]string{}
	for line := range strings.Lines(string(b)) {
		if name, rest, found := strings.Cut(line, " "); found {
			value[name] = strings.TrimSpace(rest)
		}
	}
	return fmt.Sprintf("%s in force, %s announced", value[`irispost_keeper_version{which="in_force"}`], value[`irispost_keeper_version{which="announced"}`])
}

// audit holds what all gateways acted on since the last audit against each other, by their own records.
func (f *Fleet) audit() (rig.Agreement, error) {
	records := map[string][]rig.Activation{}
	for _, h := range f.Gateways {
		h.lock.Lock()
		var err error
		if h.there {
			err = h.readActs()
		}
		if n := len(h.acts); n > 0 {
			records[h.Name], h.acts = h.acts, []rig.Activation{h.acts[n-1]}
		}
		h.lock.Unlock()
		if err != nil {
			return rig.Agreement{}, err
		}
	}
	versions := f.versions
	f.versions = f.versions[len(f.versions)-1:]
	return rig.AuditSweep(records, versions, replica.ConvergenceBound(lease.Settings{LeaseDuration: int64(f.Size.Lease), MaxClockDrift: 0.01}), monotonic())
}
