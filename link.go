package kq

import (
	"context"
	"encoding/json"
)

// Link carries messages and requests between the system's own processes.
//
// A message may be lost, delayed, repeated or overtaken; the parts above bear it.
type Link interface {
	// Send queues the message for the peer host and never blocks.
	Send(peer, kind string, body any)
	// Encode returns the message as it travels, to be sent more than once.
	Encode(kind string, body any) ([]byte, error)
	// SendEncoded queues the encoded message for each of the peers and never blocks.
	SendEncoded(peers []string, message []byte)
	// Call sends a request and decodes the peer's answer into out.
	Call(ctx context.Context, peer, kind string, body, out any) error
	// Up reports whether there is a link to the peer now.
	Up(peer string) bool
	// Host returns the name of this host, which is a peer of itself.
	Host() string
}

// Receiver takes messages that arrive over a Link.
type Receiver interface {
	// Receive handles one message of the kind from the authenticated peer host.
	Receive(peer, kind string, body json.RawMessage)
}
