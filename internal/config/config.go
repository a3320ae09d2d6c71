// Package config reads a gateway's configuration (HCL), checks it, and makes of it what the gateway is started with.
// What it refuses it names with file, line and column. docs/operators.md lists every key with its unit and default.
package config

import (
	"fmt"
	"math"
	"net"
	"os"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/zclconf/go-cty/cty"

	"irispost/decide"
	"irispost/internal/capture"
	"irispost/internal/front"
	"irispost/internal/gateway"
	"irispost/internal/iscsi/negotiate"
	"irispost/internal/iscsi/target"
	"irispost/internal/layout"
	"irispost/internal/members"
	"irispost/internal/sftp"
	"irispost/internal/xds"
)

// The blocks as they stand in the file. Spans and sizes are read by hand, with their units.
type (
	fileForm struct {
		Gateway    gatewayForm     `hcl:"gateway,block"`
		Units      *unitsForm      `hcl:"units,block"`
		Cold       *coldForm       `hcl:"cold,block"`
		Further    *furtherForm    `hcl:"further,block"`
		Executions *executionsForm `hcl:"executions,block"`
		Dismissals *dismissalsForm `hcl:"dismissals,block"`
		Order      *orderForm      `hcl:"order,block"`
		Sources    []sourceForm    `hcl:"source,block"`
		Members    *membersForm    `hcl:"members,block"`
		Follow     *followForm     `hcl:"follow,block"`
		Plans      []planForm      `hcl:"plan,block"`
		Products   []productForm   `hcl:"product,block"`
		Volumes    []volumeForm    `hcl:"volume,block"`
		Disks      *disksForm      `hcl:"disks,block"`
	}
	gatewayForm struct {
		Name     string         `hcl:"name,label"`
		Listen   string         `hcl:"listen"`
		Nodes    hcl.Expression `hcl:"nodes,optional"`
		Shards   hcl.Expression `hcl:"shards"`
		Extent   hcl.Expression `hcl:"extent,optional"`
		Seed     hcl.Expression `hcl:"seed,optional"`
		Gateways hcl.Expression `hcl:"gateways,optional"`
		Connect  hcl.Expression `hcl:"connect,optional"`
		Each     hcl.Expression `hcl:"connections_to_node,optional"`
		StopBy   hcl.Expression `hcl:"stop_by,optional"`
		Limits   *limitsForm    `hcl:"limits,block"`
		Admin    string         `hcl:"admin,optional"`
		Sweep    *sweepForm     `hcl:"sweep,block"`
		Capture  *captureForm   `hcl:"capture,block"`
		Range    hcl.Range      `hcl:",def_range"`
	}
	limitsForm struct {
		Connections hcl.Expression `hcl:"connections,optional"`
		Outstanding hcl.Expression `hcl:"outstanding,optional"`
		Handles     hcl.Expression `hcl:"handles,optional"`
		Entries     hcl.Expression `hcl:"entries,optional"`
		Packet      hcl.Expression `hcl:"packet,optional"`
		Ahead       hcl.Expression `hcl:"ahead,optional"`
		Unread      hcl.Expression `hcl:"unread,optional"`
		Queue       hcl.Expression `hcl:"queue,optional"`
	}
	sweepForm struct {
		Every hcl.Expression `hcl:"every,optional"`
		Idle  hcl.Expression `hcl:"idle,optional"`
	}
	captureForm struct {
		Folder hcl.Expression `hcl:"folder"`
		First  *bool          `hcl:"at_start,optional"`
		Most   hcl.Expression `hcl:"most,optional"`
		Age    hcl.Expression `hcl:"age,optional"`
		Keep   hcl.Expression `hcl:"keep,optional"`
		Flush  hcl.Expression `hcl:"flush,optional"`
		Behind hcl.Expression `hcl:"behind,optional"`
	}
	unitsForm struct {
		Bytes   hcl.Expression `hcl:"bytes,optional"`
		Least   hcl.Expression `hcl:"least,optional"`
		Mean    hcl.Expression `hcl:"mean,optional"`
		Largest hcl.Expression `hcl:"largest,optional"`
	}
	coldForm struct {
		From     hcl.Expression `hcl:"from"`
		Time     hcl.Expression `hcl:"time"`
		Multiple hcl.Expression `hcl:"multiple"`
		Window   hcl.Expression `hcl:"window"`
		Units    hcl.Expression `hcl:"units"`
	}
	furtherForm struct {
		Window hcl.Expression `hcl:"window"`
		Free   hcl.Expression `hcl:"free"`
		Share  hcl.Expression `hcl:"share"`
	}
	executionsForm struct {
		Most         hcl.Expression `hcl:"most,optional"`
		SecondCopies *bool          `hcl:"second_copies,optional"`
		CallingOff   *bool          `hcl:"calling_off,optional"`
	}
	dismissalsForm struct {
		Advice *bool          `hcl:"advice,optional"`
		Most   hcl.Expression `hcl:"most,optional"`
	}
	orderForm struct {
		Rest hcl.Expression `hcl:"rest,optional"`
	}
	sourceForm struct {
		Kind      string         `hcl:"kind,label"`
		Name      string         `hcl:"name,label"`
		File      hcl.Expression `hcl:"file,optional"`
		Clusters  hcl.Expression `hcl:"clusters,optional"`
		Endpoints hcl.Expression `hcl:"endpoints,optional"`
		Address   hcl.Expression `hcl:"address,optional"`
		Form      hcl.Expression `hcl:"form,optional"`
		Node      hcl.Expression `hcl:"node,optional"`
		Fleet     hcl.Expression `hcl:"fleet,optional"`
		Zone      hcl.Expression `hcl:"zone,optional"`
		Wanted    hcl.Expression `hcl:"wanted,optional"`
		Fetch     hcl.Expression `hcl:"fetch,optional"`
		Least     hcl.Expression `hcl:"pause,optional"`
		Most      hcl.Expression `hcl:"pause_most,optional"`
		Message   hcl.Expression `hcl:"message,optional"`
		Range     hcl.Range      `hcl:",def_range"`
	}
	membersForm struct {
		Shrink     hcl.Expression `hcl:"shrink,optional"`
		Hold       hcl.Expression `hcl:"hold,optional"`
		Grace      hcl.Expression `hcl:"grace,optional"`
		Flaps      hcl.Expression `hcl:"flaps,optional"`
		FlapWindow hcl.Expression `hcl:"flap_window,optional"`
		Rest       hcl.Expression `hcl:"rest,optional"`
		Silent     hcl.Expression `hcl:"silent,optional"`
		Forget     hcl.Expression `hcl:"forget,optional"`
		Folder     hcl.Expression `hcl:"folder,optional"`
		First      hcl.Expression `hcl:"first,optional"`
	}
	followForm struct {
		Keepers []string       `hcl:"keepers"`
		Pause   hcl.Expression `hcl:"pause,optional"`
		Record  hcl.Expression `hcl:"record,optional"`
		Range   hcl.Range      `hcl:",def_range"`
	}
	disksForm struct {
		Listen  string         `hcl:"listen"`
		Most    hcl.Expression `hcl:"connections,optional"`
		Login   hcl.Expression `hcl:"login,optional"`
		Queue   hcl.Expression `hcl:"queue,optional"`
		Inside  hcl.Expression `hcl:"inside,optional"`
		Unread  hcl.Expression `hcl:"unread,optional"`
		Targets []targetForm   `hcl:"target,block"`
		Range   hcl.Range      `hcl:",def_range"`
	}
	targetForm struct {
		Name  string    `hcl:"name,label"`
		Chap  *chapForm `hcl:"chap,block"`
		Luns  []lunForm `hcl:"lun,block"`
		Range hcl.Range `hcl:",def_range"`
	}
	chapForm struct {
		Name      string    `hcl:"name"`
		Secret    string    `hcl:"secret"`
		OurName   string    `hcl:"own_name,optional"`
		OurSecret string    `hcl:"own_secret,optional"`
		Range     hcl.Range `hcl:",def_range"`
	}
	lunForm struct {
		Number string         `hcl:"number,label"`
		File   string         `hcl:"file"`
		Size   hcl.Expression `hcl:"size"`
		Block  hcl.Expression `hcl:"block,optional"`
		Fixed  bool           `hcl:"read_only,optional"`
		Range  hcl.Range      `hcl:",def_range"`
	}
	planForm struct {
		Name    string         `hcl:"name,label"`
		Weight  hcl.Expression `hcl:"weight,optional"`
		Rate    hcl.Expression `hcl:"rate,optional"`
		Reserve hcl.Expression `hcl:"reserve,optional"`
		Limit   hcl.Expression `hcl:"limit,optional"`
		Burst   hcl.Expression `hcl:"burst,optional"`
		Slack   hcl.Expression `hcl:"slack,optional"`
		Range   hcl.Range      `hcl:",def_range"`
	}
	productForm struct {
		Name     string         `hcl:"name,label"`
		Kind     hcl.Expression `hcl:"kind,optional"`
		Group    hcl.Expression `hcl:"group,optional"`
		Goal     hcl.Expression `hcl:"goal"`
		Patience hcl.Expression `hcl:"patience"`
		Window   hcl.Expression `hcl:"window,optional"`
		InTurn   bool           `hcl:"in_turn,optional"`
		Range    hcl.Range      `hcl:",def_range"`
	}
	volumeForm struct {
		Name  string         `hcl:"name,label"`
		ID    hcl.Expression `hcl:"id"`
		Plan  hcl.Expression `hcl:"plan"`
		Hosts hcl.Expression `hcl:"hosts,optional"`
		Rules []ruleForm     `hcl:"product,block"`
		Range hcl.Range      `hcl:",def_range"`
	}
	ruleForm struct {
		Product string         `hcl:"product,label"`
		For     []string       `hcl:"for"`
		Match   string         `hcl:"match,optional"`
		Larger  hcl.Expression `hcl:"larger,optional"`
		Range   hcl.Range      `hcl:",def_range"`
	}
)

