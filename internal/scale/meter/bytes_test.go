package meter

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// Requests of TestClientServerAndRelayCountTheSame: the body grows by bodyUnit bytes each round, and the response
// repeats responseText for each byte of the body.
const (
	clients      = 8
	rounds       = 5
	bodyUnit     = 3000
	responseText = "answer"
)

// countedListener counts the bytes of all connections that it accepts.
type countedListener struct {
	net.Listener
	counter *Counter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return CountBytes(conn, l.counter), nil
}

// startCountedServer starts a server that answers the requests and counts its bytes.
func startCountedServer(t *testing.T, counter *Counter) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			t.Error(err)
		}
		if _, err := fmt.Fprint(w, strings.Repeat(responseText, int(n))); err != nil {
			t.Error(err)
		}
	}))
	server.Listener = countedListener{server.Listener, counter}
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// makeRequests sends the requests of one client, one per round.
func makeRequests(t *testing.T, addr string, dial Dial) {
	t.Helper()
	transport := &http.Transport{DialContext: dial}
	defer transport.CloseIdleConnections()
	for round := range rounds {
		body := strings.Repeat("x", bodyUnit*round)
		response, err := (&http.Client{Transport: transport}).Post("http://"+addr, "text/plain", strings.NewReader(body))
		if err != nil {
			t.Error(err)
			return
		}
		n, err := io.Copy(io.Discard, response.Body)
		if n != int64(len(responseText)*len(body)) || err != nil {
			t.Errorf("got a response of %d bytes, error %v, want responseText for each byte of the body", n, err)
		}
		_ = response.Body.Close() // the body was read completely
	}
}

// The clients count as many bytes as the server, directly and through a relay, and the relay counts the same as its
// clients.
func TestClientServerAndRelayCountTheSame(t *testing.T) {
	var serverBytes, clientBytes Counter
	server := startCountedServer(t, &serverBytes)
	serverAddr := server.Listener.Addr().String()
	relay, err := NewRelay("127.0.0.1", serverAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	direct, relayed := &Counter{}, &Counter{}
	byAddr := map[string]*Counter{serverAddr: direct, relay.Addr(): relayed}
	dial := Dialer(nil, func(addr string) []*Counter { return []*Counter{&clientBytes, byAddr[addr]} })
	var running sync.WaitGroup
	for range clients {
		for addr := range byAddr {
			running.Go(func() { makeRequests(t, addr, dial) })
		}
	}
	running.Wait()
	server.Close() // waits until all connections have ended
	relay.Close()

	if clientBytes.Out() != serverBytes.In() || clientBytes.In() != serverBytes.Out() {
		t.Errorf("got clients' bytes %d sent and %d received, server's %d received and %d sent, want them equal",
			clientBytes.Out(), clientBytes.In(), serverBytes.In(), serverBytes.Out())
	}
	if sum := direct.Total() + relayed.Total(); clientBytes.Total() != sum {
		t.Errorf("got %d bytes at all clients, want the sum by address, %d", clientBytes.Total(), sum)
	}
	if relay.In() != relayed.Out() || relay.Out() != relayed.In() {
		t.Errorf("got bytes at the relay: %d in and %d out, at its clients: %d sent and %d received, want them equal",
			relay.In(), relay.Out(), relayed.Out(), relayed.In())
	}
	const bodies = bodyUnit * rounds * (rounds - 1) / 2
	least := int64(clients * bodies * (1 + len(responseText)))
	if direct.Total() < least || relayed.Total() < least {
		t.Errorf("got %d bytes direct and %d relayed, want at least the %d bytes of the bodies",
			direct.Total(), relayed.Total(), least)
	}
}
