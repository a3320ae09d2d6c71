package fleetbench

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"irispost/internal/fleet/replica"
	"irispost/internal/scale/meter"
)

// Growth is what was measured of what changes leave behind.
type Growth struct {
	Followers int             `json:"followers"`
	Nodes     int             `json:"nodes"`
	Changes   int             `json:"changes"`
	Kinds     map[Kind]int    `json:"changes_by_kind"`
	Version   int             `json:"version_bytes"`
	Marks     []Mark          `json:"marks"`
	InForce   meter.Quantiles `json:"in_force_ms"` // from proposal until in force by the log, or until all followers act on it alone
	Start     float64         `json:"start_ms"`    // a keeper that was killed, with the folder after all changes: until it answers and has them all
	Joined    float64         `json:"join_ms"`     // a keeper with an empty folder: from being taken in until it has all that counts
	JoinBytes int64           `json:"join_bytes"`  // between it and the others meanwhile, both ways
	Ends      int             `json:"keeper_ends"` // how often one of these two ended by itself, and was started once more
}

// Mark is how keepers stand after so many changes; each list is by number.
type Mark struct {
	Changes int       `json:"changes"`
	MB      []float64 `json:"keeper_mb"`
	Folders []int64   `json:"folder_bytes"`
}

// breath is how long keepers are left alone before their memory is read.
const breath = 2 * time.Second

// Grow measures what grows with the changes made.
func Grow(ctx context.Context, o Options) (*Growth, error) {
	b, err := open(o)
	if err != nil {
		return nil, err
	}
	defer b.close()
	g := &Growth{Followers: o.Followers, Nodes: o.Nodes, Changes: o.Changes, Kinds: map[Kind]int{}, Version: len(b.course.Rules().Canonical())}
	if err := b.found(ctx); err != nil {
		return nil, err
	}
	if o.Followers > 0 {
		if _, err := b.startAll(ctx); err != nil {
			return nil, err
		}
	}
	if err := b.grow(ctx, g); err != nil {
		return nil, err
	}
	if g.Start, err = b.startAgain(ctx); err != nil {
		return nil, err
	}
	b.Note(fmt.Sprintf("a keeper has started from its folder after %.0f ms", g.Start))
	if g.Joined, g.JoinBytes, err = b.join(ctx); err != nil {
		return nil, err
	}
	g.Ends = b.keepers.ends
	return g, nil
}

// grow makes the changes, and reads at the marks.
func (b *bench) grow(ctx context.Context, g *Growth) error {
	var took []float64
	said := time.Now()
	for n := 1; n <= b.Changes; n++ {
		kind := b.course.Step()
		g.Kinds[kind]++
		p := b.proposal(string(kind))
		b.followers.expect(b.version + 1)
		at := time.Now()
		if err := b.propose(p); err != nil {
			return err
		}
		if err := b.inForce(ctx); err != nil {
			return err
		}
		took = append(took, ms(time.Since(at)))
		if slices.Contains(b.Marks, n) {
			m := Mark{Changes: n}
			if err := nap(ctx, breath); err != nil {
				return err
			}
			var err error
			if m.MB, err = b.memory(); err != nil {
				return err
			}
			for _, k := range b.keepers.list {
				size, err := meter.Folder(b.keepers.folder(k.number))
				if err != nil {
					return err
				}
				m.Folders = append(m.Folders, size)
			}
			g.Marks = append(g.Marks, m)
			b.Note(fmt.Sprintf("after %d changes: keepers' memory %s MB, folders %v bytes", n, amounts(m.MB), m.Folders))
		} else if time.Since(said) > 5*time.Second {
			b.Note(fmt.Sprintf("%d of %d changes", n, b.Changes))
			said = time.Now()
		}
	}
	g.InForce = meter.QuantilesOf(took)
	return nil
}

// inForce waits until the newest version is in force: all followers act on it alone, or the log has it where there are none.
func (b *bench) inForce(ctx context.Context) error {
	if b.Followers > 0 {
		return b.followers.wait(ctx, b.keepers.check)
	}
	return b.keepers.until(ctx, fmt.Sprintf("version %d is not in force", b.version), time.Millisecond, func() bool {
		var s state
		if b.led > 0 {
			s, _ = b.keepers.list[b.led-1].state(ctx)
		}
		if !s.leads {
			b.led, s = b.keepers.leader(ctx)
		}
		return s.inForce == b.version
	})
}

// has tells whether a keeper's log has come to the newest version.
func (b *bench) has(ctx context.Context, k *keeper) bool {
	s, err := k.state(ctx)
	return err == nil && s.inForce == b.version
}

// startAgain kills a keeper that does not lead and starts it with its folder.
func (b *bench) startAgain(ctx context.Context) (float64, error) {
	leader, _ := b.keepers.leader(ctx)
	k := b.keepers.list[leader%len(b.keepers.list)] // the next one
	k.kill()
	k.revive = true
	at := time.Now()
	if err := k.start(b.keepers.program); err != nil {
		return 0, err
	}
	err := b.keepers.until(ctx, fmt.Sprintf("keeper %d does not have version %d again", k.number, b.version), 2*time.Millisecond, func() bool { return b.has(ctx, k) })
	return ms(time.Since(at)), err
}

// join has one more keeper be taken in.
func (b *bench) join(ctx context.Context) (took float64, bytes int64, err error) {
	k, addr, err := b.keepers.join()
	if err != nil {
		return 0, 0, err
	}
	at := time.Now()
	if err := b.client.ChangeMembership(&replica.MembershipChange{Add: map[uint64]string{uint64(k.number): addr}}); err != nil {
		return 0, 0, err
	}
	err = b.keepers.until(ctx, fmt.Sprintf("keeper %d, which joins, does not have version %d", k.number, b.version), 2*time.Millisecond, func() bool { return b.has(ctx, k) })
	if err != nil {
		return 0, 0, err
	}
	took, bytes = ms(time.Since(at)), b.keepers.through(k.number)
	b.Note(fmt.Sprintf("a keeper that joins has caught up after %.0f ms and %d bytes", took, bytes))
	return took, bytes, nil
}

// Text tells the figures to people.
func (g *Growth) Text(w io.Writer) {
	var b strings.Builder
	fmt.Fprintf(&b, "%d changes in turn (%d by a node that is replaced, %d by a plan's limit) of %d nodes, a version of %d bytes; %d followers\n", g.Changes, g.Kinds[Node],
		g.Kinds[Limit], g.Nodes, g.Version, g.Followers)
	for _, m := range g.Marks {
		fmt.Fprintf(&b, "after %d: keepers' memory, MB: %s; folders, bytes: %v\n", m.Changes, amounts(m.MB), m.Folders)
	}
	fmt.Fprintf(&b, "from proposal to in force: %s\n", quantiles(g.InForce))
	fmt.Fprintf(&b, "a keeper starts from its folder and has all after %.0f ms; one that joins has all after %.0f ms and %d bytes; they ended by themselves %d times\n",
		g.Start, g.Joined, g.JoinBytes, g.Ends)
	_, _ = io.WriteString(w, b.String())
}
