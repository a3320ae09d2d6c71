package testkit

import (
	"flag"
	"net"
	"strings"
	"testing"
	"time"

	pkgsftp "github.com/pkg/sftp"
)

const (
	maxRetries = 200
	retryDelay = 20 * time.Millisecond
)

// FixSeeds makes the property checks (package rapid) of a test draw the same values in each run.
func FixSeeds(t testing.TB) {
	t.Helper()
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "7"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// Dial connects an SFTP client (package pkg/sftp) to an address.
func Dial(address string) (*pkgsftp.Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return pkgsftp.NewClientPipe(conn, conn, pkgsftp.UseConcurrentWrites(true))
}

// RetryUntilDone repeats an operation until it succeeds, like a client whose requests are rejected or whose attempts
// fail. The test fails if the operation returns any other error, or still fails after maxRetries calls.
func RetryUntilDone(t testing.TB, what string, do func() error) {
	t.Helper()
	var err error
	for range maxRetries {
		if err = do(); err == nil {
			return
		}
		if !strings.Contains(err.Error(), "dismissed") && !strings.Contains(err.Error(), "written off") {
			break
		}
		time.Sleep(retryDelay)
	}
	t.Fatalf("%s: %v", what, err)
}
