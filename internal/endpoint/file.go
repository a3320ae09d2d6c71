package endpoint

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fsnotify/fsnotify"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// fileForm is a list in our own form.
type fileForm struct {
	Version string     `hcl:"version,optional"`
	Nodes   []nodeForm `hcl:"node,block"`
}

type nodeForm struct {
	Addr     string    `hcl:"addr,label"`
	Name     string    `hcl:"name,optional"`
	Shard    int       `hcl:"shard"`
	Zone     string    `hcl:"zone,optional"`
	Weight   float64   `hcl:"weight,optional"`
	Born     string    `hcl:"born,optional"`
	Standing string    `hcl:"standing,optional"`
	Priority int       `hcl:"priority,optional"`
	Range    hcl.Range `hcl:",def_range"`
}

// ParseList reads a list in our own form. What it refuses it names with file, line and column.
func ParseList(file string, src []byte) (List, error) {
	f, diags := hclparse.NewParser().ParseHCL(src, file)
	if diags.HasErrors() {
		return List{}, diags
	}
	list, err := DecodeList(f.Body)
	if err == nil && list.Version == "" {
		list.Version = strconv.FormatUint(xxhash.Sum64(src), 16)
	}
	return list, err
}

// DecodeList reads a list from a body that was parsed already, such as what another file has beside its own blocks.
func DecodeList(body hcl.Body) (List, error) {
	var form fileForm
	if diags := gohcl.DecodeBody(body, nil, &form); diags.HasErrors() {
		return List{}, diags
	}
	list := List{Version: form.Version}
	seen := map[string]hcl.Range{}
	refuse := func(n nodeForm, format string, args ...any) (List, error) {
		return List{}, fmt.Errorf("%s: node %q: %s", n.Range, n.Addr, fmt.Sprintf(format, args...))
	}
	for _, n := range form.Nodes {
		if at, twice := seen[n.Addr]; twice {
			return refuse(n, "is listed already at %s", at)
		}
		seen[n.Addr] = n.Range
		if n.Shard < 0 {
			return refuse(n, "shard %d: shards are counted from 0", n.Shard)
		}
		if n.Priority < 0 {
			return refuse(n, "priority %d: priorities are counted from 0, the first", n.Priority)
		}
		out := Node{Addr: n.Addr, Name: n.Name, Zone: n.Zone, Shard: n.Shard, Weight: n.Weight, Priority: n.Priority}
		switch n.Standing {
		case "", "ready":
		case "draining":
			out.Health = Draining
		case "gone":
			out.Health = Removed
		case "unwell":
			out.Health = Unhealthy
		default:
			return refuse(n, "standing %q: it is \"ready\", \"draining\", \"unwell\" or \"gone\"", n.Standing)
		}
		if n.Born != "" {
			at, err := time.Parse(time.RFC3339Nano, n.Born)
			if err != nil {
				return refuse(n, "born %q: a time such as 2026-01-02T15:04:05Z is expected", n.Born)
			}
			out.StartedAt = at.UnixNano()
		}
		list.Nodes = append(list.Nodes, out)
	}
	return list, nil
}

// FileSource is a list that is read from a file, and read anew when that changes.
type FileSource struct{ Path string }

// Run reads the file and watches its folder, so that a file put in place of the old one is noticed as well.
func (f FileSource) Run(ctx context.Context, to Subscriber) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return err
	}
	defer watcher.Close()
	if err := watcher.Add(filepath.Dir(f.Path)); err != nil {
		return err
	}
	to.OnLink(true, "")
	last := ""
	read := func() {
		src, err := os.ReadFile(f.Path)
		if err != nil {
			to.OnRejected(err)
			return
		}
		sum := strconv.FormatUint(xxhash.Sum64(src), 16)
		if sum == last {
			return
		}
		last = sum
		list, err := ParseList(f.Path, src)
		if err != nil {
			to.OnRejected(err)
			return
		}
		to.OnUpdate(list)
	}
	read()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e, ok := <-watcher.Events:
			if !ok {
				return nil
			}
			if filepath.Clean(e.Name) == filepath.Clean(f.Path) {
				read()
			}
		case err, ok := <-watcher.Errors:
			if !ok {
				return nil
			}
			to.OnRejected(err) // events may have been lost
			read()
		}
	}
}

// FormatList writes a list in our own form.
func FormatList(list List) []byte {
	words := map[Health]string{Ready: "ready", Draining: "draining", Removed: "gone", Unhealthy: "unwell"}
	var out []byte
	if list.Version != "" {
		out = fmt.Appendf(out, "version = %q\n", list.Version)
	}
	for _, n := range list.Nodes {
		out = fmt.Appendf(out, "node %q {\n  shard    = %d\n  zone     = %q\n  standing = %q\n", n.Addr, n.Shard, n.Zone, words[n.Health])
		if n.Name != "" {
			out = fmt.Appendf(out, "  name     = %q\n", n.Name)
		}
		if n.Priority > 0 {
			out = fmt.Appendf(out, "  priority = %d\n", n.Priority)
		}
		if n.Weight > 0 {
			out = fmt.Appendf(out, "  weight   = %v\n", n.Weight)
		}
		if n.StartedAt > 0 {
			out = fmt.Appendf(out, "  born     = %q\n", time.Unix(0, n.StartedAt).UTC().Format(time.RFC3339Nano))
		}
		out = append(out, "}\n"...)
	}
	return out
}
