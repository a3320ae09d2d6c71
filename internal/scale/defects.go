package scale

import (
	"slices"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// Defect is a set of defects that a test injects into gateways, to show that a case reports them.
type Defect uint

// Defects that can be injected. All but DefectLeak concern a single gateway.
const (
	DefectLostVersion   Defect = 1 << iota // the gateway's scheduler does not receive a certain version
	DefectNotRestarted                     // the gateway is not restarted
	DefectLeak                             // each gateway keeps every endpoint list in memory
	DefectNoLeaseExpiry                    // leases never expire at the gateway
	DefectStaleList                        // the gateway's scheduler receives the previous version's list once more
)

// defectiveSource is the source of the active configuration that a gateway's loop reads before each decision. It
// injects defects and delays. Without them it returns what the client returns.
type defectiveSource struct {
	gateway.ConfigSource
	gateway      *Gateway
	currentList  endpoint.List // all updates merged; only with DefectStaleList
	lastSoleList endpoint.List // of the version that the gateway last acted on alone; only with DefectStaleList
}

// At returns the client's active configuration. It sleeps first if the gateway is slow, and applies injected defects.
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

// resendLastList sends the loop a list and then the one of the previous version. It does so only once.
func (s *defectiveSource) resendLastList(list endpoint.List) {
	s.gateway.defectVersion.Store(0)
	go func() {
		s.gateway.loop.UpdateEndpoints(list)
		s.gateway.loop.UpdateEndpoints(s.lastSoleList)
	}()
}

// mergeList replaces the current list by a complete list, or merges a partial list into it.
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
