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

// Limits and default values of scripts.
const (
	maxGateways          = 64
	maxGatewaysWithPeers = 16 // each pair of gateways has a link
	maxLength            = time.Hour
	maxRate              = 1e5
	maxRequestBytes      = 256 << 10
	defaultBytes         = 16 << 10
	defaultTransit       = 50 * time.Millisecond
	defaultDrainGrace    = 2 * time.Second
	defaultSlack         = 250 * time.Millisecond
	defaultLease         = time.Second
	defaultRetryDelay    = 100 * time.Millisecond
)

var operations = []Operation{
	OperationRead, OperationWrite, OperationCreate, OperationStat, OperationDiskRead, OperationDiskWrite,
}

// nodeActions are the first words of the actions on nodes: commands of test nodes, and two actions of this package.
var nodeActions = []string{
	"fail", "slow", "drop", "hang", "stall", "refuse", "cut", "reset", actionCrash, actionReplace,
}

// ScriptError lists the problems of a script, each with its position in the file.
type ScriptError struct{ Problems []string }

// Error returns the problems, one per line.
func (e *ScriptError) Error() string { return strings.Join(e.Problems, "\n") }

// Parse parses a script. The file name is used in errors. For a script that can be decoded but has invalid values, it
// returns a *ScriptError.
func Parse(file string, source []byte) (*Script, error) {
	parsed, diagnostics := hclparse.NewParser().ParseHCL(source, file)
	if diagnostics.HasErrors() {
		return nil, diagnostics
	}
	var decoded scriptFile
	if diagnostics := gohcl.DecodeBody(parsed.Body, nil, &decoded); diagnostics.HasErrors() {
		return nil, diagnostics
	}
	p := &parser{
		file:      &decoded,
		fileRange: hcl.Range{Filename: file, Start: hcl.InitialPos, End: hcl.InitialPos},
		nodes:     map[string]bool{},
	}
	script := p.script()
	if len(p.problems) > 0 {
		return nil, &ScriptError{p.problems}
	}
	return script, nil
}

// parser converts a decoded script file to a Script and collects its problems.
type parser struct {
	file      *scriptFile
	fileRange hcl.Range       // position of problems that concern no single block
	nodes     map[string]bool // names of the nodes so far
	problems  []string
}

func (p *parser) addProblem(at hcl.Range, format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf("%s: %s", at, fmt.Sprintf(format, args...)))
}

// duration parses a duration, which must not be negative. If the text is empty, it returns the default value.
func (p *parser) duration(at hcl.Range, key, text string, defaultValue time.Duration) time.Duration {
	if text == "" {
		return defaultValue
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		p.addProblem(at, "%s = %q is not a duration such as \"2.5s\"", key, text)
	}
	return duration
}

func (p *parser) script() *Script {
	file := p.file
	script := &Script{
		Seed:       file.Seed,
		Transit:    p.duration(p.fileRange, "transit", file.Transit, defaultTransit),
		Length:     p.duration(p.fileRange, "length", file.Length, 0),
		Config:     file.Config,
		Gateways:   file.Gateways,
		Shards:     file.Shards,
		DrainGrace: p.duration(p.fileRange, "grace", file.DrainGrace, defaultDrainGrace),
		Slack:      p.duration(p.fileRange, "slack", file.Slack, defaultSlack),
	}
	if script.Gateways < 1 || script.Gateways > maxGateways || script.Length <= 0 || script.Length > maxLength {
		p.addProblem(p.fileRange, "a scenario has 1 to 64 gateways and a length of up to an hour")
	}
	script.Fleet = p.fleet()
	for _, node := range file.Nodes {
		script.Nodes = append(script.Nodes, p.node(node))
	}
	if len(p.nodes) == 0 || len(file.Clients) == 0 {
		p.addProblem(p.fileRange, "a scenario needs at least one node and one client")
	}
	for _, client := range file.Clients {
		script.Clients = append(script.Clients, p.client(client))
	}
	for _, fault := range file.Faults {
		script.Faults = append(script.Faults, p.fault(fault))
	}
	return script
}

