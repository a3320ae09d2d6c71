package configversion

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff tells what has changed from a to b, one line each.
func Diff(a, b *Config) (list []string) {
	walk("", a.tree(), b.tree(), &list)
	return list
}

// tree is the rules as plain maps.
func (r *Config) tree() (t map[string]any) {
	json.Unmarshal(r.Canonical(), &t)
	return t
}

func walk(at string, a, b any, list *[]string) {
	x, isMap := a.(map[string]any)
	y, also := b.(map[string]any)
	if !isMap || !also {
		p, q := text(a), text(b)
		if p != q {
			*list = append(*list, fmt.Sprintf("%s: %s -> %s", strings.TrimPrefix(at, "."), p, q))
		}
		return
	}
	names := append(slices.Collect(maps.Keys(x)), slices.Collect(maps.Keys(y))...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		walk(at+"."+name, x[name], y[name], list)
	}
}

func text(v any) string {
	if v == nil {
		return "none"
	}
	b, _ := json.Marshal(v)
	return string(b)
}
