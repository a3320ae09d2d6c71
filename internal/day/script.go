package day

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Script describes a scenario: its processes, the requests of its clients, and the times of faults and changes.
type Script struct {
	Seed       uint64
	Length     time.Duration
	Config     string // path of the gateways' configuration
	Gateways   int
	Shards     int           // overrides the number in Config; 0: not overridden
	DrainGrace time.Duration // see audit.Parameters
	Slack      time.Duration // how long after the client's deadline a response still counts
	Transit    time.Duration // longest time for an attempt to get from a gateway to a node
	Fleet      FleetPlan
	Nodes      []NodePlan
	Clients    []ClientPlan
	Faults     []FaultPlan
}

// FleetPlan describes the replicas of a scenario and the changes proposed to them. If Replicas is 0, there are none.
type FleetPlan struct {
	Replicas      int
	LeaseDuration time.Duration
	MaxClockDrift float64
	Fallback      time.Duration // how long a gateway keeps serving after its lease has expired
	Peers         bool          // gateways connect to each other and allocate the slow-start budgets of nodes
	Changes       []ChangePlan
}

// ChangePlan is a change of a service level's rate limit. It is repeated if Every is above 0.
type ChangePlan struct {
	At           time.Duration
	Every        time.Duration
	ServiceLevel string
	RateLimit    float64 // units per second; each repetition raises it by 1
	Proposers    int     // operators that propose concurrently, each a different limit
}

// repetitions returns how often the change is repeated in a scenario of the given length.
func (c ChangePlan) repetitions(length time.Duration) int {
	if c.Every <= 0 || c.At > length {
		return 0
	}
	return int((length - c.At) / c.Every)
}

// NodePlan describes a test node of a script.
type NodePlan struct {
	Name               string
	Shard              int
	Zone               string
	Cores              int
	UnitTime           time.Duration // time that a core needs for one unit
	Queue              int           // capacity of the queue, in attempts
	DeferredWriteShare float64       // share of a write's execution time that is deferred and spent in batches
}

// Operation is the kind of request that a scripted client sends.
type Operation string

// The operations of scripted clients.
const (
	OperationRead      Operation = "read"
	OperationWrite     Operation = "write" // overwrites a part of an existing file
	OperationCreate    Operation = "create"
	OperationStat      Operation = "look"
	OperationDiskRead  Operation = "disk-read"
	OperationDiskWrite Operation = "disk-write"
)

// onDisk reports whether the operation is one on a disk, which is accessed through iSCSI.
func (o Operation) onDisk() bool { return strings.HasPrefix(string(o), "disk-") }

// sendsData reports whether requests of this operation carry data.
func (o Operation) sendsData() bool {
	return o == OperationWrite || o == OperationCreate || o == OperationDiskWrite
}

// ClientPlan describes a group of clients that behave alike.
type ClientPlan struct {
	Name        string
	Count       int
	Volume      string
	Operation   Operation
	Rate        float64       // mean requests per second of each client
	Bytes       int           // data of a request
	Files       int           // number of files of each client
	Blocks      int           // size of a file, or of the client's part of the disk, in multiples of Bytes
	Retries     int           // largest number of retries of a request
	RetryDelay  time.Duration // pause before a retry
	CancelAfter time.Duration // the client closes its connection when a request takes longer; 0: never
	Gateway     string        // gateway that the clients use; empty: they are spread over all gateways
	From        time.Duration // time from the start of the scenario to the first requests
	Until       time.Duration // time from the start of the scenario to the last requests; 0: until its end
}

// Actions of faults, in addition to the commands of test nodes and the link faults of package rig.
const (
	actionKill    = "kill"    // of a gateway or replica: killed, and started again at the end of the fault
	actionPause   = "stop"    // of a gateway or replica: SIGSTOP, and SIGCONT at the end of the fault
	actionCrash   = "die"     // of a node: stops at once, and is replaced at the end of the fault
	actionReplace = "replace" // of a node: drains while a new node replaces it
	actionRecover = "well"    // of a node: ends its faults
)

// allReplicas is the value of FaultPlan.Replica that selects all replicas.
const allReplicas = "all"

// FaultPlan is a fault, or a command to the management server, at a time of the scenario.
type FaultPlan struct {
	At, For          time.Duration
	Replica          string   // name, or allReplicas
	Between          []string // two sides of a network fault, each a comma-separated list of replicas and gateways
	Node             string
	Gateway          string
	ManagementServer string // a command to it; ignored if there is no such server
	Action           string
}

// Load reads a script from a file. A relative path of the configuration is relative to the folder of that file.
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

// The name of a process is a prefix and a number, which starts at 1: g1 is a gateway, k1 a replica.
const (
	gatewayPrefix = "g"
	replicaPrefix = "k"
)

func gatewayName(number int) string { return fmt.Sprintf("%s%d", gatewayPrefix, number) }

func replicaName(number int) string { return fmt.Sprintf("%s%d", replicaPrefix, number) }

// isGateway reports whether a scenario with the given number of gateways has one with this name.
func isGateway(name string, gateways int) bool {
	for number := range gateways {
		if name == gatewayName(number+1) {
			return true
		}
	}
	return false
}

// isReplica reports whether a scenario with the given number of replicas has one with this name.
func isReplica(name string, replicas int) bool {
	for number := range replicas {
		if name == replicaName(number+1) {
			return true
		}
	}
	return false
}
