package epoch

import (
	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns a node by rendezvous hashing: the one whose name, hashed with the node's, gives
// the highest value. It returns "" if there are no members.
func Owner(node string, members []string) (owner string) {
	highest := uint64(0)
	for _, member := range members {
		hash := hashPair(node, member)
		if owner == "" || hash > highest || hash == highest && member > owner {
			owner, highest = member, hash
		}
	}
	return owner
}

// hashPair hashes two names with a separator that occurs in neither.
func hashPair(node, member string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(node) // writing to a hash cannot fail
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
