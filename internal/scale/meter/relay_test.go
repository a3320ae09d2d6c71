package meter

import (
	"net"
	"os"
	"testing"
	"time"
)

// connectThrough connects through a relay, and returns the connection at the client and at the target.
func connectThrough(t *testing.T, relay *Relay, target net.Listener) (client, server net.Conn) {
	t.Helper()
	dial := Dialer(nil, func(string) []*Counter { return nil })
	client, err := dial(t.Context(), "tcp", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = target.Accept(); err != nil {
		t.Fatal(err)
	}
	return client, server
}

// checkEnded checks that a connection has ended, or is about to.
func checkEnded(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("the connection goes on: %v", err)
	}
	_ = conn.Close()
}

// TestRelayForwardsEnds: a reset or an end on one side of a relay is one on the other; closing the relay ends what is
// open, and refuses what comes.
func TestRelayForwardsEnds(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	relay, err := NewRelay("127.0.0.1", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	client, server := connectThrough(t, relay, target)
	if err := server.(*net.TCPConn).SetLinger(0); err != nil { // closes with a reset
		t.Fatal(err)
	}
	_ = server.Close()
	checkEnded(t, client)

	client, server = connectThrough(t, relay, target)
	_ = client.Close()
	checkEnded(t, server)

	client, server = connectThrough(t, relay, target)
	relay.Close()
	checkEnded(t, client)
	checkEnded(t, server)
	if _, err := net.Dial("tcp", relay.Addr()); err == nil {
		t.Error("a closed relay accepts connections")
	}
}
