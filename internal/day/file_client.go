package day

import (
	"fmt"
	"time"

	"irispost/internal/front"
	"irispost/internal/sftp"
)

const syncExtension = "fsync@openssh.com"

// tornReadError is a read response with torn blocks, whose bytes no client wrote, or of a wrong length.
type tornReadError struct{ bytes int }

func (e *tornReadError) Error() string {
	return fmt.Sprintf("read returned %d bytes, with torn blocks or of a wrong length", e.bytes)
}

// roundTrip sends a request and waits for its response.
func (c *client) roundTrip(
	connection *connection, packetType sftp.Type, fields func(*sftp.Packet), operations ...front.OperationKind,
) response {
	return <-connection.send(packetType, c.class(operations...), fields)
}

// openFile opens a file and returns its handle.
func (c *client) openFile(connection *connection, path string, flags uint32) (handle string, err error) {
	opened := c.roundTrip(connection, sftp.Open, func(packet *sftp.Packet) {
		packet.Text(path).Uint32(flags).Attrs(sftp.Attrs{})
	}, front.Change, front.Lookup)
	if err := opened.failure(); err != nil {
		return "", err
	}
	return opened.body.Text(), nil
}

// connectFiles connects, and opens or creates the client's files. With prepare, it also fills them.
func (c *client) connectFiles(prepare bool) error {
	connection, err := dial(c.gatewayAddress(), c.recorder)
	if err != nil {
		return err
	}
	var handles []string
	for _, file := range c.files {
		path := "/" + c.plan.Volume + "/" + file
		handle, err := c.openFile(connection, path, sftp.FlagRead|sftp.FlagWrite|sftp.FlagCreate)
		if err == nil && prepare {
			err = c.fillFile(connection, handle)
		}
		if err != nil {
			connection.close()
			return err
		}
		handles = append(handles, handle)
	}
	c.lock.Lock()
	c.connection = connection
	c.handles = handles
	c.lock.Unlock()
	return nil
}

// fillFile writes all blocks of a file and syncs it.
func (c *client) fillFile(connection *connection, handle string) error {
	for block := range c.plan.Blocks {
		data := randomBlocks(c.plan.Bytes, c.random)
		result := c.roundTrip(connection, sftp.Write, func(packet *sftp.Packet) {
			packet.Text(handle).Uint64(uint64(block * len(data))).Tail(data)
		}, front.Write)
		if err := result.failure(); err != nil {
			return err
		}
	}
	synced := c.roundTrip(connection, sftp.Extended, func(packet *sftp.Packet) {
		packet.Text(syncExtension).Text(handle)
	}, front.Change, front.Lookup)
	return synced.failure()
}

// fileAttempt sends a request once, and checks the data of a read.
func (c *client) fileAttempt(connection *connection, handle string, request scriptedRequest) error {
	if c.plan.Operation == OperationCreate {
		return c.createFile(connection, request)
	}
	received, err := c.awaitResponse(connection, c.sendOperation(connection, handle, request))
	if err != nil {
		return err
	}
	if err := received.failure(); err != nil {
		return err
	}
	if c.plan.Operation != OperationRead {
		return nil
	}
	if data := received.body.Bytes(); !untorn(data) || len(data) != c.plan.Bytes {
		c.totals.tornReads.Add(1)
		return &tornReadError{len(data)}
	}
	return nil
}

// sendOperation sends the packet of a read, a write or a stat.
func (c *client) sendOperation(connection *connection, handle string, request scriptedRequest) <-chan response {
	offset := uint64(request.block * c.plan.Bytes)
	switch c.plan.Operation {
	case OperationRead:
		return connection.send(sftp.Read, c.class(front.Read, front.Lookup), func(packet *sftp.Packet) {
			packet.Text(handle).Uint64(offset).Uint32(uint32(c.plan.Bytes))
		})
	case OperationWrite:
		return connection.send(sftp.Write, c.class(front.Write), func(packet *sftp.Packet) {
			packet.Text(handle).Uint64(offset).Tail(request.data)
		})
	default: // OperationStat
		return connection.send(sftp.Stat, c.class(front.Lookup, front.Change), func(packet *sftp.Packet) {
			packet.Text("/" + c.plan.Volume + "/" + c.files[0])
		})
	}
}

// awaitResponse waits for a response. If the plan has a CancelAfter, it closes the connection after that time.
func (c *client) awaitResponse(connection *connection, pending <-chan response) (response, error) {
	if c.plan.CancelAfter == 0 {
		return <-pending, nil
	}
	select {
	case received := <-pending:
		return received, nil
	case <-time.After(c.plan.CancelAfter):
		connection.close()
		return response{}, errConnectionLost
	}
}

// createFile creates a file, writes it and closes it.
func (c *client) createFile(connection *connection, request scriptedRequest) error {
	path := fmt.Sprintf("/%s/%s-%d", c.plan.Volume, c.name, request.number)
	handle, err := c.openFile(connection, path, sftp.FlagWrite|sftp.FlagCreate|sftp.FlagTrunc)
	if err != nil {
		return err
	}
	writeResult := c.roundTrip(connection, sftp.Write, func(packet *sftp.Packet) {
		packet.Text(handle).Uint64(0).Tail(request.data)
	}, front.Write)
	closeResult := c.roundTrip(connection, sftp.Close, func(packet *sftp.Packet) {
		packet.Text(handle)
	}, front.Change, front.Lookup)
	if err := writeResult.failure(); err != nil {
		return err
	}
	return closeResult.failure()
}
