package kqprocess

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ticksPerSecond is the unit of processor time in /proc, fixed on Linux.
const ticksPerSecond = 100

// Cost is what a host has used so far, and its memory now.
type Cost struct {
	Processor time.Duration
	Memory    int64 // resident bytes
	Sent      int64 // bytes over links to peers
	Received  int64
}

// Cost reads what the host has used.
func (h *Host) Cost(ctx context.Context) (Cost, error) {
	var c Cost
	pid, err := h.Pid()
	if err != nil {
		return c, err
	}
	if c.Processor, err = processor(pid); err != nil {
		return c, err
	}
	if c.Memory, err = memory(pid); err != nil {
		return c, err
	}
	var m map[string]struct {
		Count int64 `json:"count"`
	}
	if err := Client(h).Get(ctx, "/v1/metrics", &m); err != nil {
		return c, err
	}
	c.Sent, c.Received = m["link.sent.bytes"].Count, m["link.received.bytes"].Count
	return c, nil
}

func processor(pid int) (time.Duration, error) {
	p, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(p), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, errors.New("process status is too short")
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

func memory(pid int) (int64, error) {
	p, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(p))
	if len(f) < 2 {
		return 0, errors.New("process memory is too short")
	}
	pages, err := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