// Product is a kind of job, as its clients know it.
type Product struct {
	front.Product
	Goal   time.Duration
	Window time.Duration
}

// Limit is a volume's limit, in units a second and units.
type Limit struct{ Rate, Burst, Slack float64 }

// Source is where lists of nodes come from. Files are as they stand in the configuration.
type Source struct {
	Name                      string
	Kind                      string // own, xds-file or xds
	File, Clusters, Endpoints string
	XDS                       xds.Options // of kind xds; whoever runs it adds seed and log
}

// Follow is where a gateway has its list of nodes from that follows versions.
type Follow struct {
	Keepers []string
	Pause   time.Duration // between asks for a lease
	Record  string        // file for what was acted on from when; empty: none
}

// Disks are a gateway's iSCSI targets.
type Disks struct {
	Listen  string
	Limits  target.Limits
	Targets []Target
}

// Target is a target with its units.
type Target struct {
	Name    string
	Account negotiate.Account
	Luns    map[uint16]Lun
}

// Lun is a file that is shown as a disk.
type Lun struct {
	File  string
	Size  uint64 // bytes
	Block uint32
	Fixed bool
}

// Gateway is a configuration that was read and checked.
type Gateway struct {
	Name     string
	Listen   string
	Sources  []Source // of the list of nodes, by precedence
	Members  members.Terms
	Follow   *Follow       // nil: it follows nobody
	Folder   string        // for the last lists; empty: they are not kept
	First    time.Duration // the longest wait for all sources' first words before clients are served
	Shards   int
	Extent   uint32
	Seed     uint64
	Connect  time.Duration
	Each     int
	StopBy   time.Duration
	Queue    int
	Limits   front.Limits
	Units    front.Units
	Sweep    time.Duration // 0: no sweeps
	Idle     time.Duration // objects that nobody wrote for so long are swept, where nothing refers to them
	Admin    string        // the socket for the command-line tool; empty: none
	Captures string        // the folder for captures; empty: none unless one is asked for
	AtStart  bool          // a capture begins with the gateway
	Capture  capture.Limits
	Disks    *Disks // nil: none
	Products map[string]*Product
	Volumes  map[string]*front.Volume
	Caps     map[int64]Limit // by volume, where its plan has a limit
	Terms    decide.Terms
}

