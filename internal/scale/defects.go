package scale

import (
	"slices"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// Defect is a set of defects that a test injects into a gateway, to show that a case reports them.
type Defect uint

// The defects.
const (
	DefectLostVersion   Defect = 1 << iota // the gateway's scheduler does not receive one version
	DefectNotRestarted                     // the gateway is not started again
	DefectLeak                             // each gateway keeps every list
	DefectNoLeaseExpiry                    // leases never expire at the gateway
	DefectStaleList                        // the gateway's scheduler receives the list of the version before once more
)

// defectiveSource is the source of the active configuration that a gateway's loop looks at before each decision. For
// a gateway without defects it is the client's own.
type defectiveSource struct {
	gateway.ConfigSource
	gateway      *Gateway
	currentList  endpoint.List // all updates merged; with DefectStaleList only
	lastSoleList endpoint.List // of the version that the gateway last acted on alone; likewise
}

// At returns the client's active configuration: late for a slow gateway, and without what a defective one loses.
func (s *defectiveSource) At(now scheduler.Time) (*gateway.ActiveConfig, scheduler.Time) {
	if delay := s.gateway.decisionDelay.Load(); delay > 0 {
		time.Sleep(time.Duration(delay))
	}
	active, until := s.ConfigSource.At(now)
	if active == nil {
		return nil, until
	}
	version := soleVersion(active.List.Version)
	if defective := s.gateway.defectVersion.Load(); defective > 0 && version == defective {
		if s.gateway.defects&DefectLostVersion != 0 {
			return nil, until
		}
		if s.gateway.defects&DefectStaleList != 0 && s.lastSoleList.Version != "" {
			s.resendLastList(active.List)
			return active, until
		}
	}
	if s.gateway.defects&DefectStaleList != 0 {
		s.mergeList(active.List)
		if version > 0 {
			s.lastSoleList = s.currentList
		}
	}
	return active, until
}

// resendLastList sends the loop a list and then the one before it, once.
func (s *defectiveSource) resendLastList(list endpoint.List) {
	s.gateway.defectVersion.Store(0)
	go func() {
		s.gateway.loop.UpdateEndpoints(list)
		s.gateway.loop.UpdateEndpoints(s.lastSoleList)
	}()
}

// mergeList replaces the current list, or merges a partial one into it.
func (s *defectiveSource) mergeList(list endpoint.List) {
	if !list.Partial {
		s.currentList = list
		return
	}
	nodes := slices.Clone(s.currentList.Nodes)
	for _, node := range list.Nodes {
		i := slices.IndexFunc(nodes, func(other endpoint.Node) bool { return other.Addr == node.Addr })
		if i >= 0 {
			nodes[i] = node
		} else {
			nodes = append(nodes, node)
		}
	}
	s.currentList = endpoint.List{Version: list.Version, Nodes: nodes}
}
