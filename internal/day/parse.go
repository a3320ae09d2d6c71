package day

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"irispost/internal/fleet/rig"
)

// Limits and defaults of scripts.
const (
	maxGateways      = 64
	maxPeers         = 16 // gateways with a link for each pair
	maxLength        = time.Hour
	maxRate          = 1e5
	maxRequestBytes  = 256 << 10
	defaultBytes     = 16 << 10
	defaultTransit   = 50 * time.Millisecond
	defaultGrace     = 2 * time.Second
	defaultSlack     = 250 * time.Millisecond
	defaultLease     = time.Second
	defaultRetryWait = 100 * time.Millisecond
)

var operations = []Operation{
	OperationRead, OperationWrite, OperationCreate, OperationStat, OperationDiskRead, OperationDiskWrite,
}

// nodeActions are the first words of what can happen to a node: commands of test nodes, and the two of this package.
var nodeActions = []string{
	"fail", "slow", "drop", "hang", "stall", "refuse", "cut", "reset", actionDie, actionReplace,
}

// ScriptError lists what is wrong with a script, each with its place.
type ScriptError struct{ Problems []string }

// Error returns the problems, a line each.
func (e *ScriptError) Error() string { return strings.Join(e.Problems, "\n") }

// Parse reads a script; file names it in errors. A script that is readable and wrong gives a *ScriptError.
func Parse(file string, source []byte) (*Script, error) {
	parsed, diagnostics := hclparse.NewParser().ParseHCL(source, file)
	if diagnostics.HasErrors() {
		return nil, diagnostics
	}
	var form scriptForm
	if diagnostics := gohcl.DecodeBody(parsed.Body, nil, &form); diagnostics.HasErrors() {
		return nil, diagnostics
	}
	p := &parser{
		form:  &form,
		top:   hcl.Range{Filename: file, Start: hcl.InitialPos, End: hcl.InitialPos},
		nodes: map[string]bool{},
	}
	script := p.script()
	if len(p.problems) > 0 {
		return nil, &ScriptError{p.problems}
	}
	return script, nil
}

// parser turns a script's form into a Script and collects what is wrong with it.
type parser struct {
	form     *scriptForm
	top      hcl.Range       // place of problems that concern no single block
	nodes    map[string]bool // names so far
	problems []string
}

func (p *parser) reject(at hcl.Range, format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf("%s: %s", at, fmt.Sprintf(format, args...)))
}

// duration parses a duration that is not negative; an empty text is the default.
func (p *parser) duration(at hcl.Range, key, text string, defaultValue time.Duration) time.Duration {
	if text == "" {
		return defaultValue
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		p.reject(at, "%s = %q is not a span such as \"2.5s\"", key, text)
	}
	return duration
}

func (p *parser) script() *Script {
	form := p.form
	script := &Script{
		Seed:       form.Seed,
		Transit:    p.duration(p.top, "transit", form.Transit, defaultTransit),
		Length:     p.duration(p.top, "length", form.Length, 0),
		Config:     form.Config,
		Gateways:   form.Gateways,
		Shards:     form.Shards,
		DrainGrace: p.duration(p.top, "grace", form.DrainGrace, defaultGrace),
		Slack:      p.duration(p.top, "slack", form.Slack, defaultSlack),
	}
	if script.Gateways < 1 || script.Gateways > maxGateways || script.Length <= 0 || script.Length > maxLength {
		p.reject(p.top, "a day has 1 to 64 gateways and lasts up to an hour")
	}
	script.Fleet = p.fleet()
	for _, node := range form.Nodes {
		script.Nodes = append(script.Nodes, p.node(node))
	}
	if len(p.nodes) == 0 || len(form.Clients) == 0 {
		p.reject(p.top, "a day needs a node and a client")
	}
	for _, client := range form.Clients {
		script.Clients = append(script.Clients, p.client(client))
	}
	for _, fault := range form.Faults {
		script.Faults = append(script.Faults, p.fault(fault))
	}
	return script
}

func (p *parser) fleet() FleetPlan {
	form := p.form
	fleet := FleetPlan{
		Replicas:      form.Replicas,
		LeaseDuration: p.duration(p.top, "lease", form.LeaseDuration, defaultLease),
		MaxClockDrift: form.MaxClockDrift,
		Fallback:      p.duration(p.top, "floor", form.Fallback, 0),
		Peers:         form.Peers,
	}
	if form.Peers && (form.Replicas == 0 || form.Gateways > maxPeers) {
		p.reject(p.top, "peers = true: a day with keepers and up to 16 gateways, as each pair has a link")
	}
	if !slices.Contains([]int{0, 1, 3, 5}, form.Replicas) {
		p.reject(p.top, "keepers = %d: one, three or five", form.Replicas)
	}
	for _, change := range form.Changes {
		if form.Replicas == 0 {
			p.reject(change.Range, "the day has no keepers")
		}
		fleet.Changes = append(fleet.Changes, ChangePlan{
			At:           p.duration(change.Range, "at", change.At, 0),
			Every:        p.duration(change.Range, "every", change.Every, 0),
			ServiceLevel: change.ServiceLevel,
			RateLimit:    change.RateLimit,
			Proposers:    change.Proposers,
		})
	}
	return fleet
}

