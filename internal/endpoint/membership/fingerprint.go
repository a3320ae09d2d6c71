package membership

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/endpoint"
)

// identityOf returns the identity of a list: its version and the fingerprint of its nodes.
func identityOf(list endpoint.List) listIdentity {
	return listIdentity{list.Version, fingerprint(list.Nodes)}
}

// fingerprint returns a hash of a set of nodes. It is the sum of the hashes of the nodes, so their order does not
// matter.
func fingerprint(nodes []endpoint.Node) (sum uint64) {
	var b []byte
	for _, n := range nodes {
		b = appendNode(b[:0], n)
		sum += xxhash.Sum64(b)
	}
	return sum
}

// appendNode appends a binary encoding of all fields of a node.
func appendNode(b []byte, n endpoint.Node) []byte {
	b = append(b, n.Addr...)
	b = append(b, 0)
	b = append(b, n.Zone...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, uint64(n.Shard))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(n.Weight))
	b = binary.BigEndian.AppendUint64(b, uint64(n.StartedAt))
	b = binary.BigEndian.AppendUint64(b, uint64(n.Priority))
	b = append(b, byte(n.Health))
	return append(b, n.Name...)
}
