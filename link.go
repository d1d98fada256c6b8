package kq

import (
	"context"
	"encoding/json"
)

// Link carries messages and requests between the hosts of a system.
//
// A message may be lost, delayed, duplicated or reordered;
// senders and receivers must tolerate that.
type Link interface {
	// Send queues the message for the peer host and never blocks.
	Send(peer, kind string, body any)
	// Encode returns the encoded message, so that it can be sent several times.
	Encode(kind string, body any) ([]byte, error)
	// SendEncoded queues the encoded message for each of the peers and never blocks.
	SendEncoded(peers []string, message []byte)
	// Call sends a request and decodes the peer's answer into out.
	Call(ctx context.Context, peer, kind string, body, out any) error
	// Up reports whether the peer is connected now.
	Up(peer string) bool
	// Receiving reports whether a message of the peer is arriving now, which can take long
	// on a slow network link.
	Receiving(peer string) bool
	// Host returns the name of this host, which is a peer of itself.
	Host() string
}

// Receiver takes messages that arrive over a Link.
type Receiver interface {
	// Receive handles one message of the kind from the authenticated peer host.
	Receive(peer, kind string, body json.RawMessage)
}
