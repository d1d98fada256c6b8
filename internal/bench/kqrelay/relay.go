package kqrelay

import (
	"io"
	"net"
	"net/http"
)

// Relay passes every request on to one address.
type Relay struct {
	addr      string
	transport *http.Transport
	server    *http.Server
	listener  net.Listener
}

// Start listens on any loopback port and relays to addr.
func Start(addr string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{addr: addr, listener: l, transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l) // Close ends it
	return r, nil
}

// Addr returns the IP:port that the relay serves.
func (r *Relay) Addr() string {
	return r.listener.Addr().String()
}

// Close stops the relay.
func (r *Relay) Close() {
	r.server.Close()
	r.transport.CloseIdleConnections()
}

// ServeHTTP relays one request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	out := in.Clone(in.Context())
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", r.addr
	res, err := r.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer res.Body.Close()
	for k, v := range res.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(res.StatusCode)
	io.Copy(w, res.Body) // the caller is gone
}
