package fleetbench

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"irispost/internal/scale/meter"
)

// Figures are what was measured. Bytes are payload at the sockets, both ways unless the name says out; cores are parts of one core;
// MB are millions of bytes; spans are milliseconds.
type Figures struct {
	Followers int          `json:"followers"`
	Nodes     int          `json:"nodes"`
	Changes   int          `json:"changes"`
	Kinds     map[Kind]int `json:"changes_by_kind"`
	Version   int          `json:"version_bytes"` // the first version's content

	FirstStart float64 `json:"first_start_ms"` // until all act, all started at once
	Again      float64 `json:"again_ms"`       // the same, once more

	Rest            float64 `json:"rest_bytes_s"`       // a gateway, at rest
	Change          float64 `json:"change_bytes"`       // a gateway and a change, over rest: median
	ChangeMean      float64 `json:"change_bytes_mean"`  //
	ChangeWorst     float64 `json:"change_bytes_worst"` //
	Day             float64 `json:"day_bytes_s"`        // a gateway, on a day of 950 changes: rest and the mean change
	FollowerCore    float64 `json:"follower_core"`      // a follower, at rest
	FollowerCoreDay float64 `json:"follower_core_day"`  // with 950 changes a day
	FollowerMB      float64 `json:"follower_mb"`        // a follower, at the end: resident after a forced collection, less without followers
	FollowerMBAsIs  float64 `json:"follower_mb_as_is"`  // the same, before that collection

	InForce       meter.Quantiles          `json:"in_force_ms"` // from proposal until the last follower acts on it alone; no keeper down
	InForceBy     map[Kind]meter.Quantiles `json:"in_force_ms_by_kind"`
	InForceKilled *meter.Quantiles         `json:"in_force_killed_ms,omitempty"` // of changes made from the kill of the leading keeper until it is back
	Killed        int                      `json:"changes_killed,omitempty"`     // how many these are
	Announced     meter.Quantiles          `json:"announced_ms"`
	Elections     int                      `json:"elections"` // terms that passed from rest to the end

	Ends int `json:"keeper_ends"` // how often a keeper that was started again ended by itself, and was started once more

	KeeperCore       float64   `json:"keeper_core"`        // the leading one, at rest
	KeeperCoreOthers float64   `json:"keeper_core_others"` // each other, at rest: mean
	KeeperMBStart    []float64 `json:"keeper_mb_start"`    // each, by number, before the changes
	KeeperMB         []float64 `json:"keeper_mb"`          // each, at the end
	LeaderOut        float64   `json:"leader_out_bytes_change"`
	Straight         bool      `json:"straight,omitempty"` // what passes between keepers is not in LeaderOut
}

// rest is what the fleet used while nothing changed.
type rest struct {
	span      time.Duration
	gateways  []int64 // bytes of each, both ways
	leader    int     // number of the leading keeper
	leaderOut int64
	cpu       time.Duration   // of the process with the followers
	keepers   []time.Duration // of each keeper, by number from 1
}

// change is what one change used, from its proposal until a moment after all acted on it alone.
type change struct {
	kind               Kind
	killed             bool // a keeper was down, or not back yet
	announced, inForce time.Duration
	span               time.Duration
	gateways           []int64
	leader             int
	leaderOut          int64
	cpu                time.Duration
}

