package kqrelay

import (
	"io"
	"net"
	"net/http"

	"kumquatglade/internal/call/kqresponse"
)

// Relay forwards every HTTP request to one address.
type Relay struct {
	addr      string
	transport kqresponse.Transport
	server    *http.Server
	listener  net.Listener
}

// Start listens on a free loopback port and relays to addr, an IP:port. It fails
// when it cannot listen.
func Start(addr string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{addr: addr, listener: l, transport: kqresponse.Transport{Base: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l) // returns after Close
	return r, nil
}

// Addr returns the IP:port that the relay listens on.
func (r *Relay) Addr() string {
	return r.listener.Addr().String()
}

// Close stops the relay and closes its idle connections to the address.
func (r *Relay) Close() {
	r.server.Close()
	r.transport.CloseIdleConnections()
}

// ServeHTTP relays one request. It answers 502 without a valid response, and breaks
// off the response where it cannot be relayed to its end.
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
	if _, err := io.Copy(w, res.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
