// Package node is a gateway's client of the storage nodes that speak the node protocol: its messages, the
// connections, and the outcome of each attempt. The gateway's loop calls the client; stand-in nodes use the messages.
// docs/node-protocol.md describes the protocol.
//
// Nodes speak SFTP version 3. What that lacks, one stateless attempt of a request with its idempotency key, travels in
// SSH_FXP_EXTENDED requests that a node offers in its VERSION packet.
//
// A Client owns its connections, each with a goroutine to connect and those of package packetconn. Nothing persists.
// The messages are pure.
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

// Operation is what an attempt does at a node. Its numbers are the protocol's.
type Operation uint8

// Operations on objects, which hold bytes, and on records, which are replaced as a whole.
const (
	GetObject            Operation = iota + 1 // reads bytes of an object
	PutObject                                 // writes bytes of an object at an offset; creates one if there is none
	DeleteObject                              // removes an object
	GetRecord                                 // reads a record
	CompareAndSwapRecord                      // replaces a record if it has the version; without data it is removed
	ListRecords                               // lists the records of a folder, after a name
	ListObjects                               // lists the objects, after a name
)

// Writes tells whether the operation changes something.
func (o Operation) Writes() bool {
	return o == PutObject || o == DeleteObject || o == CompareAndSwapRecord
}

// Status is the result of an operation that was carried out. Its numbers are the protocol's.
type Status uint8

// Results of an operation.
const (
	OK              Status = iota
	NotFound               // there is no such object or record
	VersionConflict        // the record has another version, which the reply holds
)

// Outcome is how an attempt ended, as far as node and connection can tell. The numbers up to WrongShard are the
// protocol's.
type Outcome uint8

// Outcomes of an attempt.
const (
	Failed          Outcome = iota // the node failed it, and may have carried it out
	Executed                       // the node carried it out; Status is the result
	QueueFull                      // the node's queue is full; it never ran
	WrongShard                     // the node does not hold the shard; it never ran
	ConnectFailed                  // no connection came up; it never ran
	ConnectionReset                // the connection broke while it was in flight; it may have run
)

// unitScale scale the units of a message, which the protocol has as whole numbers.
const unitScale = 1000