// fill works out the figures from what was used.
func (f *Figures) fill(r *rest, changes []change) {
	seconds := r.span.Seconds()
	n := float64(len(r.gateways))
	f.Rest = float64(sum(r.gateways)) / seconds / n
	f.FollowerCore = r.cpu.Seconds() / seconds / n
	for i, cpu := range r.keepers {
		if i+1 == r.leader {
			f.KeeperCore = cpu.Seconds() / seconds
		} else {
			f.KeeperCoreOthers += cpu.Seconds() / seconds / float64(len(r.keepers)-1)
		}
	}
	var announced, inForce, killed, bytes, out []float64
	by := map[Kind][]float64{}
	var cpu float64 // seconds a change and follower, over rest
	f.Kinds = map[Kind]int{}
	for _, c := range changes {
		f.Kinds[c.kind]++
		if c.killed {
			killed = append(killed, ms(c.inForce))
			continue
		}
		announced = append(announced, ms(c.announced))
		inForce = append(inForce, ms(c.inForce))
		by[c.kind] = append(by[c.kind], ms(c.inForce))
		part := c.span.Seconds() / seconds // as much of rest passed with it
		for i, b := range c.gateways {
			bytes = append(bytes, float64(b)-part*float64(r.gateways[i]))
		}
		if c.leader == r.leader { // of another its rest is not known
			out = append(out, float64(c.leaderOut)-part*float64(r.leaderOut))
		}
		cpu += (c.cpu.Seconds() - part*r.cpu.Seconds()) / n
	}
	f.Announced, f.InForce, f.InForceBy = meter.QuantilesOf(announced), meter.QuantilesOf(inForce), map[Kind]meter.Quantiles{}
	for kind, list := range by {
		f.InForceBy[kind] = meter.QuantilesOf(list)
	}
	if len(killed) > 0 {
		q := meter.QuantilesOf(killed)
		f.InForceKilled, f.Killed = &q, len(killed)
	}
	q := meter.QuantilesOf(bytes)
	f.Change, f.ChangeWorst, f.ChangeMean, f.LeaderOut = q.P50, q.Worst, mean(bytes), mean(out)
	const day = float64(24 * time.Hour / time.Second)
	f.Day = f.Rest + daily/day*f.ChangeMean
	f.FollowerCoreDay = f.FollowerCore + daily/day*cpu/float64(max(len(inForce), 1))
}

func sum(list []int64) (s int64) {
	for _, n := range list {
		s += n
	}
	return s
}

func mean(list []float64) (m float64) {
	for _, n := range list {
		m += n / float64(len(list))
	}
	return m
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Text tells the figures to people.
func (f *Figures) Text(w io.Writer) {
	var b strings.Builder
	fmt.Fprintf(&b, "%d followers, %d nodes in a version of %d bytes; %d changes in turn: %d by a node that is replaced, %d by a plan's limit\n", f.Followers, f.Nodes,
		f.Version, f.Changes, f.Kinds[Node], f.Kinds[Limit])
	fmt.Fprintf(&b, "first start: all of %d act on the version after %.0f ms; all start again at once: after %.0f ms\n", f.Followers, f.FirstStart, f.Again)
	fmt.Fprintf(&b, "a gateway: %.0f bytes a second at rest, %.0f a change (median; mean %.0f, worst %.0f), %.0f a second with %d changes a day\n", f.Rest, f.Change,
		f.ChangeMean, f.ChangeWorst, f.Day, daily)
	fmt.Fprintf(&b, "a follower: %.5f of a core at rest, %.5f with %d changes a day; %.2f MB (%.2f before a collection)\n", f.FollowerCore, f.FollowerCoreDay, daily,
		f.FollowerMB, f.FollowerMBAsIs)
	fmt.Fprintf(&b, "at rest: leading keeper %.3f of a core, each other %.3f\n", f.KeeperCore, f.KeeperCoreOthers)
	fmt.Fprintf(&b, "keepers' memory, MB: %s before the changes, %s after; the leading one sends %.0f bytes a change\n", amounts(f.KeeperMBStart), amounts(f.KeeperMB), f.LeaderOut)
	fmt.Fprintf(&b, "from proposal to announced: %s; to all acting on it alone: %s; elections %d\n", quantiles(f.Announced), quantiles(f.InForce), f.Elections)
	for _, kind := range []Kind{Node, Limit} {
		if q, is := f.InForceBy[kind]; is {
			fmt.Fprintf(&b, "    changes of a %s: %s\n", kind, quantiles(q))
		}
	}
	if f.InForceKilled != nil {
		fmt.Fprintf(&b, "%d changes from the kill of the leading keeper until it is back, to all acting on it alone: %s; it ended by itself %d times\n", f.Killed,
			quantiles(*f.InForceKilled), f.Ends)
	}
	_, _ = io.WriteString(w, b.String())
}

func quantiles(q meter.Quantiles) string {
	return fmt.Sprintf("median %.1f ms, p99 %.1f, worst %.1f", q.P50, q.P99, q.Worst)
}

func amounts(list []float64) string {
	var parts []string
	for _, n := range list {
		parts = append(parts, fmt.Sprintf("%.1f", n))
	}
	return strings.Join(parts, ", ")
}

// JSON is figures as a file has them.
func JSON(figures any) ([]byte, error) {
	b, err := json.MarshalIndent(figures, "", "  ")
	return append(b, '\n'), err
}
