package serve_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"irispost/internal/standin"
	"irispost/internal/testkit"
)

// farOff is a limit that only a test that fails reaches.
const failureTimeout = 30 * time.Second

// until waits for a condition; the limit is that of the whole test run.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// withBlock is the testbed's configuration with a further block of the gateway.
func confWithBlock(block string) string {
	return strings.Replace(testkit.Conf, "gateways = 2\n", "gateways = 2\n"+block, 1)
}

// command changes how a stand-in node behaves.
func command(t testing.TB, n *standin.Node, text string) {
	t.Helper()
	if err := n.Command(text); err != nil {
		t.Error(err)
	}
}

// write writes to a connection that is open.
func write(t testing.TB, c net.Conn, bytes []byte) {
	t.Helper()
	if _, err := c.Write(bytes); err != nil {
		t.Error(err)
	}
}
