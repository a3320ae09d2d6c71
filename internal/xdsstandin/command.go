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

// Commands describes the commands that Command executes, one per line.
const Commands = `add ADDR SHARD [ZONE]     add a node that has just started
drain ADDR                mark a node as draining
unwell ADDR               mark a node as unhealthy
ready ADDR                mark a node as healthy
remove ADDR               remove a node
nothing                   remove all nodes
everybody STANDING        mark all nodes as ready, draining or unwell
broken endpoints|clusters serve a malformed resource
mend                      serve the correct resources under the version of the malformed one
old                       revert the last change and cut all streams
cut                       cut all streams
refuse on|off             refuse new streams
slow SPAN                 delay each response by SPAN, such as 500ms
mute on|off               send no responses
nonces on|off             use the same nonce in all responses
blurt                     send all endpoints to all clients, requested or not
restart                   restart the server, with versions from the beginning`

// maxArguments is the largest number of arguments of a command.
const maxArguments = 3

// malformedAddress is the address of the endpoint in a malformed assignment.
const malformedAddress = "127.0.0.1:1"

// command is a parsed command. Arguments that are not given are empty.
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

// healthOfCommand maps a word in a command to a node's health.
var healthOfCommand = map[string]endpoint.Health{
	"drain":    endpoint.Draining,
	"draining": endpoint.Draining,
	"unwell":   endpoint.Unhealthy,
	"ready":    endpoint.Ready,
}

// Command executes one of the commands that Commands describes.
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
		return s.putMalformed(argument)
	case "mend":
		s.repair()
	case "old":
		s.Revert()
	case "cut":
		s.CutStreams()
	case "refuse":
		return s.setFault(parsed, &s.faults.refuseStreams)
	case "mute":
		return s.setFault(parsed, &s.faults.silent)
	case "nonces":
		return s.setFault(parsed, &s.faults.sameNonce)
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
		return fmt.Errorf("shard %q is not a number", shardText)
	}
	s.UpdateNodes(func(nodes []endpoint.Node) []endpoint.Node {
		added := endpoint.Node{Addr: address, Shard: shard, Zone: zone, StartedAt: time.Now().UnixNano()}
		return append(nodes, added)
	})
	return nil
}

func (s *Server) setHealth(address string, health endpoint.Health) error {
	err := fmt.Errorf("no node %q", address)
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

// setHealthOfAll sets the health of all nodes, except those that are removed.
func (s *Server) setHealthOfAll(word string) error {
	health, known := healthOfCommand[word]
	if !known {
		return fmt.Errorf("standing must be ready, draining or unwell, not %q", word)
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

// putMalformed serves a malformed resource for the first cluster: an endpoint without metadata, or a cluster without an
// EDS configuration.
func (s *Server) putMalformed(what string) error {
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
		return fmt.Errorf("broken must be followed by endpoints or clusters, not %q", what)
	}
	return nil
}

// repair rebuilds the resources from the nodes and serves them under the version that the malformed ones had.
func (s *Server) repair() {
	s.lock.Lock()
	for resourceType := range s.resources {
		s.lastVersions[resourceType]--
	}
	s.rebuild()
	for resourceType, version := range s.versions {
		// A type without malformed resources keeps its version.
		s.lastVersions[resourceType] = max(s.lastVersions[resourceType], version)
	}
	for st := range s.streams {
		for _, sub := range st.subscriptions {
			sub.changed = true // the content differs although the version is the same
			clear(sub.sentVersions)
		}
	}
	s.lock.Unlock()
	s.changed.Broadcast()
}

// setFault turns a fault on or off, as the command's argument says.
func (s *Server) setFault(c command, fault *bool) error {
	argument := c.arguments[0]
	if argument != "on" && argument != "off" {
		return fmt.Errorf("%s must be on or off, not %q", c.name, argument)
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
		return fmt.Errorf("slow %q: not a duration such as 500ms", text)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults.delay = delay
	return nil
}
