package day

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Script is a scenario: what is started, what the clients do, and which faults happen when.
type Script struct {
	Seed       uint64
	Length     time.Duration
	Config     string // path of the gateways' configuration
	Gateways   int
	Shards     int           // in place of the configuration's; 0: as it has them
	DrainGrace time.Duration // of the rule on draining nodes
	Slack      time.Duration // an answer counts for so long after the client's deadline
	Transit    time.Duration // longest way of an attempt from a gateway to a node
	Fleet      FleetPlan
	Nodes      []NodePlan
	Clients    []ClientPlan
	Faults     []FaultPlan
}

// FleetPlan is the replicas of a scenario; it has none where Replicas is 0.
type FleetPlan struct {
	Replicas      int
	LeaseDuration time.Duration
	MaxClockDrift float64
	Fallback      time.Duration // how long a gateway whose lease has expired serves on
	Peers         bool          // gateways reach each other, and allocate the budget of nodes that warm up
	Changes       []ChangePlan
}

// ChangePlan is a change of a service level's rate limit, which is repeated where Every is over 0.
type ChangePlan struct {
	At           time.Duration
	Every        time.Duration
	ServiceLevel string
	RateLimit    float64 // units a second; each repetition raises it by 1
	Proposers    int     // operators who propose at the same time, each another limit
}

// repetitions is how often a change is repeated within a scenario.
func (c ChangePlan) repetitions(length time.Duration) int {
	if c.Every <= 0 || c.At > length {
		return 0
	}
	return int((length - c.At) / c.Every)
}

// NodePlan is a test node of a script.
type NodePlan struct {
	Name               string
	Shard              int
	Zone               string
	Cores              int
	UnitTime           time.Duration // of a core for a unit
	Queue              int           // attempts that may wait
	DeferredWriteShare float64       // share of a write's time that is done later, in one go
}

// Operation is what a scripted client does.
type Operation string

// The operations of scripted clients.
const (
	OperationRead      Operation = "read"
	OperationWrite     Operation = "write" // in place
	OperationCreate    Operation = "create"
	OperationStat      Operation = "look"
	OperationDiskRead  Operation = "disk-read"
	OperationDiskWrite Operation = "disk-write"
)

// onDisk says whether the operation is one on a volume's disk.
func (o Operation) onDisk() bool { return strings.HasPrefix(string(o), "disk-") }

// sendsData says whether a request of the operation carries data.
func (o Operation) sendsData() bool {
	return o == OperationWrite || o == OperationCreate || o == OperationDiskWrite
}

// ClientPlan is a group of clients that do the same.
type ClientPlan struct {
	Name        string
	Count       int
	Volume      string
	Operation   Operation
	Rate        float64       // requests a second of each
	Bytes       int           // of a request
	Files       int           // of each client
	Blocks      int           // requests that fill a file
	Retries     int           // after an answer that is not what was requested
	RetryDelay  time.Duration // before a retry
	CancelAfter time.Duration // closes the connection when a request takes longer; 0: never
	Gateway     string        // that they use; empty: spread over all
	From        time.Duration // after the start, when they begin
	Until       time.Duration // and when they end; 0: at the end of the scenario
}

// Actions of faults beside the commands of test nodes and the link faults of package rig.
const (
	actionKill    = "kill"    // of a gateway or replica: it is started again at the end of the fault
	actionPause   = "stop"    // of a gateway or replica: SIGSTOP, and SIGCONT at the end of the fault
	actionCrash   = "die"     // of a node: it stops at once; a new one takes its place at the end of the fault
	actionReplace = "replace" // of a node: a new one takes its place, and the old one drains
	actionRecover = "well"    // ends the faults of a node
)

// allReplicas names all replicas in a fault.
const allReplicas = "all"

// FaultPlan is something that happens at a time.
type FaultPlan struct {
	At, For          time.Duration
	Replica          string   // its name, or all
	Between          []string // two sides of a network fault, each names of replicas and gateways with commas between
	Node             string
	Gateway          string
	ManagementServer string // a command to it, where gateways have their endpoint list from one
	Action           string
}

// Load reads a script from a file. The path of its configuration is relative to the file's folder.
func Load(file string) (*Script, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	script, err := Parse(file, source)
	if err != nil {
		return nil, err
	}
	if !filepath.IsAbs(script.Config) {
		script.Config = filepath.Join(filepath.Dir(file), script.Config)
	}
	return script, nil
}

// Processes have a letter and a number as their name: g1 is a gateway, k1 a replica.
const (
	gatewayPrefix = "g"
	replicaPrefix = "k"
)

func gatewayName(number int) string { return fmt.Sprintf("%s%d", gatewayPrefix, number) }

func replicaName(number int) string { return fmt.Sprintf("%s%d", replicaPrefix, number) }

// isGateway says whether a scenario with so many gateways has one of the name.
func isGateway(name string, gateways int) bool {
	for number := range gateways {
		if name == gatewayName(number+1) {
			return true
		}
	}
	return false
}

// isReplica says whether a scenario with so many replicas has one of the name.
func isReplica(name string, replicas int) bool {
	for number := range replicas {
		if name == replicaName(number+1) {
			return true
		}
	}
	return false
}
