package kqcall

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestEncodedSlashMatchesNoPattern guards against a call that may run again because its
// decoded path begins like an idempotent one.
func TestEncodedSlashMatchesNoPattern(t *testing.T) {
	for path, want := range map[string]bool{
		"/quotes/1": true, "/quot%65s/1": true, "/quotes%2F1": false, "/quotes%2f..%2fpay": false,
		"/stock%20list": true, "/stock%2520list": false, "/a%2Fb/1": true, "/a/b/1": false, "/a%252Fb/1": false,
	} {
		q := &request{service: service()}
		q.service.Idempotent = []string{"POST /quotes/*", "POST /stock%20list", "POST /a%2fb/*"}
		if err := q.readHeader(httptest.NewRequest(http.MethodPost, path, nil), time.Now()); err != nil || q.idempotent != want {
			t.Errorf("%s: idempotent %v %v, want %v", path, q.idempotent, err, want)
		}
	}
}
