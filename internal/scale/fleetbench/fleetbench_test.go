package fleetbench

import (
	"bytes"
	"context"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/scale/meter"
)

func TestBadOptionsAreRefused(t *testing.T) {
	good := Options{Followers: 3, Nodes: 20, Changes: 4, Idle: time.Second}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for word, spoil := range map[string]func(o *Options){
		"--followers 0":        func(o *Options) { o.Followers = 0 },
		"--followers -1":       func(o *Options) { o.Followers, o.Marks = -1, []int{5} },
		"--nodes 0":            func(o *Options) { o.Nodes = 0 },
		"--nodes 1048577":      func(o *Options) { o.Nodes = 1<<20 + 1 },
		"--changes -2":         func(o *Options) { o.Changes = -2 },
		"--idle 0s":            func(o *Options) { o.Idle = 0 },
		"--kill with":          func(o *Options) { o.Kill, o.Changes = true, 3 },
		"--kill and":           func(o *Options) { o.Kill, o.Marks = true, []int{5} },
		"--marks [0]":          func(o *Options) { o.Marks = []int{0} },
		"--marks [500 500]":    func(o *Options) { o.Marks = []int{500, 500} },
		"--marks [500 40 900]": func(o *Options) { o.Marks = []int{500, 40, 900} },
	} {
		o := good
		spoil(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), word) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", word, err)
		}
	}
	o := Options{Nodes: 20, Idle: time.Second, Marks: []int{5, 70}}
	if err := o.Check(); err != nil || o.Changes != 70 {
		t.Errorf("%+v, %v", o, err)
	}
}

// Each step changes one thing: a limit, or a shard's node, and nothing is left behind by steps before the last.
func TestCourse(t *testing.T) {
	const nodes = 40
	c, again := NewCourse(nodes, 3), NewCourse(nodes, 3)
	zoned, youngest := map[string]bool{}, int64(0)
	for addr, n := range c.Rules().Nodes {
		if n.Name == "" || n.Zone == "" || n.StartedAt == 0 {
			t.Errorf("%s: %+v", addr, n)
		}
		zoned[n.Zone], youngest = true, max(youngest, n.StartedAt)
	}
	if len(zoned) != 7 || len(c.Rules().Nodes) != nodes {
		t.Errorf("%d nodes in zones %v", len(c.Rules().Nodes), zoned)
	}
	drained := ""
	for step := range 300 {
		before := read(t, c)
		kind := c.Step()
		after := read(t, c)
		if again.Step() != kind || !bytes.Equal(again.Rules().Canonical(), after.Canonical()) {
			t.Fatalf("step %d differs with the same seed", step)
		}
		diff := configversion.Diff(before, after)
		if (kind == Limit) != (step%2 == 1) {
			t.Fatalf("step %d: %s", step, kind)
		}
		if kind == Limit {
			if len(diff) != 1 || !strings.HasPrefix(diff[0], "plans.") || !strings.Contains(diff[0], ".limit: ") {
				t.Fatalf("step %d: %v", step, diff)
			}
			continue
		}
		var fresh, drains, gone []string
		for addr, n := range after.Nodes {
			old, was := before.Nodes[addr]
			switch {
			case !was:
				fresh = append(fresh, addr)
				if n.StartedAt <= youngest || n.Health != endpoint.Ready || n.Name == "" {
					t.Errorf("step %d: %+v", step, n)
				}
				youngest = n.StartedAt
			case old != n:
				drains = append(drains, addr)
				if old.Health = endpoint.Draining; old != n {
					t.Errorf("step %d: %+v", step, n)
				}
			}
		}
		for addr := range before.Nodes {
			if _, is := after.Nodes[addr]; !is {
				gone = append(gone, addr)
			}
		}
		if len(fresh) != 1 || len(drains) != 1 || after.Nodes[fresh[0]].Shard != after.Nodes[drains[0]].Shard || after.Nodes[fresh[0]].Zone != after.Nodes[drains[0]].Zone ||
			len(after.Nodes) != nodes+1 || drained != "" && (len(gone) != 1 || gone[0] != drained) {
			t.Fatalf("step %d: %v come, %v drain, %v go", step, fresh, drains, gone)
		}
		drained = drains[0]
	}
}

