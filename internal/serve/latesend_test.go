package serve_test

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"irispost/internal/endpoint/discovery"
)

// slowListener is a listener whose connections come up late: its queue is full until accept is called.
type slowListener struct {
	net.Listener
	fillers []net.Conn
}

func newSlowListener(t *testing.T) *slowListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil { // the shortest queue
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	l := &slowListener{}
	if l.Listener, err = net.FileListener(file); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	for {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 300*time.Millisecond)
		if err != nil {
			return l
		}
		t.Cleanup(func() { _ = conn.Close() })
		l.fillers = append(l.fillers, conn)
	}
}

// bytesReceived accepts the connections that come up, other than the fillers, until no more come for a while, and
// returns what arrives on them.
func (l *slowListener) bytesReceived(t *testing.T, quietTime time.Duration) (received []byte) {
	t.Helper()
	fillers := map[string]bool{}
	for _, conn := range l.fillers {
		fillers[conn.LocalAddr().String()] = true
	}
	for {
		_ = l.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(quietTime))
		conn, err := l.Accept()
		if err != nil {
			return received
		}
		if !fillers[conn.RemoteAddr().String()] {
			_ = conn.SetReadDeadline(time.Now().Add(quietTime))
			buffer := make([]byte, 4096)
			n, _ := conn.Read(buffer)
			received = append(received, buffer[:n]...)
		}
		_ = conn.Close()
	}
}

// TestShutdownSendsNothingAfterFinalAnswer guards against requests that reach a storage node after a gateway that shuts
// down has answered their clients: connections to the node come up only after the shutdown.
func TestShutdownSendsNothingAfterFinalAnswer(t *testing.T) {
	b := startWebTestbed(t)
	slow := newSlowListener(t)
	b.discovery[0].update(func(r *discovery.Response) { r.Targets[0].Endpoint = slow.Addr().String() })
	b.discovery[0].awaitCalls(3) // the gateway has the list and watches for the next one
	b.conf.Settings["products.0.patience"] = "1000"
	_, done := b.sendRequest("served", 0)
	waitFor(func() bool { stats, _ := b.gateway.Loop.Stats(); return stats.Attempts == 1 })
	b.gateway.Shutdown()
	if got := <-done; !strings.HasPrefix(got, "503") {
		t.Errorf("response %q, want 503, as nothing was sent", got)
	}
	const quietTime = 1500 * time.Millisecond // a connection attempt that was dropped is repeated after 1 s
	if got := slow.bytesReceived(t, quietTime); len(got) > 0 {
		t.Errorf("after the shutdown the node received %q, want nothing", got)
	}
}
