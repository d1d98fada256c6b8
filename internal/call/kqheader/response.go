package kqheader

import (
	"net/http"

	"github.com/cockroachdb/errors"
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
	return nil
}
