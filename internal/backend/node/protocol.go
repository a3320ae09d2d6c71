// Package node is the gateway's client for storage nodes that speak the node protocol. It defines the messages, keeps
// the connections and reports the outcome of each attempt. The gateway's loop calls the client; stand-in nodes use
// the message types. docs/node-protocol.md describes the protocol.
//
// Nodes speak SFTP version 3, which has no request for a stateless attempt with an idempotency key. The protocol
// therefore sends attempts as SSH_FXP_EXTENDED requests, an extension that a node offers in its VERSION packet.
//
// A Client owns its connections. Each has a goroutine that connects, and those of package packetconn. No state is
// stored. Encoding and decoding messages has no side effects.
package node

import "errors"

// Names of the protocol's extensions.
const (
	ExecExtension   = "exec@irispost"
	CancelExtension = "cancel@irispost"
)

var (
	errUnknownOperation = errors.New("no such operation")
	errUnknownOutcome   = errors.New("no such outcome")
)

// Operation is what an attempt does at a node. Its values are those of the protocol.
type Operation uint8

// Operations on objects, which are read and written in parts, and on records, which are replaced as a whole.
const (
	GetObject            Operation = iota + 1 // reads bytes of an object
	PutObject                                 // writes bytes at an offset of an object, which is created if needed
	DeleteObject                              // removes an object
	GetRecord                                 // reads a record
	CompareAndSwapRecord                      // replaces a record of the expected version, or removes it without data
	ListRecords                               // lists the records of a folder that follow a name
	ListObjects                               // lists the objects that follow a name
)

// Writes reports whether the operation changes an object or a record.
func (o Operation) Writes() bool {
	return o == PutObject || o == DeleteObject || o == CompareAndSwapRecord
}

// Status is the result of an operation that the node executed. Its values are those of the protocol.
type Status uint8

// Results of an operation.
const (
	OK              Status = iota
	NotFound               // the object or record does not exist
	VersionConflict        // the record has another version, which the reply contains
)

// Outcome is how an attempt ended, according to the node's reply or the state of the connection. The values up to
// WrongShard are those of the protocol.
type Outcome uint8

// Outcomes of an attempt.
const (
	Failed          Outcome = iota // the node reported a failure, but may have executed the operation
	Executed                       // the node executed the operation; Status is the result
	QueueFull                      // the node's queue was full; the attempt never ran
	WrongShard                     // the node does not hold the shard; the attempt never ran
	ConnectFailed                  // not connected, or the request was not sent in full; it never ran
	ConnectionReset                // the connection broke while the attempt was in flight; it may have run
)

// unitScale converts units to the whole thousandths of units that messages contain.
const unitScale = 1000
