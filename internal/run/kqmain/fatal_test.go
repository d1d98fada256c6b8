package kqmain

import (
	"net/http"
	"testing"
	"time"

	"kumquatglade/internal/bench/kqsoak"

	"golang.org/x/sys/unix"
)

// TestFailedDiskEndsNoRequest guards against a host with both roles whose control role can no
// longer write, and that then ends at once and cuts the requests that it has passed on to a
// target.
func TestFailedDiskEndsNoRequest(t *testing.T) {
	p := startProcess(t)
	happened := make(chan error, 1)
	time.AfterFunc(signalAfter, func() {
		happened <- unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{}, nil)
		_, _ = p.send("PUT", p.addrs.Admin, "/v1/routes", kqsoak.Routes(8, false)) // cannot be written
	})
	status, err := p.send("POST", p.addrs.Calls, "/file/1", []byte("filing"))
	if err != nil || status != http.StatusOK {
		t.Errorf("request in progress: %d %v, want its whole response", status, err)
	}
	if err := <-happened; err != nil {
		t.Error(err)
	}
}
