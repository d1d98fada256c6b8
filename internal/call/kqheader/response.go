package kqheader

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// Statuses of responses, RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckResponse returns an error if the head of a response, an interim one too, is malformed.
// It is for what the parser of net/http lets pass.
func CheckResponse(res *http.Response) error {
	if res.StatusCode < minStatus || res.StatusCode > maxStatus {
		return errors.Newf("malformed status %.16q", res.Status)
	}
	return CheckFields(res.Header)
}

// CheckFields returns an error if the name of a field is no token. The parser of net/http lets
// blanks in names pass and does not make such a name canonical, so that what the field says is
// overlooked, and reads as another field to whoever it is sent on to.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) { // a trailer that is only announced has no values
			return errors.Newf("malformed field name %.32q", name)
		}
	}
	return nil
}
