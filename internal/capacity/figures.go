package capacity

import (
	"math"
	"slices"
)

// Figures are all figures of the page, by role and failure.
var Figures = slices.Concat(
	servingFigures,
	controlFigures,
	leaderFigures,
	followingReplicaFigures,
	listServiceFigures,
	storageFigures,
	operatorFigures,
	failureFigures,
)

// smallestNodes is the smallest number of nodes that records by nodes were measured at.
const smallestNodes = 16

// nodeIdleFraction is the part of the nodes' idle time after which a gateway closes a connection by itself.
const nodeIdleFraction = 0.8

// readAt returns the formula of a figure that is a record read at one of the sizes.
func readAt(record string, size func(Size) float64) func(*Computation) float64 {
	return func(c *Computation) float64 { return c.At(record, size(c.Size)) }
}

func gateways(s Size) float64 { return s.Gateways }
func nodes(s Size) float64    { return s.Nodes }
func requests(s Size) float64 { return s.Requests }
func volumes(s Size) float64  { return s.Volumes }

// growthSinceSmallest is what a record has grown by since the smallest number of nodes.
func growthSinceSmallest(c *Computation, record string) float64 {
	return c.At(record, c.Nodes) - c.At(record, smallestNodes)
}

// connectionsPerNode is the mean number of connections of a gateway to a node. It has one while the gaps between
// their requests stay under the time after which it closes a connection: requests of a pair come one at a time nearly
// always.
func connectionsPerNode(c *Computation) float64 {
	return 1 - math.Exp(-c.RequestsPerPair()*nodeIdleSeconds*nodeIdleFraction)
}

// gatewayMemory is the memory of a gateway in MB: the program with its list, its clients at what a connection costs
// by a record, and a connection to each node.
func gatewayMemory(c *Computation, connectionRecord string) float64 {
	program := c.At("web_mb_by_nodes", c.Nodes)
	clients := c.Slope(connectionRecord) * c.Connections
	return program + clients + c.Slope("web_mb_by_node_connections")*c.Nodes
}
