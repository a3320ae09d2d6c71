package xdsstandin

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
)

// maxHistory is how many earlier states Revert can go back to.
const maxHistory = 16

// resource is a resource with its version.
type resource struct {
	version int
	body    *anypb.Any
	ttl     time.Duration // 0: none
}

// resourcesByType are resources by type and name.
type resourcesByType map[string]map[string]resource

func newResources() resourcesByType {
	return resourcesByType{xds.ClusterType: {}, xds.EndpointType: {}}
}

// snapshot is what was served at a time.
type snapshot struct {
	resources resourcesByType
	versions  map[string]int
}

// rebuild makes the resources of the nodes. The lock is held.
func (s *Server) rebuild() {
	next := map[string]map[string]proto.Message{xds.ClusterType: {}, xds.EndpointType: {}}
	for index := range s.clusterCount {
		var nodes []endpoint.Node
		for _, node := range s.nodes {
			if node.Shard%s.clusterCount == index {
				nodes = append(nodes, node)
			}
		}
		name := s.clusterName(index)
		next[xds.ClusterType][name] = Cluster(name)
		next[xds.EndpointType][name] = Assignment(name, nodes)
	}
	s.replaceResources(next)
}

// replaceResources makes these the resources, with a new version for what differs. The lock is held.
func (s *Server) replaceResources(next map[string]map[string]proto.Message) {
	s.saveSnapshot()
	for resourceType, messages := range next {
		if s.replaceType(resourceType, messages) {
			s.nextVersion(resourceType)
		}
	}
	s.changed.Broadcast()
}

// replaceType replaces the resources of a type and says whether one has changed. The lock is held.
func (s *Server) replaceType(resourceType string, messages map[string]proto.Message) bool {
	current := s.resources[resourceType]
	changed := false
	for name, message := range messages {
		body := pack(message)
		old, exists := current[name]
		if exists && old.ttl == 0 && proto.Equal(old.body, body) {
			continue
		}
		current[name] = resource{version: s.lastVersions[resourceType] + 1, body: body}
		changed = true
	}
	for name := range current {
		if messages[name] == nil {
			delete(current, name)
			changed = true
		}
	}
	return changed
}

// nextVersion gives a type its next version and returns it. The lock is held.
func (s *Server) nextVersion(resourceType string) int {
	s.lastVersions[resourceType]++
	s.versions[resourceType] = s.lastVersions[resourceType]
	return s.versions[resourceType]
}

// saveSnapshot adds what is served to the history. The lock is held.
func (s *Server) saveSnapshot() {
	saved := snapshot{resources: resourcesByType{}, versions: maps.Clone(s.versions)}
	for _, resourceType := range resourceTypes {
		saved.resources[resourceType] = maps.Clone(s.resources[resourceType])
	}
	s.history = append(s.history, saved)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
}

// Revert goes back to what was served before the last change, with the versions that it had, and cuts the streams: as a
// replica does that lags behind.
func (s *Server) Revert() {
	s.lock.Lock()
	if count := len(s.history); count > 0 {
		last := s.history[count-1]
		s.resources = last.resources
		s.versions = last.versions
		s.history = s.history[:count-1]
	}
	s.lock.Unlock()
	s.CutStreams()
}

// PutResources puts resources of a type in force as they are, right or wrong; those that it does not name stay. A nil
// message removes one.
func (s *Server) PutResources(resourceType string, messages map[string]proto.Message) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.saveSnapshot()
	version := s.nextVersion(resourceType)
	for name, message := range messages {
		if message == nil {
			delete(s.resources[resourceType], name)
			continue
		}
		body, packed := message.(*anypb.Any)
		if !packed {
			body = pack(message)
		}
		s.resources[resourceType][name] = resource{version: version, body: body}
	}
	s.changed.Broadcast()
}

// SetTTL gives all resources of a type a time to live, with a new version.
func (s *Server) SetTTL(resourceType string, ttl time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	version := s.nextVersion(resourceType)
	for name, current := range s.resources[resourceType] {
		current.ttl = ttl
		current.version = version
		s.resources[resourceType][name] = current
	}
	s.changed.Broadcast()
}

// SendHeartbeats sends heartbeats of all resources of a type to each stream: they renew the time to live.
func (s *Server) SendHeartbeats(resourceType string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for st := range s.streams {
		st.heartbeatType = resourceType
	}
	s.changed.Broadcast()
}

// SendUnrequested sends all resources of a type to each stream, whether it wants them or not.
func (s *Server) SendUnrequested(resourceType string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for st := range s.streams {
		st.unrequestedType = resourceType
	}
	s.changed.Broadcast()
}
