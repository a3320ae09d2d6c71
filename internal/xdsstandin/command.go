package xdsstandin

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
)

// Commands tells what Command understands.
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

var standings = map[string]endpoint.Health{"drain": endpoint.Draining, "unwell": endpoint.Unhealthy, "ready": endpoint.Ready, "draining": endpoint.Draining}

// Command does one of the things that Commands tells.
func (s *Server) Command(text string) error {
	w := append(strings.Fields(text), "", "", "", "")
	one := func(f func(*endpoint.Node)) error {
		err := fmt.Errorf("there is no node %q", w[1])
		s.UpdateNodes(func(list []endpoint.Node) []endpoint.Node {
			for i := range list {
				if list[i].Addr == w[1] {
					f(&list[i])
					err = nil
				}
			}
			return list
		})
		return err
	}
	set := func(flag *bool) error {
		if w[1] != "on" && w[1] != "off" {
			return fmt.Errorf("%s is on or off, not %q", w[0], w[1])
		}
		s.lock.Lock()
		*flag = w[1] == "on"
		s.lock.Unlock()
		s.cond.Broadcast()
		return nil
	}
	switch w[0] {
	case "add":
		shard, err := strconv.Atoi(w[2])
		if err != nil {
			return fmt.Errorf("shard %q is no number", w[2])
		}
		s.UpdateNodes(func(list []endpoint.Node) []endpoint.Node {
			return append(list, endpoint.Node{Addr: w[1], Shard: shard, Zone: w[3], StartedAt: time.Now().UnixNano()})
		})
	case "drain", "unwell", "ready":
		return one(func(n *endpoint.Node) { n.Health = standings[w[0]] })
	case "remove":
		return one(func(n *endpoint.Node) { n.Health = endpoint.Removed })
	case "nothing":
		s.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return nil })
	case "everybody":
		to, known := standings[w[1]]
		if !known {
			return fmt.Errorf("a standing is ready, draining or unwell, not %q", w[1])
		}
		s.UpdateNodes(func(list []endpoint.Node) []endpoint.Node {
			for i := range list {
				if list[i].Health != endpoint.Removed {
					list[i].Health = to
				}
			}
			return list
		})
	case "broken":
		switch w[1] {
		case "endpoints":
			a := Assignment(s.name(0), []endpoint.Node{{Addr: "127.0.0.1:1"}})
			a.Endpoints[0].LbEndpoints[0].Metadata = nil
			s.PutResources(xds.EndpointType, map[string]proto.Message{s.name(0): a})
		case "clusters":
			c := Cluster(s.name(0))
			c.EdsClusterConfig = nil
			s.PutResources(xds.ClusterType, map[string]proto.Message{s.name(0): c})
		default:
			return fmt.Errorf("endpoints or clusters can be broken, not %q", w[1])
		}
	case "mend":
		s.lock.Lock()
		for kind := range s.resources {
			s.seen[kind]--
		}
		s.build()
		for kind, v := range s.versions {
			s.seen[kind] = max(s.seen[kind], v) // what was not wrong keeps its version
		}
		for c := range s.streams {
			for _, b := range c.subs {
				b.news = true // the version is the same, what it stands for is not
				clear(b.sent)
			}
		}
		s.lock.Unlock()
		s.cond.Broadcast()
	case "old":
		s.Revert()
	case "cut":
		s.CutStreams()
	case "refuse":
		return set(&s.fault.refuse)
	case "mute":
		return set(&s.fault.muted)
	case "nonces":
		return set(&s.fault.nonce)
	case "slow":
		d, err := time.ParseDuration(w[1])
		if err != nil {
			return fmt.Errorf("slow %q: a span such as 500ms is expected", w[1])
		}
		s.lock.Lock()
		s.fault.slow = d
		s.lock.Unlock()
	case "blurt":
		s.SendUnrequested(xds.EndpointType)
	case "restart":
		return s.Restart()
	default:
		return fmt.Errorf("no such command: %q", strings.TrimSpace(text))
	}
	return nil
}

// Nodes are the nodes as they are served.
func (s *Server) Nodes() []endpoint.Node {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.nodes)
}
