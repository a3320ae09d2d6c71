// Package epoch tells a gateway which nodes' budgets are its own to deal out. Each member that the keepers know has a node's budget by
// rendezvous hashing, so that a member that comes or goes moves only what is its own; and who comes to have one waits until the one
// before has certainly ceased. It is pure.
package epoch

import (
	"github.com/cespare/xxhash/v2"
)

// Owner is the member that has a node: that with the highest hash of both names; "" where there is none.
func Owner(node string, members []string) (best string) {
	most := uint64(0)
	for _, m := range members {
		h := xxhash.New()
		h.WriteString(node)
		h.Write([]byte{0})
		h.WriteString(m)
		if sum := h.Sum64(); best == "" || sum > most || sum == most && m > best {
			best, most = m, sum
		}
	}
	return best
}
