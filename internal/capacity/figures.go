package capacity

import (
	"math"
	"slices"
)

// Figures are all figures of the page, grouped by role and then by failure.
var Figures = slices.Concat(
	servingFigures,
	controlFigures,
	leaderFigures,
	followerReplicaFigures,
	listServiceFigures,
	storageFigures,
	operatorFigures,
	failureFigures,
)

// smallestNodes is the smallest number of nodes at which the scheduler was measured.
const smallestNodes = 16

// nodeIdleFraction is the fraction of the nodes' idle timeout after which a gateway closes an idle connection itself.
const nodeIdleFraction = 0.8

// readAt returns the formula of a figure that is the value of a record at one of the sizes.
func readAt(record string, size func(Size) float64) func(*Computation) float64 {
	return func(c *Computation) float64 { return c.At(record, size(c.Size)) }
}

func gateways(s Size) float64 { return s.Gateways }
func nodes(s Size) float64    { return s.Nodes }
func requests(s Size) float64 { return s.Requests }
func volumes(s Size) float64  { return s.Volumes }

// growthSinceSmallest returns the increase of a record from smallestNodes to the planned number of nodes.
func growthSinceSmallest(c *Computation, record string) float64 {
	return c.At(record, c.Nodes) - c.At(record, smallestNodes)
}

// connectionsPerNode returns the mean number of connections from a gateway to a node. Requests from one gateway to one
// node almost never overlap, so there is at most one connection; it stays open while the gaps between requests are
// shorter than the time after which the gateway closes it. Arrivals are assumed to be random (Poisson).
func connectionsPerNode(c *Computation) float64 {
	return 1 - math.Exp(-c.RequestsPerPair()*nodeIdleSeconds*nodeIdleFraction)
}

// gatewayMemoryMB returns the memory of a gateway in MB: the program with its endpoint list, the client connections,
// each at the cost that the named record gives, and one connection to each node.
func gatewayMemoryMB(c *Computation, connectionRecord string) float64 {
	program := c.At("web_mb_by_nodes", c.Nodes)
	clients := c.Slope(connectionRecord) * c.Connections
	return program + clients + c.Slope("web_mb_by_node_connections")*c.Nodes
}
