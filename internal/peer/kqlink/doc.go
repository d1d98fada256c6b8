// Package kqlink connects the system's own processes: jsonrpc2 over TCP, one
// connection for each pair of hosts, opened by one of them and used by both.
//
// Before the first message both ends prove that they know the shared secret by
// a challenge; the secret itself is never sent. One heartbeat serves both
// directions of a connection; a silent one is closed and dialled again.
package kqlink
