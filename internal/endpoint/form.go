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

// listSchema is the schema of a list file in the gateway's native format (HCL).
type listSchema struct {
	Version string       `hcl:"version,optional"`
	Nodes   []nodeSchema `hcl:"node,block"`
}

// nodeSchema is the schema of one node block.
type nodeSchema struct {
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

// EntryError reports an invalid node in a list in the native format.
type EntryError struct {
	Range  hcl.Range // position of the node in the file
	Addr   string
	Reason string
}

// Error implements error.
func (e *EntryError) Error() string { return fmt.Sprintf("%s: node %q: %s", e.Range, e.Addr, e.Reason) }

// ParseList parses a list in the native format. Errors name the file, line and column. A list without a version gets
// a hash of its content as its version.
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

// contentVersion returns a hash of a file's content as the version of a list that has none.
func contentVersion(src []byte) string { return strconv.FormatUint(xxhash.Sum64(src), 16) }

// DecodeList decodes a list from an HCL body that is already parsed, such as the remainder of a file that also has
// other blocks.
func DecodeList(body hcl.Body) (List, error) {
	var form listSchema
	if diags := gohcl.DecodeBody(body, nil, &form); diags.HasErrors() {
		return List{}, diags
	}
	list := List{Version: form.Version}
	seen := map[string]hcl.Range{}
	for _, entry := range form.Nodes {
		if at, twice := seen[entry.Addr]; twice {
			return List{}, entry.errorf("is already listed at %s", at)
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

// node validates an entry and converts it to a Node.
func (f *nodeSchema) node() (Node, error) {
	if f.Shard < 0 {
		return Node{}, f.errorf("shard %d must not be negative", f.Shard)
	}
	if f.Priority < 0 {
		return Node{}, f.errorf("priority %d must not be negative, 0 is the highest", f.Priority)
	}
	health, known := parseHealth(f.Health)
	if !known {
		return Node{}, f.errorf("standing %q: must be \"ready\", \"draining\", \"unwell\" or \"gone\"", f.Health)
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
			return Node{}, f.errorf("born %q is not an RFC 3339 time such as 2026-01-02T15:04:05Z", f.StartedAt)
		}
		node.StartedAt = at.UnixNano()
	}
	return node, nil
}

func (f *nodeSchema) errorf(format string, args ...any) error {
	return &EntryError{f.Range, f.Addr, fmt.Sprintf(format, args...)}
}

// parseHealth returns the health status with a name. The empty name, of a node without one, means Ready.
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

// FormatList formats a list in the native format. Stale and Partial are not written.
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
