// Package kqlink connects the hosts of a cluster by JSON-RPC 2.0 over TCP, with
// one connection per pair of hosts, which carries requests in both directions.
//
// Before the first message both ends authenticate each other by a
// challenge-response handshake; the shared secret itself is never sent. One
// heartbeat serves both directions. A connection without traffic is closed and
// dialled again.
package kqlink
