// Package loopback gives each process a loopback address of its own.
package loopback

import (
	"fmt"
	"os"
)

// ProcessAddr returns an address in 127.0.0.0/8 that is derived from the process ID. A free port at this address
// cannot be taken by another process that uses ProcessAddr as well, not even between the moment when the port is
// found and the moment when it is listened on. With 127.0.0.1, the replicas of two fleets that ran at the same time
// took each other's ports.
func ProcessAddr() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+id>>16&63, id>>8&255, id&255)
}
