package replica

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	peerQueueLength     = 256
	peerIdleConnections = 2
	peerTimeoutTicks    = 6 // less than electionTicks, so that one lost connection does not cause an election
)

// peer is the connection to another replica. Messages that cannot be sent are dropped, as Raft resends them.
type peer struct {
	replica     *Replica
	id          uint64
	url         string
	queue       chan *raftpb.Message
	client      *http.Client
	entryFormat atomic.Int64 // newest format that the peer reads, by its last response
}

func newPeer(r *Replica, id uint64, address string) *peer {
	timeout := peerTimeoutTicks * r.options.TickInterval
	return &peer{
		replica: r,
		id:      id,
		url:     "http://" + address,
		queue:   make(chan *raftpb.Message, peerQueueLength),
		client: &http.Client{
			Timeout: timeout,
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
				MaxIdleConnsPerHost: peerIdleConnections,
			},
		},
	}
}

// send queues a message, or drops it if the queue is full.
func (p *peer) send(message *raftpb.Message) {
	select {
	case p.queue <- message:
	default:
	}
}

// run sends the queued messages, all that are queued in one request, until the context ends.
func (p *peer) run(ctx context.Context) {
	for {
		var messages []*raftpb.Message
		select {
		case <-ctx.Done():
			return
		case message := <-p.queue:
			messages = append(messages, message)
		}
		for range len(p.queue) {
			messages = append(messages, <-p.queue)
		}
		err := p.sendMessages(ctx, messages)
		p.reportSnapshots(ctx, messages, err)
		if err != nil {
			p.replica.enqueue(ctx, func() { p.replica.node.ReportUnreachable(p.id) })
			p.client.CloseIdleConnections() // so that a connection that hangs is not reused
		}
	}
}

// reportSnapshots tells Raft whether the snapshots among the messages were sent.
func (p *peer) reportSnapshots(ctx context.Context, messages []*raftpb.Message, err error) {
	status := raft.SnapshotFinish
	if err != nil {
		status = raft.SnapshotFailure
	}
	for _, message := range messages {
		if message.GetType() == raftpb.MsgSnap {
			p.replica.enqueue(ctx, func() { p.replica.node.ReportSnapshot(p.id, status) })
		}
	}
}

// sendMessages sends Raft messages to POST /raft.
func (p *peer) sendMessages(ctx context.Context, messages []*raftpb.Message) error {
	body, err := encodeMessages(messages)
	if err != nil {
		return err
	}
	return p.post(ctx, "/raft", body)
}

// announce sends this replica's start to POST /hello.
func (p *peer) announce(ctx context.Context, message announcement) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return p.post(ctx, "/hello", body)
}

// post sends a request whose response has no body. Status 409 is returned as ErrStaleIncarnation.
func (p *peer) post(ctx context.Context, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer closeBody(response)
	_, _ = io.Copy(io.Discard, response.Body) // so that the connection can be reused
	p.updateEntryFormat(ctx, response)
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return fmt.Errorf("replica %d: %w", p.id, ErrStaleIncarnation)
	default:
		return fmt.Errorf("replica %d answered %s", p.id, response.Status)
	}
}

// closeBody closes the body of a response that has been read, after which an error does not matter.
func closeBody(response *http.Response) { _ = response.Body.Close() }

// messageLengthBytes is the size of the big-endian length before each message.
const messageLengthBytes = 4

// errTruncatedMessages reports a body that ends within a message.
var errTruncatedMessages = errors.New("messages are cut off")

// encodeMessages concatenates messages, each prefixed with its length.
func encodeMessages(messages []*raftpb.Message) ([]byte, error) {
	var body []byte
	for _, message := range messages {
		encoded, err := proto.Marshal(message)
		if err != nil {
			return nil, err
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(encoded)))
		body = append(body, encoded...)
	}
	return body, nil
}

// decodeMessages decodes what encodeMessages has encoded.
func decodeMessages(body []byte) ([]*raftpb.Message, error) {
	var messages []*raftpb.Message
	for len(body) > 0 {
		if len(body) < messageLengthBytes {
			return nil, errTruncatedMessages
		}
		length := binary.BigEndian.Uint32(body)
		body = body[messageLengthBytes:]
		if uint64(len(body)) < uint64(length) {
			return nil, errTruncatedMessages
		}
		message := &raftpb.Message{}
		if err := proto.Unmarshal(body[:length], message); err != nil {
			return nil, err
		}
		messages = append(messages, message)
		body = body[length:]
	}
	return messages, nil
}
