package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

// formatVersion returns a configuration version in the file format that "versions propose" reads.
func formatVersion(version *configversion.Config) []byte {
	out := fmt.Appendf(nil, "shards = %d\n\nfloor {\n  for    = %q\n  writes = true\n}\n", version.Shards,
		time.Duration(version.FallbackPolicy.Duration))
	for _, name := range slices.Sorted(maps.Keys(version.ServiceLevels)) {
		level := version.ServiceLevels[name]
		out = fmt.Appendf(out, `
plan %q {
  weight  = %v
  rate    = %v
  reserve = %v
  limit   = %v # units a second; 0: none
  burst   = %v
  slack   = %v
}
`, name, level.Weight, level.NominalRate, level.Reserve, level.RateLimit, level.Burst, level.Slack)
	}
	for _, name := range slices.Sorted(maps.Keys(version.RequestClasses)) {
		class := version.RequestClasses[name]
		idempotency, scope, found := strings.Cut(string(class.Idempotency), " ")
		if !found {
			scope = "all"
		}
		out = fmt.Appendf(out, `
product %q {
  kind     = %q
  group    = %q
  goal     = %q
  patience = %q
  window   = %q
  in_turn  = %v
}
`, name, idempotency, scope, time.Duration(class.LatencyObjective), time.Duration(class.ClientTimeout),
			time.Duration(class.DedupWindow), class.Ordered)
	}
	return append(append(out, '\n'), endpoint.FormatList(version.EndpointList(""))...)
}
