package fleetbench

import (
	"fmt"
	"io"
	"strings"

	"irispost/internal/scale/meter"
)

// Text writes the figures as human-readable text. Errors of the writer are ignored.
func (f *Figures) Text(out io.Writer) {
	var b strings.Builder
	fmt.Fprintf(&b, "%d followers, %d nodes in a version of %d bytes; ", f.Followers, f.Nodes, f.VersionBytes)
	fmt.Fprintf(&b, "%d changes in turn: %d by a node that is replaced, %d by a plan's limit\n",
		f.Changes, f.Kinds[NodeReplacement], f.Kinds[LimitChange])
	fmt.Fprintf(&b, "first start: all of %d act on the version after %.0f ms; all start again at once: after %.0f ms\n",
		f.Followers, f.FirstStartMillis, f.RestartMillis)
	fmt.Fprintf(&b, "a gateway: %.0f bytes a second at rest, %.0f a change (median; mean %.0f, worst %.0f), ",
		f.IdleBytesPerSecond, f.ChangeBytes, f.ChangeBytesMean, f.ChangeBytesWorst)
	fmt.Fprintf(&b, "%.0f a second with %d changes a day\n", f.BytesPerSecondWithChanges, changesPerDay)
	fmt.Fprintf(&b, "a follower: %.5f of a core at rest, %.5f with %d changes a day; %.2f MB (%.2f before a collection)\n",
		f.FollowerCPU, f.FollowerCPUWithChanges, changesPerDay, f.FollowerMB, f.FollowerMBBeforeGC)
	fmt.Fprintf(&b, "at rest: leading keeper %.3f of a core, each other %.3f\n", f.LeaderCPU, f.OtherReplicasCPU)
	fmt.Fprintf(&b, "keepers' memory, MB: %s before the changes, %s after; the leading one sends %.0f bytes a change\n",
		formatMB(f.ReplicaMBStart), formatMB(f.ReplicaMB), f.LeaderBytesPerChange)
	fmt.Fprintf(&b, "from proposal to announced: %s; to all acting on it alone: %s; elections %d\n",
		formatQuantiles(f.Announced), formatQuantiles(f.InForce), f.Elections)
	for _, kind := range []ChangeKind{NodeReplacement, LimitChange} {
		if quantiles, ok := f.InForceByKind[kind]; ok {
			fmt.Fprintf(&b, "    changes of a %s: %s\n", kind, formatQuantiles(quantiles))
		}
	}
	if f.InForceWhileKilled != nil {
		fmt.Fprintf(&b, "%d changes from the kill of the leading keeper until it is back, to all acting on it alone: %s; ",
			f.ChangesWhileKilled, formatQuantiles(*f.InForceWhileKilled))
		fmt.Fprintf(&b, "it ended by itself %d times\n", f.UnexpectedExits)
	}
	_, _ = io.WriteString(out, b.String())
}

// Text writes the figures as human-readable text. Errors of the writer are ignored.
func (g *Growth) Text(out io.Writer) {
	var b strings.Builder
	fmt.Fprintf(&b, "%d changes in turn (%d by a node that is replaced, %d by a plan's limit) ",
		g.Changes, g.Kinds[NodeReplacement], g.Kinds[LimitChange])
	fmt.Fprintf(&b, "of %d nodes, a version of %d bytes; %d followers\n", g.Nodes, g.VersionBytes, g.Followers)
	for _, mark := range g.Marks {
		fmt.Fprintf(&b, "after %d: keepers' memory, MB: %s; folders, bytes: %v\n",
			mark.Changes, formatMB(mark.ReplicaMB), mark.FolderBytes)
	}
	fmt.Fprintf(&b, "from proposal to in force: %s\n", formatQuantiles(g.InForce))
	fmt.Fprintf(&b, "a keeper starts from its folder and has all after %.0f ms; ", g.StartMillis)
	fmt.Fprintf(&b, "one that joins has all after %.0f ms and %d bytes; ", g.JoinMillis, g.JoinBytes)
	fmt.Fprintf(&b, "they ended by themselves %d times\n", g.UnexpectedExits)
	_, _ = io.WriteString(out, b.String())
}

func formatQuantiles(q meter.Quantiles) string {
	return fmt.Sprintf("median %.1f ms, p99 %.1f, worst %.1f", q.P50, q.P99, q.Worst)
}

func formatMB(list []float64) string {
	var parts []string
	for _, mb := range list {
		parts = append(parts, fmt.Sprintf("%.1f", mb))
	}
	return strings.Join(parts, ", ")
}