// Load reads a file.
func Load(file string) (*Gateway, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, src)
}

// Parse reads a configuration.
func Parse(file string, src []byte) (*Gateway, error) {
	f, diags := hclparse.NewParser().ParseHCL(src, file)
	if diags.HasErrors() {
		return nil, problems(diags)
	}
	var form fileForm
	if diags := gohcl.DecodeBody(f.Body, nil, &form); diags.HasErrors() {
		return nil, problems(diags)
	}
	r := &reader{}
	g := r.gateway(&form)
	if r.diags.HasErrors() {
		return nil, problems(r.diags)
	}
	return g, nil
}

// Problems is what was found wrong, one line each: file:line,column: what.
type Problems []string

func (p Problems) Error() string { return strings.Join(p, "\n") }

func problems(diags hcl.Diagnostics) Problems {
	var p Problems
	for _, d := range diags.Errs() {
		p = append(p, d.Error())
	}
	return p
}

// reader reads values and collects what is wrong with them.
type reader struct{ diags hcl.Diagnostics }

func (r *reader) refuse(at hcl.Range, summary, format string, args ...any) {
	r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary,
		Detail: fmt.Sprintf(format, args...), Subject: &at})
}

// value reads an expression; false tells that it is absent or wrong.
func (r *reader) value(e hcl.Expression) (cty.Value, bool) {
	if e == nil {
		return cty.NilVal, false
	}
	v, diags := e.Value(nil)
	r.diags = append(r.diags, diags...)
	return v, !diags.HasErrors() && !v.IsNull() && v.IsKnown()
}

func (r *reader) number(e hcl.Expression, least, most, otherwise float64) float64 {
	v, there := r.value(e)
	if !there {
		return otherwise
	}
	if v.Type() != cty.Number {
		r.refuse(e.Range(), "Not a number", "A number from %v to %v is expected here.", least, most)
		return otherwise
	}
	n, _ := v.AsBigFloat().Float64()
	if n < least || n > most || math.IsNaN(n) {
		r.refuse(e.Range(), "Out of bounds", "%v is not between %v and %v.", n, least, most)
	}
	return n
}

func (r *reader) count(e hcl.Expression, least, most, otherwise int) int {
	n := r.number(e, float64(least), float64(most), float64(otherwise))
	if n != math.Trunc(n) {
		r.refuse(e.Range(), "Not a whole number", "%v is not a whole number.", n)
	}
	return int(n)
}

func (r *reader) text(e hcl.Expression, otherwise string) string {
	v, there := r.value(e)
	if !there {
		return otherwise
	}
	if v.Type() != cty.String {
		r.refuse(e.Range(), "Not a text", "A text in quotes is expected here.")
		return otherwise
	}
	return v.AsString()
}

