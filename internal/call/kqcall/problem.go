package kqcall

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"kumquatglade/internal/call/kqheader"
)

// problem is the JSON body of each response that the load balancer generates itself
// instead of forwarding one from a target.
type problem struct {
	Error   string `json:"error"` // one word for the cause, such as "rate" or "late"
	Owner   string `json:"owner,omitempty"`
	Service string `json:"service,omitempty"`
	Version uint64 `json:"version,omitempty"` // of the owner's contract that applied
	Run     string `json:"run"`               // whether the call was executed: kqheader.RunNo or RunUnknown
	Wait    string `json:"wait,omitempty"`    // duration after which the caller may retry
	Detail  string `json:"detail,omitempty"`

	status int
	wait   time.Duration
}

func (p problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(kqheader.Run, p.Run)
	if p.wait > 0 {
		p.Wait = p.wait.Round(time.Millisecond).String()
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.wait.Seconds()))))
	}
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	h.Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(p.status)
	w.Write(append(body, '\n')) // an error means that the caller has disconnected
}
