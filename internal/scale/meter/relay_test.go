package meter

import (
	"net"
	"os"
	"testing"
	"time"
)

// connectThrough connects through a relay. It returns the client's end and the target's end of the connection.
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

// checkClosed checks that the other side has closed a connection, or does so within a minute.
func checkClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("got read error %v, want the connection closed", err)
	}
	_ = conn.Close()
}

// A connection that is reset or closed on one side of a relay is closed on the other side. Closing the relay closes
// its connections and refuses new ones.
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
	checkClosed(t, client)

	client, server = connectThrough(t, relay, target)
	_ = client.Close()
	checkClosed(t, server)

	client, server = connectThrough(t, relay, target)
	relay.Close()
	checkClosed(t, client)
	checkClosed(t, server)
	if _, err := net.Dial("tcp", relay.Addr()); err == nil {
		t.Error("got a connection to a closed relay, want an error")
	}
}
