package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/sftp"
)

// relay is a link between a gateway and a storage node. It passes all packets on in order, except that hold may make
// the answer to one execution come later. Answers carry the ID of their request, so other answers may overtake it. With
// slow set, each packet reaches the node so much later, in order.
type relay struct {
	listener net.Listener
	target   string
	hold     func(call *node.Call) time.Duration // delay of the answer to a call; 0: none
	slow     atomic.Int64                        // nanoseconds
}

// startRelay starts a relay to the node at target.
func (p *play) startRelay(target string, hold func(call *node.Call) time.Duration) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, hold: hold}
	p.atEnd(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) serve(gateway net.Conn) {
	defer func() { _ = gateway.Close() }()
	storage, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = storage.Close() }()
	var lock sync.Mutex
	delays := map[uint32]time.Duration{}
	forward := make(chan delayedPacket, 1024)
	defer close(forward)
	go func() {
		for next := range forward {
			time.Sleep(time.Until(next.at))
			_, _ = storage.Write(next.packet) // a failure ends the connection, which the reader sees
		}
	}()
	requests := make(chan struct{})
	defer func() { _ = storage.Close(); _ = gateway.Close(); <-requests }()
	go func() {
		defer close(requests)
		defer func() { _ = storage.Close(); _ = gateway.Close() }()
		for {
			packet, err := readPacket(gateway)
			if err != nil {
				return
			}
			if delay := r.delayOf(packet); delay > 0 {
				lock.Lock()
				delays[binary.BigEndian.Uint32(packet[5:])] = delay
				lock.Unlock()
			}
			forward <- delayedPacket{packet, time.Now().Add(time.Duration(r.slow.Load()))}
		}
	}()
	var writing sync.Mutex
	for {
		packet, err := readPacket(storage)
		if err != nil {
			return
		}
		delay := time.Duration(0)
		if len(packet) >= 9 {
			lock.Lock()
			id := binary.BigEndian.Uint32(packet[5:])
			delay = delays[id]
			delete(delays, id)
			lock.Unlock()
		}
		write := func() {
			writing.Lock()
			defer writing.Unlock()
			_, _ = gateway.Write(packet)
		}
		if delay == 0 {
			write()
			continue
		}
		time.AfterFunc(delay, write)
	}
}

// delayedPacket is a packet that reaches the node at a time.
type delayedPacket struct {
	packet []byte
	at     time.Time
}

// delayOf returns the delay of the answer to a packet, which has to be an execution.
func (r *relay) delayOf(packet []byte) time.Duration {
	if len(packet) < 9 || sftp.Type(packet[4]) != sftp.Extended {
		return 0
	}
	fields := sftp.NewFields(packet[9:])
	if fields.Text() != node.ExecExtension {
		return 0
	}
	call, err := node.DecodeCall(fields)
	if err != nil {
		return 0
	}
	if r.hold == nil {
		return 0
	}
	return r.hold(call)
}

// readPacket reads an SFTP packet with its length.
func readPacket(reader io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return nil, err
	}
	packet := make([]byte, 4+binary.BigEndian.Uint32(head[:]))
	copy(packet, head[:])
	_, err := io.ReadFull(reader, packet[4:])
	return packet, err
}
