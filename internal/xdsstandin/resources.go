package xdsstandin

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
)

// maxHistory is the largest number of earlier states that Revert can restore.
const maxHistory = 16

// resource is a packed resource with its version and time to live.
type resource struct {
	version int
	body    *anypb.Any
	ttl     time.Duration // 0: none
}

// resourcesByType maps a type URL and a resource name to the resource.
type resourcesByType map[string]map[string]resource

func newResources() resourcesByType {
	return resourcesByType{xds.ClusterType: {}, xds.EndpointType: {}}
}

// snapshot holds the resources and versions that were served before a change.
type snapshot struct {
	resources resourcesByType
	versions  map[string]int
}

// rebuild builds all resources from the nodes. The caller holds the lock.
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

// replaceResources replaces all resources and assigns new versions to those that differ. The caller holds the lock.
func (s *Server) replaceResources(next map[string]map[string]proto.Message) {
	s.saveSnapshot()
	for resourceType, messages := range next {
		if s.replaceType(resourceType, messages) {
			s.nextVersion(resourceType)
		}
	}
	s.changed.Broadcast()
}

// replaceType replaces the resources of a type and reports whether any has changed. The caller holds the lock.
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

// nextVersion assigns the next version to a type and returns it. The caller holds the lock.
func (s *Server) nextVersion(resourceType string) int {
	s.lastVersions[resourceType]++
	s.versions[resourceType] = s.lastVersions[resourceType]
	return s.versions[resourceType]
}

// saveSnapshot adds the current resources and versions to the history. The caller holds the lock.
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

// Revert restores the resources and versions from before the last change and cuts all streams. It simulates clients
// that reconnect to a replica of the server that lags behind.
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

// PutResources serves the given resources of a type without checking them. A nil message removes a resource; resources
// that are not named stay.
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

// SetTTL sets the time to live of all resources of a type, under a new version.
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

// SendHeartbeats sends heartbeats to each stream for the resources of a type. They renew the time to live.
func (s *Server) SendHeartbeats(resourceType string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for st := range s.streams {
		st.heartbeatType = resourceType
	}
	s.changed.Broadcast()
}

// SendUnrequested sends all resources of a type to each stream, whether it has subscribed to them or not.
func (s *Server) SendUnrequested(resourceType string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for st := range s.streams {
		st.unrequestedType = resourceType
	}
	s.changed.Broadcast()
}