func (r *reader) span(e hcl.Expression, least, most, otherwise time.Duration) time.Duration {
	text := r.text(e, "")
	if text == "" {
		return otherwise
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.refuse(e.Range(), "Not a span of time", "%q has no unit that is known. Write for example \"300ms\", \"2.5s\" or \"10m\".", text)
		return otherwise
	}
	if d < least || d > most {
		r.refuse(e.Range(), "Out of bounds", "%v is not between %v and %v.", d, least, most)
	}
	return d
}

func (r *reader) size(e hcl.Expression, least, most, otherwise int64) int64 {
	text := strings.TrimSpace(r.text(e, ""))
	if text == "" {
		return otherwise
	}
	factor := int64(1)
	number := text
	for unit, f := range map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30} {
		if rest, ok := strings.CutSuffix(text, unit); ok {
			number, factor = strings.TrimSpace(rest), f
		}
	}
	n, err := strconv.ParseInt(strings.TrimSuffix(number, "B"), 10, 62)
	if err != nil {
		r.refuse(e.Range(), "Not a size", "%q is no whole number of B, KiB, MiB or GiB.", text)
		return otherwise
	}
	if n > most/factor || n*factor < least {
		r.refuse(e.Range(), "Out of bounds", "%s is not between %d and %d bytes.", text, least, most)
		return otherwise
	}
	return n * factor
}

const (
	second = time.Second
	huge   = 1e12
)

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}

