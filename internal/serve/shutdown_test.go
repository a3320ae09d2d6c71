package serve_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"irispost/internal/serve"
	"irispost/internal/sftp"
	"irispost/internal/standin"
	"irispost/internal/testkit"
)

// TestShutdownAnswersEveryRequest: a shutdown waits for the requests in flight and returns no error. At its deadline
// the remaining requests fail, and it returns ErrRequestsInFlight.
func TestShutdownAnswersEveryRequest(t *testing.T) {
	for _, hang := range []bool{false, true} {
		testbed := testkit.Start(t, testkit.Conf, 1, 1, func(o *standin.Options) { o.UnitTime = 20 * time.Millisecond })
		conn, g := dialRaw(t, testbed, 0), testbed.Gateways[0]
		conn.handshake()
		handle := conn.open("/meals/f", sftp.FlagWrite|sftp.FlagCreate)
		if hang {
			command(t, testbed.Nodes[0], "hang")
		}
		received := testbed.Nodes[0].AttemptsReceived()
		conn.send(sftp.Write, func(p *sftp.Packet) { p.Text(handle).Uint64(0).Tail(make([]byte, 32<<10)) })
		for testbed.Nodes[0].AttemptsReceived() == received {
			time.Sleep(time.Millisecond)
		}
		timeout := time.Minute
		if hang {
			timeout = 50 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		stopped := make(chan error, 1)
		go func() { stopped <- g.Shutdown(ctx) }()
		code, text := conn.receiveStatus()
		if !hang && code != sftp.OK || hang && !strings.HasPrefix(text, "written off") {
			t.Errorf("hang %v: response %v %q, want OK, or \"written off\" from a node that hangs", hang, code, text)
		}
		if err := <-stopped; (err != nil) != hang || hang && !errors.Is(err, serve.ErrRequestsInFlight) {
			t.Errorf("hang %v: Shutdown returned %v, want nil, or ErrRequestsInFlight if the node hangs", hang, err)
		}
		cancel()
	}
}
