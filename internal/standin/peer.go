package standin

import (
	"time"

	"irispost/internal/audit"
	"irispost/internal/backend/node"
	"irispost/internal/sftp"
)

// FaultExtension is the SFTP extended request that carries a command for Node.Command.
const FaultExtension = "fault@irispost"

const (
	extensionVersion = "1"
	plainFileOwner   = "plain" // owner of objects that the file service creates
	plainFileMode    = 0o644
)

// peer handles one connection to the node.
type peer struct {
	node    *Node
	number  int64
	conn    *sftp.Conn
	handles map[string]string // open handles of the file service; a handle is the file's name
}

// Packet handles a packet: an attempt, its cancellation, a fault command, or a request of the file service, which lets
// SFTP clients access objects by name without a gateway.
func (p *peer) Packet(frame sftp.Frame) error {
	if frame.Type == sftp.Init {
		p.conn.Send(sftp.NewVersion(node.ExecExtension, extensionVersion, node.CancelExtension, extensionVersion,
			FaultExtension, extensionVersion))
		return nil
	}
	id, fields := frame.ID()
	if frame.Type != sftp.Extended {
		p.serveFile(frame.Type, id, fields)
		return nil
	}
	switch name := fields.Text(); name {
	case node.ExecExtension:
		p.receiveAttempt(id, fields)
	case node.CancelExtension:
		p.cancelAttempt(fields)
	case FaultExtension:
		if err := p.node.Command(fields.Text()); err != nil {
			p.conn.Send(sftp.NewStatus(id, sftp.Failure, err.Error()))
		} else {
			p.conn.Send(sftp.NewStatus(id, sftp.OK, "ok"))
		}
	default:
		p.conn.Send(sftp.NewStatus(id, sftp.OpUnsupported, name))
	}
	return nil
}

// Closed records the end of the connection. Attempts that were received on it continue.
func (p *peer) Closed(error) {
	p.node.options.Recorder.Add(audit.Event{
		Type: audit.NodeConnectionEnded, Node: p.node.address, Connection: p.number,
	})
}

func (p *peer) receiveAttempt(id uint32, fields *sftp.Fields) {
	call, err := node.DecodeCall(fields)
	if err != nil {
		p.conn.Send(sftp.NewStatus(id, sftp.BadMessage, err.Error()))
		return
	}
	p.node.receive(&receivedAttempt{call: call, conn: p.conn, peer: p, id: id, deadline: time.Now().Add(call.Timeout)})
}

// cancelAttempt cancels a queued attempt. An attempt that is being executed continues.
func (p *peer) cancelAttempt(fields *sftp.Fields) {
	id := fields.Uint32()
	p.node.lock.Lock()
	for _, waiting := range p.node.queue {
		if waiting.id == id && waiting.conn == p.conn {
			waiting.cancelled = true
		}
	}
	p.node.lock.Unlock()
	requestID := fields.Text()
	attempt := int(fields.Uint32())
	p.node.options.Recorder.Add(audit.Event{
		Type: audit.AttemptCancelled, Node: p.node.address, RequestID: requestID, Attempt: attempt,
	})
}

// serveFile handles a request of the file service. Each file is one object of the same name.
func (p *peer) serveFile(packetType sftp.Type, id uint32, fields *sftp.Fields) {
	switch packetType {
	case sftp.Open:
		p.openFile(id, fields)
	case sftp.Close:
		delete(p.handles, fields.Text())
		p.sendStatus(id, sftp.OK)
	case sftp.Read:
		call := node.Call{Op: node.GetObject, Name: fields.Text()}
		call.Offset = fields.Uint64()
		call.Length = fields.Uint32()
		data := p.executeFileCall(call).Data
		if len(data) == 0 {
			p.sendStatus(id, sftp.EOF)
			return
		}
		p.conn.Send(sftp.New(sftp.Data, id).Tail(data))
	case sftp.Write:
		call := node.Call{Op: node.PutObject, Name: fields.Text(), Owner: plainFileOwner}
		call.Offset = fields.Uint64()
		call.Data = fields.Bytes()
		p.executeFileCall(call)
		p.sendStatus(id, sftp.OK)
	case sftp.Stat, sftp.Lstat, sftp.Fstat:
		size, exists := p.node.options.Store.objectSize(fields.Text())
		if !exists {
			p.sendStatus(id, sftp.NoSuchFile)
			return
		}
		attributes := sftp.Attrs{HasSize: true, Size: size, HasMode: true, Mode: sftp.ModeFile | plainFileMode}
		p.conn.Send(sftp.New(sftp.Attributes, id).Attrs(attributes))
	case sftp.Remove:
		p.executeFileCall(node.Call{Op: node.DeleteObject, Name: fields.Text()})
		p.sendStatus(id, sftp.OK)
	default:
		p.sendStatus(id, sftp.OpUnsupported)
	}
}

func (p *peer) openFile(id uint32, fields *sftp.Fields) {
	name := fields.Text()
	flags := fields.Uint32()
	if _, exists := p.node.options.Store.objectSize(name); !exists && flags&sftp.FlagCreate == 0 {
		p.sendStatus(id, sftp.NoSuchFile)
		return
	}
	if flags&sftp.FlagTrunc != 0 {
		p.executeFileCall(node.Call{Op: node.DeleteObject, Name: name})
	}
	if flags&sftp.FlagCreate != 0 {
		p.executeFileCall(node.Call{Op: node.PutObject, Name: name, Owner: plainFileOwner})
	}
	p.handles[name] = name
	p.conn.Send(sftp.New(sftp.Handle, id).Text(name))
}

func (p *peer) sendStatus(id uint32, code sftp.Code) {
	p.conn.Send(sftp.NewStatus(id, code, code.String()))
}

// executeFileCall executes a call of the file service at once, bypassing the queue, the faults and the recorder.
func (p *peer) executeFileCall(call node.Call) node.Reply {
	reply, _ := p.node.options.Store.execute(&call, time.Now(), 0)
	return reply
}
