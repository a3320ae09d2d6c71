package xdsstandin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
)

// Commands lists what Command understands.
const Commands = `add ADDR SHARD [ZONE]     a node, started now
drain ADDR                one is draining
unwell ADDR               one is not healthy
ready ADDR                one is healthy
remove ADDR               one is left out
nothing                   no node is left
everybody STANDING        ready, draining or unwell, all at once
broken endpoints|clusters an update that is wrong
mend                      the update that is right, with the version that the wrong one had
old                       back to what was before the last change, after a cut
cut                       all streams are cut
refuse on|off             new streams are refused
slow SPAN                 answers take so long
mute on|off               nothing goes out any more
nonces on|off             all answers have one nonce
blurt                     endpoints go out without being asked for
restart                   the server starts anew, with its versions`

// maxArguments is how many arguments a command has at most.
const maxArguments = 3

// malformedAddress is that of the node in a broken update.
const malformedAddress = "127.0.0.1:1"

// command is a command with its arguments; those that are not given are empty.
type command struct {
	name      string
	arguments [maxArguments]string
}

func parseCommand(text string) command {
	words := strings.Fields(text)
	if len(words) == 0 {
		return command{}
	}
	parsed := command{name: words[0]}
	copy(parsed.arguments[:], words[1:])
	return parsed
}

// healthOfCommand is the health that a word in a command stands for.
var healthOfCommand = map[string]endpoint.Health{
	"drain":    endpoint.Draining,
	"draining": endpoint.Draining,
	"unwell":   endpoint.Unhealthy,
	"ready":    endpoint.Ready,
}

// Command executes one of the commands that Commands lists.
func (s *Server) Command(text string) error {
	parsed := parseCommand(text)
	argument := parsed.arguments[0]
	switch parsed.name {
	case "add":
		return s.addNode(parsed)
	case "drain", "unwell", "ready":
		return s.setHealth(argument, healthOfCommand[parsed.name])
	case "remove":
		return s.setHealth(argument, endpoint.Removed)
	case "nothing":
		s.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return nil })
	case "everybody":
		return s.setHealthOfAll(argument)
	case "broken":
		return s.putBroken(argument)
	case "mend":
		s.repair()
	case "old":
		s.Revert()
	case "cut":
		s.CutStreams()
	case "refuse":
		return s.switchFault(parsed, &s.faults.refuseStreams)
	case "mute":
		return s.switchFault(parsed, &s.faults.silent)
	case "nonces":
		return s.switchFault(parsed, &s.faults.sameNonce)
	case "slow":
		return s.setDelay(argument)
	case "blurt":
		s.SendUnrequested(xds.EndpointType)
	case "restart":
		return s.Restart()
	default:
		return fmt.Errorf("no such command: %q", strings.TrimSpace(text))
	}
	return nil
}

func (s *Server) addNode(c command) error {
	address, shardText, zone := c.arguments[0], c.arguments[1], c.arguments[2]
	shard, err := strconv.Atoi(shardText)
	if err != nil {
		return fmt.Errorf("shard %q is no number", shardText)
	}
	s.UpdateNodes(func(nodes []endpoint.Node) []endpoint.Node {
		added := endpoint.Node{Addr: address, Shard: shard, Zone: zone, StartedAt: time.Now().UnixNano()}
		return append(nodes, added)
	})
	return nil
}

func (s *Server) setHealth(address string, health endpoint.Health) error {
	err := fmt.Errorf("there is no node %q", address)
	s.UpdateNodes(func(nodes []endpoint.Node) []endpoint.Node {
		for i := range nodes {
			if nodes[i].Addr == address {
				nodes[i].Health = health
				err = nil
			}
		}
		return nodes
	})
	return err
}

// setHealthOfAll sets the health of all nodes that are not removed.
func (s *Server) setHealthOfAll(word string) error {
	health, known := healthOfCommand[word]
	if !known {
		return fmt.Errorf("a standing is ready, draining or unwell, not %q", word)
	}
	s.UpdateNodes(func(nodes []endpoint.Node) []endpoint.Node {
		for i := range nodes {
			if nodes[i].Health != endpoint.Removed {
				nodes[i].Health = health
			}
		}
		return nodes
	})
	return nil
}

// putBroken puts a malformed resource of the first cluster in force.
func (s *Server) putBroken(what string) error {
	name := s.clusterName(0)
	switch what {
	case "endpoints":
		assignment := Assignment(name, []endpoint.Node{{Addr: malformedAddress}})
		assignment.Endpoints[0].LbEndpoints[0].Metadata = nil
		s.PutResources(xds.EndpointType, map[string]proto.Message{name: assignment})
	case "clusters":
		cluster := Cluster(name)
		cluster.EdsClusterConfig = nil
		s.PutResources(xds.ClusterType, map[string]proto.Message{name: cluster})
	default:
		return fmt.Errorf("endpoints or clusters can be broken, not %q", what)
	}
	return nil
}

// repair puts the resources of the nodes in force again, with the version that the broken ones had.
func (s *Server) repair() {
	s.lock.Lock()
	for resourceType := range s.resources {
		s.lastVersions[resourceType]--
	}
	s.rebuild()
	for resourceType, version := range s.versions {
		// What was not broken keeps its version.
		s.lastVersions[resourceType] = max(s.lastVersions[resourceType], version)
	}
	for st := range s.streams {
		for _, sub := range st.subscriptions {
			sub.changed = true // the version is the same, its content is not
			clear(sub.sentVersions)
		}
	}
	s.lock.Unlock()
	s.changed.Broadcast()
}

// switchFault switches a fault on or off.
func (s *Server) switchFault(c command, fault *bool) error {
	argument := c.arguments[0]
	if argument != "on" && argument != "off" {
		return fmt.Errorf("%s is on or off, not %q", c.name, argument)
	}
	s.lock.Lock()
	*fault = argument == "on"
	s.lock.Unlock()
	s.changed.Broadcast()
	return nil
}

func (s *Server) setDelay(text string) error {
	delay, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("slow %q: a span such as 500ms is expected", text)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults.delay = delay
	return nil
}
