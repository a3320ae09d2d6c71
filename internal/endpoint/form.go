package endpoint

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// listForm is a list in the gateway's own form (HCL).
type listForm struct {
	Version string     `hcl:"version,optional"`
	Nodes   []nodeForm `hcl:"node,block"`
}

type nodeForm struct {
	Addr      string    `hcl:"addr,label"`
	Name      string    `hcl:"name,optional"`
	Shard     int       `hcl:"shard"`
	Zone      string    `hcl:"zone,optional"`
	Weight    float64   `hcl:"weight,optional"`
	StartedAt string    `hcl:"born,optional"` // RFC 3339
	Health    string    `hcl:"standing,optional"`
	Priority  int       `hcl:"priority,optional"`
	Range     hcl.Range `hcl:",def_range"`
}

// EntryError tells that a node of a list in our own form is not valid.
type EntryError struct {
	Range  hcl.Range // where the node stands
	Addr   string
	Reason string
}

// Error implements error.
func (e *EntryError) Error() string { return fmt.Sprintf("%s: node %q: %s", e.Range, e.Addr, e.Reason) }

// ParseList reads a list in our own form. Errors name the file, line and column. A list without a version gets one of
// its content.
func ParseList(file string, src []byte) (List, error) {
	f, diags := hclparse.NewParser().ParseHCL(src, file)
	if diags.HasErrors() {
		return List{}, diags
	}
	list, err := DecodeList(f.Body)
	if err != nil {
		return List{}, err
	}
	if list.Version == "" {
		list.Version = contentVersion(src)
	}
	return list, nil
}

// contentVersion is a version for content that names none.
func contentVersion(src []byte) string { return strconv.FormatUint(xxhash.Sum64(src), 16) }

// DecodeList reads a list from a body that is parsed already, such as the rest of a file with blocks of its own.
func DecodeList(body hcl.Body) (List, error) {
	var form listForm
	if diags := gohcl.DecodeBody(body, nil, &form); diags.HasErrors() {
		return List{}, diags
	}
	list := List{Version: form.Version}
	seen := map[string]hcl.Range{}
	for _, entry := range form.Nodes {
		if at, twice := seen[entry.Addr]; twice {
			return List{}, entry.errorf("is listed already at %s", at)
		}
		seen[entry.Addr] = entry.Range
		node, err := entry.node()
		if err != nil {
			return List{}, err
		}
		list.Nodes = append(list.Nodes, node)
	}
	return list, nil
}

// node checks and converts an entry.
func (f *nodeForm) node() (Node, error) {
	if f.Shard < 0 {
		return Node{}, f.errorf("shard %d: shards are counted from 0", f.Shard)
	}
	if f.Priority < 0 {
		return Node{}, f.errorf("priority %d: priorities are counted from 0, the first", f.Priority)
	}
	health, known := parseHealth(f.Health)
	if !known {
		return Node{}, f.errorf("standing %q: it is \"ready\", \"draining\", \"unwell\" or \"gone\"", f.Health)
	}
	node := Node{
		Addr:     f.Addr,
		Name:     f.Name,
		Zone:     f.Zone,
		Shard:    f.Shard,
		Weight:   f.Weight,
		Health:   health,
		Priority: f.Priority,
	}
	if f.StartedAt != "" {
		at, err := time.Parse(time.RFC3339Nano, f.StartedAt)
		if err != nil {
			return Node{}, f.errorf("born %q: a time such as 2026-01-02T15:04:05Z is expected", f.StartedAt)
		}
		node.StartedAt = at.UnixNano()
	}
	return node, nil
}

func (f *nodeForm) errorf(format string, args ...any) error {
	return &EntryError{f.Range, f.Addr, fmt.Sprintf(format, args...)}
}

// parseHealth reads a health word of the form; without one a node is ready.
func parseHealth(word string) (health Health, known bool) {
	if word == "" {
		return Ready, true
	}
	for health, name := range healthNames {
		if word == name {
			return Health(health), true
		}
	}
	return Ready, false
}

// FormatList writes a list in our own form.
func FormatList(list List) []byte {
	var out []byte
	if list.Version != "" {
		out = fmt.Appendf(out, "version = %q\n", list.Version)
	}
	for _, n := range list.Nodes {
		out = appendNode(out, n)
	}
	return out
}

func appendNode(out []byte, n Node) []byte {
	out = fmt.Appendf(out, "node %q {\n", n.Addr)
	out = fmt.Appendf(out, "  shard    = %d\n", n.Shard)
	out = fmt.Appendf(out, "  zone     = %q\n", n.Zone)
	out = fmt.Appendf(out, "  standing = %q\n", n.Health.String())
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
	return append(out, "}\n"...)
}