func (p *parser) node(form nodeForm) NodePlan {
	if p.nodes[form.Name] {
		p.reject(form.Range, "there is a node %q already", form.Name)
	}
	p.nodes[form.Name] = true
	return NodePlan{
		Name:               form.Name,
		Shard:              form.Shard,
		Zone:               form.Zone,
		Cores:              max(form.Cores, 1),
		UnitTime:           p.duration(form.Range, "unit", form.UnitTime, 0),
		Queue:              max(form.Queue, 1),
		DeferredWriteShare: form.DeferredWriteShare,
	}
}

func (p *parser) client(form clientForm) ClientPlan {
	if !slices.Contains(operations, Operation(form.Operation)) {
		p.reject(form.Range,
			"do = %q: clients \"read\", \"write\", \"create\", \"look\", \"disk-read\" or \"disk-write\"", form.Operation)
	}
	if form.Rate <= 0 || form.Rate > maxRate {
		p.reject(form.Range, "rate = %v is not over 0 and up to 100000", form.Rate)
	}
	if form.Gateway != "" && !isGateway(form.Gateway, p.form.Gateways) {
		p.rejectGateway(form.Range, form.Gateway)
	}
	if form.Bytes == 0 {
		form.Bytes = defaultBytes
	}
	if form.Bytes%blockSize != 0 || form.Bytes < 0 || form.Bytes > maxRequestBytes {
		p.reject(form.Range, "bytes = %d is not a multiple of %d up to %d", form.Bytes, blockSize, maxRequestBytes)
	}
	return ClientPlan{
		Name:        form.Name,
		Count:       max(form.Count, 1),
		Volume:      form.Volume,
		Operation:   Operation(form.Operation),
		Rate:        form.Rate,
		Bytes:       form.Bytes,
		Files:       max(form.Files, 1),
		Blocks:      max(form.Blocks, 1),
		Retries:     form.Retries,
		RetryDelay:  p.duration(form.Range, "pause", form.RetryDelay, defaultRetryWait),
		CancelAfter: p.duration(form.Range, "leaves_after", form.CancelAfter, 0),
		Gateway:     form.Gateway,
		From:        p.duration(form.Range, "from", form.From, 0),
		Until:       p.duration(form.Range, "until", form.Until, 0),
	}
}

func (p *parser) rejectGateway(at hcl.Range, name string) {
	p.reject(at, "there is no gateway %q, they are called g1 to g%d", name, p.form.Gateways)
}

func (p *parser) fault(form faultForm) FaultPlan {
	action, _, _ := strings.Cut(form.Action, " ")
	needsReplicas := form.Replica != "" || len(form.Between) > 0 || action == actionStop
	switch {
	case form.ManagementServer != "":
		if form.Gateway != "" || form.Node != "" || form.Action != "" {
			p.reject(form.Range, "plane = %q stands alone", form.ManagementServer)
		}
	case needsReplicas && p.form.Replicas == 0:
		p.reject(form.Range, "the day has no keepers")
	case len(form.Between) > 0:
		p.checkNetworkFault(form)
	case form.Replica != "":
		p.checkReplicaFault(form, action)
	case form.Gateway != "":
		p.checkGatewayFault(form, action)
	case !p.nodes[form.Node]:
		p.reject(form.Range, "there is no node %q", form.Node)
	case !slices.Contains(nodeActions, action):
		p.reject(form.Range, "do = %q: no such trouble", form.Action)
	}
	return FaultPlan{
		At:               p.duration(form.Range, "at", form.At, 0),
		For:              p.duration(form.Range, "for", form.For, 0),
		Replica:          form.Replica,
		Between:          form.Between,
		Node:             form.Node,
		Gateway:          form.Gateway,
		ManagementServer: form.ManagementServer,
		Action:           form.Action,
	}
}

func (p *parser) checkNetworkFault(form faultForm) {
	if _, err := rig.ParseFault(form.Action); err != nil || len(form.Between) != 2 {
		p.reject(form.Range, "between = [\"k1\", \"g1,g2\"] names two sides; %v", err)
	}
	for _, name := range strings.Split(strings.Join(form.Between, ","), ",") {
		if !isGateway(name, p.form.Gateways) && !isReplica(name, p.form.Replicas) {
			p.reject(form.Range, "there is no process %q", name)
		}
	}
}

func (p *parser) checkReplicaFault(form faultForm, action string) {
	known := form.Replica == allReplicas || isReplica(form.Replica, p.form.Replicas)
	possible := action == actionKill || action == actionStop && form.Replica != allReplicas
	if !known || !possible {
		p.reject(form.Range, "keeper = %q, do = %q: k1 to k%d can be killed or stopped, all can be killed",
			form.Replica, form.Action, p.form.Replicas)
	}
}

func (p *parser) checkGatewayFault(form faultForm, action string) {
	known := isGateway(form.Gateway, p.form.Gateways)
	switch {
	case action == actionStop && known:
	case action != actionKill:
		p.reject(form.Range, "do = %q: gateways can be killed only", form.Action)
	case !known:
		p.rejectGateway(form.Range, form.Gateway)
	}
}
