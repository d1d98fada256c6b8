// Package kqresponse checks HTTP responses for what the parser and the client of net/http let
// pass: malformed heads and trailers, and responses that may be truncated.
package kqresponse
