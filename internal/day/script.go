// Package day plays a scripted day over real loopback sockets: nodes, gateways, clients and troubles at their times. It
// records what passes on the sockets and has package audit check the rules from that record alone.
package day

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"irispost/internal/fleet/rig"
)

// Span is a span of time in a script.
type Span = time.Duration

type scriptForm struct {
	Seed     uint64        `hcl:"seed,optional"`
	Length   string        `hcl:"length"`
	Config   string        `hcl:"config"`
	Gateways int           `hcl:"gateways"`
	Shards   int           `hcl:"shards,optional"`
	Grace    string        `hcl:"grace,optional"`
	Slack    string        `hcl:"slack,optional"`
	Transit  string        `hcl:"transit,optional"`
	Keepers  int           `hcl:"keepers,optional"`
	Lease    string        `hcl:"lease,optional"`
	Drift    float64       `hcl:"drift,optional"`
	Floor    string        `hcl:"floor,optional"`
	Peers    bool          `hcl:"peers,optional"`
	Changes  []changeForm  `hcl:"change,block"`
	Nodes    []nodeForm    `hcl:"node,block"`
	Clients  []clientForm  `hcl:"client,block"`
	Troubles []troubleForm `hcl:"trouble,block"`
}

type nodeForm struct {
	Name   string    `hcl:"name,label"`
	Shard  int       `hcl:"shard"`
	Zone   string    `hcl:"zone,optional"`
	Cores  int       `hcl:"cores,optional"`
	Unit   string    `hcl:"unit"`
	Queue  int       `hcl:"queue,optional"`
	PutOff float64   `hcl:"put_off,optional"`
	Range  hcl.Range `hcl:",def_range"`
}

type clientForm struct {
	Name    string    `hcl:"name,label"`
	Count   int       `hcl:"count,optional"`
	Volume  string    `hcl:"volume"`
	Do      string    `hcl:"do"`
	Rate    float64   `hcl:"rate"`
	Bytes   int       `hcl:"bytes,optional"`
	Files   int       `hcl:"files,optional"`
	Blocks  int       `hcl:"blocks,optional"`
	Retries int       `hcl:"retries,optional"`
	Pause   string    `hcl:"pause,optional"`
	Leaves  string    `hcl:"leaves_after,optional"`
	Gateway string    `hcl:"gateway,optional"`
	From    string    `hcl:"from,optional"`
	Until   string    `hcl:"until,optional"`
	Range   hcl.Range `hcl:",def_range"`
}

type changeForm struct {
	At    string    `hcl:"at"`
	Every string    `hcl:"every,optional"`
	Plan  string    `hcl:"plan"`
	Limit float64   `hcl:"limit"`
	Race  int       `hcl:"race,optional"`
	Range hcl.Range `hcl:",def_range"`
}

type troubleForm struct {
	Keeper  string    `hcl:"keeper,optional"`
	Between []string  `hcl:"between,optional"`
	At      string    `hcl:"at"`
	For     string    `hcl:"for,optional"`
	Node    string    `hcl:"node,optional"`
	Gateway string    `hcl:"gateway,optional"`
	Plane   string    `hcl:"plane,optional"`
	Do      string    `hcl:"do,optional"`
	Range   hcl.Range `hcl:",def_range"`
}

// NodePlan is a stand-in node of a script.
type NodePlan struct {
	Name               string
	Shard              int
	Zone               string
	Cores              int
	UnitTime           Span
	Queue              int
	DeferredWriteShare float64
}

// ClientPlan is a group of clients that do the same.
type ClientPlan struct {
	Name        string
	Count       int
	Volume      string
	Operation   string  // read, write (in place), create, look; disk-read or disk-write of a volume's disk
	Rate        float64 // requests a second of each
	Bytes       int     // of a request
	Files       int     // of each client
	Blocks      int     // requests that fill a file
	Retries     int     // further tries after an answer that is not what was asked for
	RetryDelay  Span    // before such a try, if the answer gives no time
	CancelAfter Span    // closes its connection with what is out when a request takes longer; 0: never
	Gateway     string  // that they use; empty: spread over all
	From        Span    // of the day, when they begin
	Until       Span    // and when they end; 0: at the day's end
}

