// Package kqsocket holds what the parts need of TCP sockets beyond net.
package kqsocket