func read(t *testing.T, c *Course) *configversion.Config {
	t.Helper()
	r, err := configversion.Parse(c.Rules().Canonical())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The figures follow from what was used: what would have passed at rest is taken off, changes with a keeper down count by themselves.
func TestFigures(t *testing.T) {
	r := &rest{span: 10 * time.Second, gateways: []int64{4000, 6000}, leader: 2, leaderOut: 9000, cpu: 2 * time.Second,
		keepers: []time.Duration{time.Second, 4 * time.Second, 2 * time.Second}}
	one := func(kind Kind, inForce time.Duration, a, b, out int64) change {
		return change{kind: kind, announced: inForce / 2, inForce: inForce, span: 5 * time.Second, gateways: []int64{a, b}, leader: 2, leaderOut: out, cpu: 3 * time.Second}
	}
	down := one(Limit, 9*time.Second, 1<<20, 1<<20, 1<<20)
	down.killed = true
	other := one(Node, 3*time.Second, 2600, 3600, 1<<20)
	other.leader = 1
	f := &Figures{}
	f.fill(r, []change{one(Node, time.Second, 2100, 3200, 5000), one(Limit, 2*time.Second, 2300, 3400, 5500), other, down})
	day := 950.0 / 86400
	for name, c := range map[string]struct{ got, want float64 }{
		"rest":          {f.Rest, 500},
		"change":        {f.Change, 300}, // 100, 200, 300, 400, 600, 600
		"change mean":   {f.ChangeMean, 2200.0 / 6},
		"change worst":  {f.ChangeWorst, 600},
		"day":           {f.Day, 500 + day*2200/6},
		"core":          {f.FollowerCore, 0.1},
		"core on a day": {f.FollowerCoreDay, 0.1 + day}, // 3 s less 1 s of rest, by two followers
		"leader":        {f.KeeperCore, 0.4},
		"others":        {f.KeeperCoreOthers, 0.15},
		"leader out":    {f.LeaderOut, 750}, // 500 and 1000; of the change that another led nothing is known
		"killed":        {float64(f.Killed), 1},
	} {
		if math.Abs(c.got-c.want) > 1e-9*c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
	if f.InForce != (meter.Quantiles{P50: 2000, P99: 3000, Worst: 3000}) || f.Announced != (meter.Quantiles{P50: 1000, P99: 1500, Worst: 1500}) ||
		f.InForceKilled == nil || *f.InForceKilled != (meter.Quantiles{P50: 9000, P99: 9000, Worst: 9000}) ||
		!reflect.DeepEqual(f.InForceBy, map[Kind]meter.Quantiles{Node: {P50: 1000, P99: 3000, Worst: 3000}, Limit: {P50: 2000, P99: 2000, Worst: 2000}}) ||
		!reflect.DeepEqual(f.Kinds, map[Kind]int{Node: 2, Limit: 2}) {
		t.Errorf("%+v, killed %+v", f, f.InForceKilled)
	}
}

func TestParseState(t *testing.T) {
	text := `# HELP irispost_keeper_leads 1 where this keeper leads, as it believes.
irispost_keeper_leads 1
irispost_keeper_gateways{state="acting"} 780
irispost_keeper_term 12
irispost_keeper_version{which="announced"} 10001
irispost_keeper_version{which="in_force"} 1e+04
`
	if s, err := parseState(text); err != nil || s != (state{leads: true, term: 12, inForce: 10000, announced: 10001}) {
		t.Errorf("%+v, %v", s, err)
	}
	for _, bad := range []string{"", strings.Replace(text, "irispost_keeper_term 12", "", 1), strings.Replace(text, "1e+04", "none", 1)} {
		if _, err := parseState(bad); err == nil {
			t.Errorf("read: %q", bad)
		}
	}
}

// A keeper that ends by itself ends the measurement, with its last word.
func TestKeepersThatEndAreSeen(t *testing.T) {
	o := Options{Program: "/bin/false", Followers: 1, Nodes: 1, Changes: 1, Idle: time.Second}
	if _, err := Run(context.Background(), o); err == nil || !strings.Contains(err.Error(), "keeper 1 has ended") {
		t.Error(err)
	}
	o.Program = "/none"
	if _, err := Grow(context.Background(), o); err == nil {
		t.Error("keepers of a program that is none have started")
	}
}

// One that is to be started again where it ends by itself is, a few times, and each is counted and told.
func TestKeepersAreStartedAgain(t *testing.T) {
	var told []string
	ks, err := startKeepers(Options{Program: "/bin/false", Note: func(line string) { told = append(told, line) }}, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer ks.close()
	for _, k := range ks.list {
		k.revive = true
	}
	err = ks.until(context.Background(), "nothing ends", time.Millisecond, func() bool { return false })
	if err == nil || !strings.Contains(err.Error(), "has ended") || ks.ends != mostEnds || len(told) != mostEnds || !strings.Contains(told[0], "started again") {
		t.Errorf("%d times, %q, %v", ks.ends, told, err)
	}
}