// FaultPlan is something that happens at a time.
type FaultPlan struct {
	At, For          Span
	Replica          string   // or all
	Between          []string // two sides: names of keepers and gateways, with commas between
	Node             string
	Gateway          string
	ManagementServer string // a command to the management server, where gateways have their list from one
	Action           string
}

// Script is a day.
type Script struct {
	Seed       uint64
	Length     Span
	Config     string // the gateways' configuration
	Gateways   int
	Shards     int  // in place of the configuration's; 0: as it has them
	DrainGrace Span // of drains
	Slack      Span // after a client's limit during which an answer counts
	Transit    Span // longest way of an execution from a gateway to a node
	Fleet      FleetPlan
	Nodes      []NodePlan
	Clients    []ClientPlan
	Faults     []FaultPlan
}

// Load reads a script.
func Load(file string) (*Script, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, err := Parse(file, src)
	if err == nil && !filepath.IsAbs(s.Config) {
		s.Config = filepath.Join(filepath.Dir(file), s.Config)
	}
	return s, err
}

// Parse reads a script. What it refuses it names with its line.
func Parse(file string, src []byte) (*Script, error) {
	f, diags := hclparse.NewParser().ParseHCL(src, file)
	if diags.HasErrors() {
		return nil, diags
	}
	var form scriptForm
	if diags := gohcl.DecodeBody(f.Body, nil, &form); diags.HasErrors() {
		return nil, diags
	}
	var problems []string
	refuse := func(at hcl.Range, format string, args ...any) {
		problems = append(problems, fmt.Sprintf("%s: %s", at, fmt.Sprintf(format, args...)))
	}
	top := hcl.Range{Filename: file, Start: hcl.InitialPos, End: hcl.InitialPos}
	span := func(at hcl.Range, name, text string, otherwise Span) Span {
		if text == "" {
			return otherwise
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			refuse(at, "%s = %q is not a span such as \"2.5s\"", name, text)
		}
		return d
	}
	s := &Script{Seed: form.Seed, Transit: span(top, "transit", form.Transit, 50*time.Millisecond), Length: span(top, "length", form.Length, 0), Config: form.Config, Gateways: form.Gateways, Shards: form.Shards,
		DrainGrace: span(top, "grace", form.Grace, 2*time.Second), Slack: span(top, "slack", form.Slack, 250*time.Millisecond)}
	if s.Gateways < 1 || s.Gateways > 64 || s.Length <= 0 || s.Length > time.Hour {
		refuse(top, "a day has 1 to 64 gateways and lasts up to an hour")
	}
	s.Fleet = FleetPlan{Replicas: form.Keepers, LeaseDuration: span(top, "lease", form.Lease, time.Second), MaxClockDrift: form.Drift, Fallback: span(top, "floor", form.Floor, 0),
		Peers: form.Peers}
	if form.Peers && (form.Keepers == 0 || s.Gateways > 16) {
		refuse(top, "peers = true: a day with keepers and up to 16 gateways, as each pair has a link")
	}
	if k := form.Keepers; k != 0 && k != 1 && k != 3 && k != 5 {
		refuse(top, "keepers = %d: one, three or five", k)
	}
	for _, c := range form.Changes {
		if form.Keepers == 0 {
			refuse(c.Range, "the day has no keepers")
		}
		s.Fleet.Changes = append(s.Fleet.Changes, ChangePlan{span(c.Range, "at", c.At, 0), span(c.Range, "every", c.Every, 0), c.Plan, c.Limit, c.Race})
	}
	nodes := map[string]bool{}
	for _, n := range form.Nodes {
		if nodes[n.Name] {
			refuse(n.Range, "there is a node %q already", n.Name)
		}
		nodes[n.Name] = true
		s.Nodes = append(s.Nodes, NodePlan{n.Name, n.Shard, n.Zone, max(n.Cores, 1), span(n.Range, "unit", n.Unit, 0),
			max(n.Queue, 1), n.PutOff})
	}
	if len(nodes) == 0 || len(form.Clients) == 0 {
		refuse(top, "a day needs a node and a client")
	}
	for _, c := range form.Clients {
		if !slices.Contains([]string{"read", "write", "create", "look", "disk-read", "disk-write"}, c.Do) {
			refuse(c.Range, "do = %q: clients \"read\", \"write\", \"create\", \"look\", \"disk-read\" or \"disk-write\"", c.Do)
		}
		if c.Rate <= 0 || c.Rate > 1e5 {
			refuse(c.Range, "rate = %v is not over 0 and up to 100000", c.Rate)
		}
		if c.Gateway != "" && !known(c.Gateway, s.Gateways) {
			refuse(c.Range, "there is no gateway %q, they are called g1 to g%d", c.Gateway, s.Gateways)
		}
		if c.Bytes == 0 {
			c.Bytes = 16 << 10
		}
		if c.Bytes%block != 0 || c.Bytes < 0 || c.Bytes > 256<<10 {
			refuse(c.Range, "bytes = %d is not a multiple of %d up to %d", c.Bytes, block, 256<<10)
		}
		s.Clients = append(s.Clients, ClientPlan{c.Name, max(c.Count, 1), c.Volume, c.Do, c.Rate, c.Bytes, max(c.Files, 1),
			max(c.Blocks, 1), c.Retries, span(c.Range, "pause", c.Pause, 100*time.Millisecond),
			span(c.Range, "leaves_after", c.Leaves, 0), c.Gateway, span(c.Range, "from", c.From, 0), span(c.Range, "until", c.Until, 0)})
	}
	for _, t := range form.Troubles {
		word, _, _ := strings.Cut(t.Do, " ")
		switch {
		case t.Plane != "":
			if t.Gateway != "" || t.Node != "" || t.Do != "" {
				refuse(t.Range, "plane = %q stands alone", t.Plane)
			}
		case (t.Keeper != "" || len(t.Between) > 0 || word == "stop") && form.Keepers == 0:
			refuse(t.Range, "the day has no keepers")
		case len(t.Between) > 0:
			if _, err := rig.ParseFault(t.Do); err != nil || len(t.Between) != 2 {
				refuse(t.Range, "between = [\"k1\", \"g1,g2\"] names two sides; %v", err)
			}
			for _, name := range strings.Split(strings.Join(t.Between, ","), ",") {
				if !known(name, s.Gateways) && !knownAs("k", name, form.Keepers) {
					refuse(t.Range, "there is no process %q", name)
				}
			}
		case t.Keeper != "":
			if t.Keeper != "all" && !knownAs("k", t.Keeper, form.Keepers) || word != "kill" && (word != "stop" || t.Keeper == "all") {
				refuse(t.Range, "keeper = %q, do = %q: k1 to k%d can be killed or stopped, all can be killed", t.Keeper, t.Do, form.Keepers)
			}
		case t.Gateway != "" && word == "stop" && known(t.Gateway, s.Gateways):
		case t.Gateway != "" && word != "kill":
			refuse(t.Range, "do = %q: gateways can be killed only", t.Do)
		case t.Gateway != "" && !known(t.Gateway, s.Gateways):
			refuse(t.Range, "there is no gateway %q, they are called g1 to g%d", t.Gateway, s.Gateways)
		case t.Gateway == "" && !nodes[t.Node]:
			refuse(t.Range, "there is no node %q", t.Node)
		case t.Gateway == "" && !slices.Contains([]string{"fail", "slow", "drop", "hang", "stall", "refuse", "cut", "reset",
			"die", "replace"}, word):
			refuse(t.Range, "do = %q: no such trouble", t.Do)
		}
		s.Faults = append(s.Faults, FaultPlan{span(t.Range, "at", t.At, 0), span(t.Range, "for", t.For, 0), t.Keeper, t.Between,
			t.Node, t.Gateway, t.Plane, t.Do})
	}
	if len(problems) > 0 {
		return nil, fmt.Errorf("%s", strings.Join(problems, "\n"))
	}
	return s, nil
}

// known tells whether a day with so many gateways has one of the name.
func known(name string, gateways int) bool { return knownAs("g", name, gateways) }

func knownAs(letter, name string, count int) bool {
	for i := range count {
		if name == fmt.Sprintf("%s%d", letter, i+1) {
			return true
		}
	}
	return false
}
