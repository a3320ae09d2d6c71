package configversion

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff lists what has changed from a to b, one line for each member, by its path in the canonical form.
func Diff(a, b *Config) []string {
	var lines []string
	appendDiff(&lines, "", a.tree(), b.tree())
	return lines
}

// tree returns the canonical form as plain maps.
func (c *Config) tree() map[string]any {
	var tree map[string]any
	if err := json.Unmarshal(c.Canonical(), &tree); err != nil {
		panic("decode a canonical configuration: " + err.Error()) // it was encoded here
	}
	return tree
}

// appendDiff compares two members at a path, and what is within them if both are objects.
func appendDiff(lines *[]string, path string, a, b any) {
	objectA, isObjectA := a.(map[string]any)
	objectB, isObjectB := b.(map[string]any)
	if !isObjectA || !isObjectB {
		before, after := memberText(a), memberText(b)
		if before != after {
			*lines = append(*lines, fmt.Sprintf("%s: %s -> %s", strings.TrimPrefix(path, "."), before, after))
		}
		return
	}
	names := slices.Collect(maps.Keys(objectA))
	names = slices.AppendSeq(names, maps.Keys(objectB))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		appendDiff(lines, path+"."+name, objectA[name], objectB[name])
	}
}

// memberText writes a member as JSON, or "none" if there is none.
func memberText(member any) string {
	if member == nil {
		return "none"
	}
	b, err := json.Marshal(member)
	if err != nil {
		panic("encode a member of a configuration: " + err.Error()) // it was decoded from JSON
	}
	return string(b)
}