func plain(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// gateway reads everything.
func (r *reader) gateway(f *fileForm) *Gateway {
	b := &f.Gateway
	if b.Limits == nil {
		b.Limits = &limitsForm{}
	}
	if f.Units == nil {
		f.Units = &unitsForm{}
	}
	g := &Gateway{Name: b.Name, Listen: b.Listen,
		Shards: r.count(b.Shards, 1, 1<<16, 1), Extent: uint32(r.size(b.Extent, 4<<10, 16<<20, 256<<10)),
		Seed: uint64(r.count(b.Seed, 0, math.MaxInt32, 1)), Connect: r.span(b.Connect, time.Millisecond, 60*second, 250*time.Millisecond),
		Each: r.count(b.Each, 1, 64, 2), StopBy: r.span(b.StopBy, 0, time.Hour, 10*second),
		Queue:    r.count(b.Limits.Queue, 16, 1<<20, 4096),
		Products: map[string]*Product{}, Volumes: map[string]*front.Volume{}, Caps: map[int64]Limit{}}
	if b.Name == "" || strings.ContainsAny(b.Name, "/:# ") {
		r.refuse(b.Range, "Bad name", "A gateway's name is not empty and has no space, slash, colon or number sign.")
	}
	wire := sftp.DefaultBounds
	wire.Packet = int(r.size(b.Limits.Packet, 34<<10, 16<<20, int64(wire.Packet)))
	wire.Buffered = int(r.size(b.Limits.Ahead, int64(wire.Packet), 1<<30, int64(max(wire.Buffered, wire.Packet))))
	wire.Unsent = int(r.size(b.Limits.Unread, int64(wire.Packet), 1<<30, int64(max(wire.Unsent, wire.Packet))))
	g.Limits = front.Limits{Connections: r.count(b.Limits.Connections, 1, 1<<20, 1024),
		Outstanding: r.count(b.Limits.Outstanding, 1, 1<<16, 256), Handles: r.count(b.Limits.Handles, 1, 1<<20, 1024),
		Entries: r.count(b.Limits.Entries, 1, 1<<24, 100_000), Wire: wire}
	if b.Sweep != nil {
		g.Sweep = r.span(b.Sweep.Every, second, 24*time.Hour, 10*time.Minute)
		g.Idle = r.span(b.Sweep.Idle, second, 30*24*time.Hour, time.Hour)
	}
	l := capture.DefaultLimits
	if c := b.Capture; c != nil {
		g.AtStart = c.First == nil || *c.First
		g.Captures = r.text(c.Folder, "")
		if g.Captures == "" {
			r.refuse(c.Folder.Range(), "No folder", "A capture needs a folder to lie in.")
		}
		l.Most = r.size(c.Most, 1<<20, 1<<40, l.Most)
		l.Age = r.span(c.Age, time.Second, 30*24*time.Hour, l.Age)
		l.Keep = r.count(c.Keep, 1, 1<<20, l.Keep)
		l.Flush = r.span(c.Flush, 10*time.Millisecond, time.Minute, l.Flush)
		l.Behind = r.count(c.Behind, 1, 4096, l.Behind)
	}
	g.Capture, g.Admin = l, b.Admin
	g.Units = front.Units{Bytes: float64(r.size(f.Units.Bytes, 1, 1<<30, 16<<10)), Least: r.number(f.Units.Least, 1e-3, 1e6, 0.25)}
	t := decide.Terms{"number": "0", "discovery": "told", "tells.others": "true"}
	t["gateways"] = strconv.Itoa(r.count(b.Gateways, 1, 1<<20, 1))
	t["units.mean"] = plain(r.number(f.Units.Mean, 1e-3, 1e6, 1))
	t["units.largest"] = plain(r.number(f.Units.Largest, 1e-3, 1e6, max(g.Units.Of(int(g.Extent)), 1)))
	g.Terms = t
	r.sources(f, g)
	r.members(f.Members, g)
	r.rules(f, t)
	r.plans(f, g)
	r.products(f, g)
	r.volumes(f, g)
	r.disks(f.Disks, g)
	return g
}

// sources reads where the list comes from: the one file of the gateway block, or the source blocks in their order.
func (r *reader) sources(f *fileForm, g *Gateway) {
	nodes := r.text(f.Gateway.Nodes, "")
	switch {
	case f.Follow != nil:
		b := f.Follow
		g.Follow = &Follow{Keepers: b.Keepers, Pause: r.span(b.Pause, 10*time.Millisecond, time.Minute, 500*time.Millisecond), Record: r.text(b.Record, "")}
		if nodes != "" || len(f.Sources) > 0 {
			r.refuse(b.Range, "Two lists of nodes", "A gateway that follows has its list from the version in force, so it has no source and no nodes.")
		}
		if len(b.Keepers) == 0 {
			r.refuse(b.Range, "No keepers", "Name the keepers' addresses: keepers = [\"10.0.0.1:7100\", ...].")
		}
		for _, k := range b.Keepers {
			if _, _, err := net.SplitHostPort(k); err != nil {
				r.refuse(b.Range, "Not an address", "%q is no host with a port.", k)
			}
		}
	case nodes != "" && len(f.Sources) > 0:
		r.refuse(f.Gateway.Nodes.Range(), "Two ways to name sources", "Where there are source blocks, the list's file is one of them: source \"own\" \"NAME\" { file = %q }.", nodes)
	case nodes != "":
		g.Sources = []Source{{Name: "nodes", Kind: "own", File: nodes}}
	case len(f.Sources) == 0:
		r.refuse(f.Gateway.Range, "No list of nodes", "Name its file with nodes = \"nodes.hcl\", or write a source block.")
	}
	names := map[string]bool{}
	for _, b := range f.Sources {
		if names[b.Name] || b.Name == "" || strings.ContainsAny(b.Name, "/ ") {
			r.refuse(b.Range, "Bad name", "A source's name is its own, is not empty and has no space or slash.")
		}
		names[b.Name] = true
		g.Sources = append(g.Sources, r.source(&b, g))
	}
}

// source reads a source block. What its kind does not have is refused.
func (r *reader) source(b *sourceForm, g *Gateway) Source {
	s := Source{Name: b.Name, Kind: b.Kind}
	parts := []struct {
		name  string
		value hcl.Expression
		kinds string
		needs bool
	}{
		{"file", b.File, "own", true}, {"clusters", b.Clusters, "xds-file", true}, {"endpoints", b.Endpoints, "xds-file", true},
		{"address", b.Address, "xds", true}, {"form", b.Form, "xds", false}, {"node", b.Node, "xds", false}, {"fleet", b.Fleet, "xds", false},
		{"zone", b.Zone, "xds", false}, {"wanted", b.Wanted, "xds", false}, {"fetch", b.Fetch, "xds", false}, {"pause", b.Least, "xds", false},
		{"pause_most", b.Most, "xds", false}, {"message", b.Message, "xds", false},
	}
	if b.Kind != "own" && b.Kind != "xds" && b.Kind != "xds-file" {
		r.refuse(b.Range, "No such kind", "A source is \"own\" (a file in our own form), \"xds-file\" (files in xDS form) or \"xds\" (a management server), not %q.", b.Kind)
		return s
	}
	for _, p := range parts {
		_, there := r.value(p.value)
		if there && p.kinds != b.Kind {
			r.refuse(p.value.Range(), "Not of this kind", "A source of kind %q has no %s.", b.Kind, p.name)
		}
		if !there && p.kinds == b.Kind && p.needs {
			r.refuse(b.Range, "Something is missing", "A source of kind %q needs %s.", b.Kind, p.name)
		}
	}
	s.File, s.Clusters, s.Endpoints = r.text(b.File, ""), r.text(b.Clusters, ""), r.text(b.Endpoints, "")
	if b.Kind != "xds" {
		return s
	}
	form := r.text(b.Form, "delta")
	if form != "delta" && form != "whole" {
		r.refuse(b.Form.Range(), "No such form", "The protocol has the forms \"delta\" and \"whole\" (state of the world), not %q.", form)
	}
	s.XDS = xds.Options{Address: r.text(b.Address, ""), Incremental: form == "delta", Node: r.text(b.Node, g.Name), Fleet: r.text(b.Fleet, "irispost"),
		Zone: r.text(b.Zone, ""), Fetch: r.span(b.Fetch, time.Millisecond, time.Hour, xds.DefaultFetch),
		Least: r.span(b.Least, time.Millisecond, time.Hour, xds.DefaultLeast), Most: r.span(b.Most, time.Millisecond, time.Hour, xds.DefaultMost),
		Message: int(r.size(b.Message, 64<<10, 1<<30, xds.DefaultMessage))}
	if s.XDS.Most < s.XDS.Least {
		r.refuse(b.Range, "Pauses the wrong way round", "pause_most %v is under pause %v.", s.XDS.Most, s.XDS.Least)
	}
	if _, _, err := net.SplitHostPort(s.XDS.Address); err != nil && s.XDS.Address != "" {
		r.refuse(b.Address.Range(), "Not an address", "%q is no host with a port.", s.XDS.Address)
	}
	if v, there := r.value(b.Wanted); there {
		if !v.CanIterateElements() {
			r.refuse(b.Wanted.Range(), "Not a list", "The names of clusters are expected here: [\"storage\"].")
			return s
		}
		for it := v.ElementIterator(); it.Next(); {
			if _, name := it.Element(); name.Type() == cty.String && name.AsString() != "" {
				s.XDS.Clusters = append(s.XDS.Clusters, name.AsString())
			} else {
				r.refuse(b.Wanted.Range(), "Not a name", "A cluster's name is a text.")
			}
		}
	}
	return s
}

func (r *reader) members(b *membersForm, g *Gateway) {
	if b == nil {
		b = &membersForm{}
	}
	d := members.DefaultTerms
	span := func(e hcl.Expression, otherwise members.Time) members.Time {
		return int64(r.span(e, 0, 24*time.Hour, time.Duration(otherwise)))
	}
	g.Members = members.Terms{Shrink: r.number(b.Shrink, 0, 1, d.Shrink), Hold: span(b.Hold, d.Hold), Grace: span(b.Grace, d.Grace),
		Flaps: r.count(b.Flaps, 0, 1000, d.Flaps), FlapWindow: span(b.FlapWindow, d.FlapWindow), Rest: span(b.Rest, d.Rest),
		Silent: span(b.Silent, d.Silent), Forget: span(b.Forget, d.Forget)}
	g.Folder = r.text(b.Folder, "")
	g.First = r.span(b.First, 0, time.Hour, 5*time.Second)
}

// disks reads targets and their units.
func (r *reader) disks(b *disksForm, g *Gateway) {
	if b == nil {
		return
	}
	d := &Disks{Listen: b.Listen, Limits: target.DefaultLimits}
	l := &d.Limits
	l.Connections = r.count(b.Most, 1, 1<<20, l.Connections)
	l.Login = r.span(b.Login, 100*time.Millisecond, time.Hour, l.Login)
	l.Pace.Most = r.count(b.Queue, 1, 1<<16, l.Pace.Most)
	l.Pace.Inside = r.count(b.Inside, 1, 1<<16, l.Pace.Inside)
	l.Pace.Start = min(l.Pace.Start, l.Pace.Inside)
	l.Unread = int(r.size(b.Unread, 64<<10, 1<<30, int64(l.Unread)))
	l.Wire.Unsent = max(l.Wire.Unsent, l.Unread+2*l.Pace.Bytes)
	files := map[string]string{}
	for _, f := range b.Targets {
		t := Target{Name: f.Name, Luns: map[uint16]Lun{}}
		if !strings.HasPrefix(f.Name, "iqn.") && !strings.HasPrefix(f.Name, "eui.") && !strings.HasPrefix(f.Name, "naa.") || len(f.Name) > 223 {
			r.refuse(f.Range, "Bad name", "A target's name begins with iqn., eui. or naa. and has up to 223 bytes (RFC 7143, 4.2.7): \"iqn.2026-01.example:disk\".")
		}
		if c := f.Chap; c != nil {
			if len(c.Secret) < 12 || c.Secret == c.OurSecret {
				r.refuse(c.Range, "Bad secret", "A CHAP secret has at least 12 bytes (RFC 7143, 9.2.1), and each side has its own.")
			}
			t.Account = negotiate.Account{Name: c.Name, Secret: c.Secret, OurName: c.OurName, OurSecret: c.OurSecret}
		}
		for _, u := range f.Luns {
			n, err := strconv.ParseUint(u.Number, 10, 14)
			if _, twice := t.Luns[uint16(n)]; err != nil || twice {
				r.refuse(u.Range, "Bad number", "A unit's number is its own, from 0 to 16383, not %q.", u.Number)
			}
			lun := Lun{File: u.File, Size: uint64(r.size(u.Size, 512, 1<<50, 0)), Block: uint32(r.size(u.Block, 512, 4096, 4096)), Fixed: u.Fixed}
			if lun.Block != 512 && lun.Block != 4096 {
				r.refuse(u.Range, "Bad block", "A block has 512 or 4096 bytes, not %d.", lun.Block)
			} else if lun.Size%uint64(lun.Block) != 0 || lun.Size == 0 {
				r.refuse(u.Range, "Bad size", "%d bytes are not whole blocks of %d.", lun.Size, lun.Block)
			}
			p, err := layout.Parse(u.File)
			if err != nil || p.Rel == "" || g.Volumes[p.Volume] == nil {
				r.refuse(u.Range, "No such file", "%q is no file of a volume of this gateway.", u.File)
			}
			if other := files[p.String()]; other != "" {
				r.refuse(u.Range, "File twice", "%s is shown by %s already.", u.File, other)
			}
			files[p.String()] = f.Name + " lun " + u.Number
			t.Luns[uint16(n)] = lun
		}
		if len(t.Luns) == 0 {
			r.refuse(f.Range, "No unit", "A target has at least one lun block.")
		}
		d.Targets = append(d.Targets, t)
	}
	g.Disks = d
}

// rules reads the figures of the rules.
func (r *reader) rules(f *fileForm, t decide.Terms) {
	if c := f.Cold; c != nil {
		t["cold.from"] = plain(r.number(c.From, 0.001, 1, 1))
		t["cold.time"] = milliseconds(r.span(c.Time, 0, time.Hour, 0))
		t["cold.multiple"] = plain(r.number(c.Multiple, 0.1, 100, 2))
		t["cold.window"] = milliseconds(r.span(c.Window, time.Millisecond, time.Hour, second))
		t["cold.units"] = plain(r.number(c.Units, 0, huge, 0))
	}
	if b := f.Further; b != nil {
		t["further.window"] = milliseconds(r.span(b.Window, time.Millisecond, time.Hour, second))
		t["further.free"] = plain(r.number(b.Free, 0, huge, 0))
		t["further.share"] = plain(r.number(b.Share, 0, 100, 0))
	}
	if f.Executions == nil {
		f.Executions = &executionsForm{}
	}
	flag := func(b *bool) string { return strconv.FormatBool(b == nil || *b) }
	t["executions.most"] = strconv.Itoa(r.count(f.Executions.Most, 1, 100, 3))
	t["second_copies"], t["calling_off"] = flag(f.Executions.SecondCopies), flag(f.Executions.CallingOff)
	if f.Dismissals == nil {
		f.Dismissals = &dismissalsForm{}
	}
	t["retry_after"] = flag(f.Dismissals.Advice)
	t["retry_after.most"] = milliseconds(r.span(f.Dismissals.Most, 0, time.Hour, second))
	if f.Order == nil {
		f.Order = &orderForm{}
	}
	t["key.rest"] = milliseconds(r.span(f.Order.Rest, 0, time.Minute, 50*time.Millisecond))
}

func (r *reader) plans(f *fileForm, g *Gateway) {
	names := map[string]bool{}
	for i, p := range f.Plans {
		if names[p.Name] {
			r.refuse(p.Range, "Plan twice", "There is a plan %q already.", p.Name)
		}
		names[p.Name] = true
		item := func(name, value string) { g.Terms["plans."+strconv.Itoa(i)+"."+name] = value }
		item("name", p.Name)
		item("weight", plain(r.number(p.Weight, 1e-3, 1e6, 1)))
		item("rate", plain(r.number(p.Rate, 0, huge, 0)))
		item("reserve", plain(r.number(p.Reserve, 0, huge, 0)))
		limit := r.number(p.Limit, 0, huge, 0)
		item("limit", plain(limit))
		item("burst", plain(r.number(p.Burst, 0, huge, limit)))
		item("slack", plain(r.number(p.Slack, 0, huge, 0)))
	}
	g.Terms["plans.count"] = strconv.Itoa(len(f.Plans))
	if len(f.Plans) == 0 {
		r.refuse(f.Gateway.Range, "No plan", "At least one plan block is needed.")
	}
}

func (r *reader) products(f *fileForm, g *Gateway) {
	kinds := map[string]uint8{"replayable": 0, "referenced": 1, "single-use": 2}
	for i, p := range f.Products {
		if g.Products[p.Name] != nil {
			r.refuse(p.Range, "Product twice", "There is a product %q already.", p.Name)
		}
		kind := r.text(p.Kind, "replayable")
		if _, known := kinds[kind]; !known {
			r.refuse(p.Kind.Range(), "No such kind", "A product is \"replayable\", \"referenced\" or \"single-use\", not %q.", kind)
		}
		group := r.text(p.Group, "all")
		if group != "all" && group != "zone" && group != "shard" {
			r.refuse(p.Group.Range(), "No such group", "The nodes that know a repeat are \"all\", those of a \"zone\" or of a \"shard\", not %q.", group)
		}
		out := &Product{Goal: r.span(p.Goal, time.Millisecond, time.Hour, second)}
		out.Name, out.Kind, out.InTurn = p.Name, kinds[kind], p.InTurn
		out.Patience = r.span(p.Patience, time.Millisecond, time.Hour, second)
		if out.Patience < out.Goal {
			r.refuse(p.Patience.Range(), "Patience under the goal", "A client that waits %v cannot have its answer after %v.", out.Patience, out.Goal)
		}
		out.Window = r.span(p.Window, 0, time.Hour, 0)
		if kind == "referenced" && out.Window == 0 {
			r.refuse(p.Range, "No window", "A referenced product needs a window: how long the nodes know a repeat.")
		}
		g.Products[p.Name] = out
		item := func(name, value string) { g.Terms["products."+strconv.Itoa(i)+"."+name] = value }
		item("name", p.Name)
		item("kind", kind)
		item("group", group)
		item("goal", milliseconds(out.Goal))
		item("patience", milliseconds(out.Patience))
		item("window", milliseconds(out.Window))
		item("in_turn", strconv.FormatBool(p.InTurn))
	}
	g.Terms["products.count"] = strconv.Itoa(len(f.Products))
}

func (r *reader) volumes(f *fileForm, g *Gateway) {
	plans := map[string]int{}
	for i, p := range f.Plans {
		plans[p.Name] = i
	}
	ids := map[int64]string{}
	for _, v := range f.Volumes {
		if g.Volumes[v.Name] != nil {
			r.refuse(v.Range, "Volume twice", "There is a volume %q already.", v.Name)
		}
		if v.Name == "" || strings.ContainsAny(v.Name, "/\x00") || v.Name == "." || v.Name == ".." || len(v.Name) > 255 {
			r.refuse(v.Range, "Bad name", "A volume's name is a folder's name: not empty, without slash, at most 255 bytes.")
		}
		out := &front.Volume{Name: v.Name, Volume: gateway.Volume{ID: int64(r.count(v.ID, 0, 1<<31, 0)),
			Plan: r.text(v.Plan, ""), Hosts: r.number(v.Hosts, 1, 1e6, 1)}}
		if other, twice := ids[out.ID]; twice {
			r.refuse(v.ID.Range(), "Id twice", "Volume %q has the id %d already.", other, out.ID)
		}
		ids[out.ID] = v.Name
		i, known := plans[out.Plan]
		if !known {
			r.refuse(v.Plan.Range(), "No such plan", "There is no plan %q.", out.Plan)
		} else if n, _ := strconv.ParseFloat(g.Terms["plans."+strconv.Itoa(i)+".limit"], 64); n > 0 {
			c := Limit{Rate: n}
			c.Burst, _ = strconv.ParseFloat(g.Terms["plans."+strconv.Itoa(i)+".burst"], 64)
			c.Slack, _ = strconv.ParseFloat(g.Terms["plans."+strconv.Itoa(i)+".slack"], 64)
			g.Caps[out.ID] = c
		}
		fits := map[front.Sort]bool{}
		for _, rule := range v.Rules {
			r.rule(g, out, rule, fits)
		}
		for _, s := range []front.Sort{front.Read, front.Write, front.Look, front.Change} {
			if !fits[s] {
				r.refuse(v.Range, "Operations without a product", "Volume %q has no product block for %q without match and larger.", v.Name, s)
			}
		}
		g.Volumes[v.Name] = out
	}
	if len(f.Volumes) == 0 {
		r.refuse(f.Gateway.Range, "No volume", "At least one volume block is needed.")
	}
}

// rule reads which operations are of a product. What a repeat may do is the operation's, so the kind has to fit.
func (r *reader) rule(g *Gateway, v *front.Volume, b ruleForm, fits map[front.Sort]bool) {
	p := g.Products[b.Product]
	if p == nil {
		r.refuse(b.Range, "No such product", "There is no product %q.", b.Product)
		return
	}
	out := front.Rule{Match: b.Match, Larger: uint64(r.size(b.Larger, 0, 1<<40, 0)), Product: &p.Product}
	if _, err := path.Match(b.Match, "x"); err != nil {
		r.refuse(b.Range, "Bad pattern", "%q: %v.", b.Match, err)
	}
	for _, s := range b.For {
		sort := front.Sort(s)
		switch sort {
		case front.Read, front.Look:
			if p.Kind != 0 {
				r.refuse(b.Range, "Kind does not fit", "%q operations change nothing, so product %q has to be replayable.", s, p.Name)
			}
		case front.Write:
			if p.Kind != 0 || !p.InTurn {
				r.refuse(b.Range, "Kind does not fit",
					"%q operations put bytes at their place: product %q has to be replayable and in_turn, so that an old write never comes after a new one.", s, p.Name)
			}
		case front.Change:
			if group := r.group(g, p.Name); p.Kind != 1 || group != "shard" {
				r.refuse(b.Range, "Kind does not fit",
					"%q operations change a record at its home shard: product %q has to be referenced with group \"shard\".", s, p.Name)
			}
		default:
			r.refuse(b.Range, "No such operation", "Operations are \"read\", \"write\", \"look\" and \"change\", not %q.", s)
		}
		if out.Match == "" && out.Larger == 0 {
			fits[sort] = true
		}
		out.Sorts = append(out.Sorts, sort)
	}
	v.Rules = append(v.Rules, out)
}

func (r *reader) group(g *Gateway, product string) string {
	for i := range len(g.Products) {
		if n := "products." + strconv.Itoa(i); g.Terms[n+".name"] == product {
			return g.Terms[n+".group"]
		}
	}
	return ""
}
