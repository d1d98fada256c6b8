package kqresponse

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that the head or the trailer of a response is malformed.
var ErrMalformed = errors.New("malformed response")

// ErrCloseDelimited means that the response has no length and ended by the close of
// its connection, so that it may be truncated.
var ErrCloseDelimited = errors.New("answer of unknown length ended by close")

// Statuses of responses, RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an ErrMalformed if the head of a response, an interim one too, is
// malformed.
func CheckHead(status int, h http.Header) error {
	if status < minStatus || status > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %d", status)
	}
	return CheckFields(h)
}

// CheckFields returns an ErrMalformed if the name of a field is no token. The parser of net/http
// lets blanks in names pass and does not make such a name canonical, so that what the field
// says is overlooked, and reads as another field to whoever it is sent on to.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) { // a trailer that is only announced has no values
			return errors.Wrapf(ErrMalformed, "field name %.32q", name)
		}
	}
	return nil
}

// IsDelimited reports whether the response says itself where it ends, by a length, its last chunk
// or an encoding that the client of net/http has decoded, or has no body.
func IsDelimited(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Uncompressed || res.Body == http.NoBody
}
