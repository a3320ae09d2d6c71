package standin

import (
	"time"

	"irispost/internal/audit"
	"irispost/internal/backend/node"
	"irispost/internal/sftp"
)

// FaultExtension carries a fault's command to a test node.
const FaultExtension = "fault@irispost"

const (
	extensionVersion = "1"
	plainFileOwner   = "plain" // of objects that the plain file service creates
	plainFileMode    = 0o644
)

// peer is one connection to the node.
type peer struct {
	node    *Node
	number  int64
	conn    *sftp.Conn
	handles map[string]string // of the plain file service
}

// Packet takes in a packet: attempts, and a plain file service by names for whoever speaks SFTP to a node directly.
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

// Closed records the end of the connection; attempts that came over it go on.
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

// cancelAttempt cancels an attempt that waits; one that is being executed goes on.
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

// serveFile serves files by name, each one object.
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
		data := p.executePlain(call).Data
		if len(data) == 0 {
			p.sendStatus(id, sftp.EOF)
			return
		}
		p.conn.Send(sftp.New(sftp.Data, id).Tail(data))
	case sftp.Write:
		call := node.Call{Op: node.PutObject, Name: fields.Text(), Owner: plainFileOwner}
		call.Offset = fields.Uint64()
		call.Data = fields.Bytes()
		p.executePlain(call)
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
		p.executePlain(node.Call{Op: node.DeleteObject, Name: fields.Text()})
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
		p.executePlain(node.Call{Op: node.DeleteObject, Name: name})
	}
	if flags&sftp.FlagCreate != 0 {
		p.executePlain(node.Call{Op: node.PutObject, Name: name, Owner: plainFileOwner})
	}
	p.handles[name] = name
	p.conn.Send(sftp.New(sftp.Handle, id).Text(name))
}

func (p *peer) sendStatus(id uint32, code sftp.Code) {
	p.conn.Send(sftp.NewStatus(id, code, code.String()))
}

// executePlain executes a call of the plain file service, at once.
func (p *peer) executePlain(call node.Call) node.Reply {
	reply, _ := p.node.options.Store.execute(&call, time.Now(), 0)
	return reply
}