func (p *parser) fleet() FleetPlan {
	file := p.file
	fleet := FleetPlan{
		Replicas:      file.Replicas,
		LeaseDuration: p.duration(p.fileRange, "lease", file.LeaseDuration, defaultLease),
		MaxClockDrift: file.MaxClockDrift,
		Fallback:      p.duration(p.fileRange, "floor", file.Fallback, 0),
		Peers:         file.Peers,
	}
	if file.Peers && (file.Replicas == 0 || file.Gateways > maxGatewaysWithPeers) {
		p.addProblem(p.fileRange, "peers = true needs keepers and at most 16 gateways, as each pair of gateways has a link")
	}
	if !slices.Contains([]int{0, 1, 3, 5}, file.Replicas) {
		p.addProblem(p.fileRange, "keepers = %d is not 0, 1, 3 or 5", file.Replicas)
	}
	for _, change := range file.Changes {
		if file.Replicas == 0 {
			p.addProblem(change.Range, "a change block needs keepers, and the scenario has none")
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

func (p *parser) node(block nodeBlock) NodePlan {
	if p.nodes[block.Name] {
		p.addProblem(block.Range, "node %q is defined more than once", block.Name)
	}
	p.nodes[block.Name] = true
	return NodePlan{
		Name:               block.Name,
		Shard:              block.Shard,
		Zone:               block.Zone,
		Cores:              max(block.Cores, 1),
		UnitTime:           p.duration(block.Range, "unit", block.UnitTime, 0),
		Queue:              max(block.Queue, 1),
		DeferredWriteShare: block.DeferredWriteShare,
	}
}

func (p *parser) client(block clientBlock) ClientPlan {
	if !slices.Contains(operations, Operation(block.Operation)) {
		p.addProblem(block.Range,
			"do = %q is not \"read\", \"write\", \"create\", \"look\", \"disk-read\" or \"disk-write\"", block.Operation)
	}
	if block.Rate <= 0 || block.Rate > maxRate {
		p.addProblem(block.Range, "rate = %v is not above 0 and at most 100000", block.Rate)
	}
	if block.Gateway != "" && !isGateway(block.Gateway, p.file.Gateways) {
		p.addUnknownGateway(block.Range, block.Gateway)
	}
	if block.Bytes == 0 {
		block.Bytes = defaultBytes
	}
	if block.Bytes%blockSize != 0 || block.Bytes < 0 || block.Bytes > maxRequestBytes {
		p.addProblem(block.Range, "bytes = %d is not a multiple of %d and at most %d",
			block.Bytes, blockSize, maxRequestBytes)
	}
	return ClientPlan{
		Name:        block.Name,
		Count:       max(block.Count, 1),
		Volume:      block.Volume,
		Operation:   Operation(block.Operation),
		Rate:        block.Rate,
		Bytes:       block.Bytes,
		Files:       max(block.Files, 1),
		Blocks:      max(block.Blocks, 1),
		Retries:     block.Retries,
		RetryDelay:  p.duration(block.Range, "pause", block.RetryDelay, defaultRetryDelay),
		CancelAfter: p.duration(block.Range, "leaves_after", block.CancelAfter, 0),
		Gateway:     block.Gateway,
		From:        p.duration(block.Range, "from", block.From, 0),
		Until:       p.duration(block.Range, "until", block.Until, 0),
	}
}

func (p *parser) addUnknownGateway(at hcl.Range, name string) {
	p.addProblem(at, "gateway %q does not exist, the gateways are g1 to g%d", name, p.file.Gateways)
}

func (p *parser) fault(block faultBlock) FaultPlan {
	action, _, _ := strings.Cut(block.Action, " ")
	needsReplicas := block.Replica != "" || len(block.Between) > 0 || action == actionPause
	switch {
	case block.ManagementServer != "":
		if block.Gateway != "" || block.Node != "" || block.Action != "" {
			p.addProblem(block.Range, "plane = %q cannot be combined with gateway, node or do", block.ManagementServer)
		}
	case needsReplicas && p.file.Replicas == 0:
		p.addProblem(block.Range, "this trouble block needs keepers, and the scenario has none")
	case len(block.Between) > 0:
		p.checkNetworkFault(block)
	case block.Replica != "":
		p.checkReplicaFault(block, action)
	case block.Gateway != "":
		p.checkGatewayFault(block, action)
	case !p.nodes[block.Node]:
		p.addProblem(block.Range, "node %q does not exist", block.Node)
	case !slices.Contains(nodeActions, action):
		p.addProblem(block.Range, "do = %q is not an action on nodes", block.Action)
	}
	return FaultPlan{
		At:               p.duration(block.Range, "at", block.At, 0),
		For:              p.duration(block.Range, "for", block.For, 0),
		Replica:          block.Replica,
		Between:          block.Between,
		Node:             block.Node,
		Gateway:          block.Gateway,
		ManagementServer: block.ManagementServer,
		Action:           block.Action,
	}
}

func (p *parser) checkNetworkFault(block faultBlock) {
	if _, err := rig.ParseFault(block.Action); err != nil || len(block.Between) != 2 {
		p.addProblem(block.Range, "between must name two sides, as in [\"k1\", \"g1,g2\"], and do a link fault: %v", err)
	}
	for _, name := range strings.Split(strings.Join(block.Between, ","), ",") {
		if !isGateway(name, p.file.Gateways) && !isReplica(name, p.file.Replicas) {
			p.addProblem(block.Range, "process %q does not exist", name)
		}
	}
}

func (p *parser) checkReplicaFault(block faultBlock, action string) {
	known := block.Replica == allReplicas || isReplica(block.Replica, p.file.Replicas)
	possible := action == actionKill || action == actionPause && block.Replica != allReplicas
	if !known || !possible {
		p.addProblem(block.Range, "keeper = %q, do = %q: k1 to k%d can be killed or stopped, \"all\" can only be killed",
			block.Replica, block.Action, p.file.Replicas)
	}
}

func (p *parser) checkGatewayFault(block faultBlock, action string) {
	known := isGateway(block.Gateway, p.file.Gateways)
	switch {
	case action == actionPause && known:
	case action != actionKill:
		p.addProblem(block.Range, "do = %q: an existing gateway can only be killed or stopped", block.Action)
	case !known:
		p.addUnknownGateway(block.Range, block.Gateway)
	}
}
