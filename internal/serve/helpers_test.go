package serve_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"irispost/internal/standin"
	"irispost/internal/testkit"
)

// failureTimeout limits waits in tests. Only a failing test reaches it.
const failureTimeout = 30 * time.Second

// waitFor polls until a condition holds. Only the timeout of the test run limits it.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// confWithBlock returns the testbed's configuration with further text in the gateway block.
func confWithBlock(block string) string {
	return strings.Replace(testkit.Conf, "gateways = 2\n", "gateways = 2\n"+block, 1)
}

// command sends a command to a test node, which changes its behavior.
func command(t testing.TB, n *standin.Node, text string) {
	t.Helper()
	if err := n.Command(text); err != nil {
		t.Error(err)
	}
}

// write writes to a connection and fails the test on an error.
func write(t testing.TB, c net.Conn, bytes []byte) {
	t.Helper()
	if _, err := c.Write(bytes); err != nil {
		t.Error(err)
	}
}
