package kqresponse

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterim is the number of interim responses before one response: each may be as long as
// a head.
const maxInterim = 8

// Transport is an http.RoundTripper that returns an error in place of a malformed response, and
// makes reading the body of one that may be truncated end in an error.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	interim := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			if interim++; interim > maxInterim {
				return ErrMalformed
			}
			return CheckHead(status, http.Header(h))
		},
	})
	res, err := t.Base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Strict(res); err != nil {
		res.Body.Close()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections of the underlying transport.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// Strict checks the head of a response. Reading its body then ends in an ErrMalformed if the
// trailer is malformed, and in an ErrCloseDelimited if only the close of the connection ends
// the body.
func Strict(res *http.Response) error {
	if err := CheckHead(res.StatusCode, res.Header); err != nil {
		return err
	}
	res.Body = &body{ReadCloser: res.Body, res: res, delimited: IsDelimited(res)}
	return nil
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	res       *http.Response
	delimited bool // by a length or its last chunk
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if !b.delimited {
		return n, ErrCloseDelimited
	}
	if err := CheckFields(b.res.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}
