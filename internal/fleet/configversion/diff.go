package configversion

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff lists the changes from a to b, one line for each changed member, with its path in the canonical form.
func Diff(a, b *Config) []string {
	var lines []string
	appendDiff(&lines, "", a.tree(), b.tree())
	return lines
}

// tree decodes the canonical form into nested maps.
func (c *Config) tree() map[string]any {
	var tree map[string]any
	if err := json.Unmarshal(c.Canonical(), &tree); err != nil {
		panic("decode a canonical configuration: " + err.Error()) // cannot happen: Canonical has just encoded it
	}
	return tree
}

// appendDiff appends the differences between the members a and b at a path. It descends into them if both are objects.
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

// memberText encodes a member as JSON. A missing member is "none".
func memberText(member any) string {
	if member == nil {
		return "none"
	}
	b, err := json.Marshal(member)
	if err != nil {
		panic("encode a member of a configuration: " + err.Error()) // cannot happen: it was decoded from JSON
	}
	return string(b)
}
