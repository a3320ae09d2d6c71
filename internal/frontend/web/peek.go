package web

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// errNothingToRead is returned by readWithoutWaiting if there is nothing to read at present.
var errNothingToRead = errors.New("nothing to read")

// withSocket calls f with the connection's file descriptor. It returns false if the connection has none or is closed.
func withSocket(raw net.Conn, f func(fd int)) bool {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	return rawConn.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// readWithoutWaiting reads what has arrived on the connection. The error is errNothingToRead if that is nothing, and
// io.EOF if the client has closed the connection.
func readWithoutWaiting(raw net.Conn, buffer []byte) (n int, err error) {
	err = errNothingToRead
	withSocket(raw, func(fd int) { n, err = receive(fd, buffer, syscall.MSG_DONTWAIT) })
	return n, err
}

// receive calls recvfrom. It returns errNothingToRead if no bytes have arrived, and io.EOF at the end of the connection.
func receive(fd int, buffer []byte, flags int) (n int, err error) {
	n, _, err = syscall.Recvfrom(fd, buffer, flags)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return 0, errNothingToRead
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// hasUnreadBytes reports whether the connection's socket has unread bytes from the client. Such a connection is not
// idle: its request has arrived but has not been read yet.
func hasUnreadBytes(raw net.Conn) (unread bool) {
	withSocket(raw, func(fd int) {
		n, _ := receive(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0
	})
	return unread
}

// hasClientLeft reports whether the client has closed the connection, also if bytes that it sent before are unread. It
// does not notice that while so much is unread that the end of the connection has not arrived.
func hasClientLeft(raw net.Conn) (left bool) {
	withSocket(raw, func(fd int) {
		n, err := receive(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if n == 0 {
			left = !errors.Is(err, errNothingToRead)
			return
		}
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err = unix.Poll(events, 0)
		left = err == nil && events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left
}
