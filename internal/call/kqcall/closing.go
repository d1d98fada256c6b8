package kqcall

import (
	"net/http"
	"strconv"

	"kumquatglade/internal/call/kqlistener"
)

// longResponse is the size in bytes from which a response may still be under way when a
// further call arrives.
const longResponse = 64 << 10

// closingWriter lets a response of a host that shuts down close its connection, unless a
// further call has arrived there, which gets its response first.
type closingWriter struct {
	http.ResponseWriter
	engine   *Engine
	in       *http.Request
	bodyRead bool // the body of the call was read to its end
}

// Unwrap returns the writer of the server for an http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	ctx := w.in.Context()
	switch {
	case !w.engine.shutdown.Begun():
	case kqlistener.MoreArrived(ctx, w.bodyRead):
	case w.isLong() && kqlistener.KeepOpen(ctx):
	default:
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *closingWriter) isLong() bool {
	size, err := strconv.Atoi(w.Header().Get("Content-Length"))
	return err != nil || size >= longResponse
}
