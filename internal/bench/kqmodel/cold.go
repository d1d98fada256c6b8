package kqmodel

import (
	"strconv"
	"time"

	"kumquatglade/internal/route/kqselection"
)

// limitCold gives the host, the n-th one, its share of the cold rate of all targets.
func (h *host) limitCold(n int) {
	s := h.s
	h.list = kqselection.NewEntryList(strconv.Itoa(n))
	addrs := make([]string, s.cfg.Hosts)
	for i := range addrs {
		addrs[i] = strconv.Itoa(i)
	}
	h.list.Set(addrs, s.began)
	h.list.HeardAt = s.began.Add(s.cfg.Duration + drained) // no control host fails
	for i, t := range h.known {
		t.ID = strconv.Itoa(i)
		t.LimitCold(h.list, kqselection.ColdLimits{}.Pace(s.cfg.ColdRate), s.began)
	}
}

// announceCold tells all hosts that the targets of the fault have restarted cold.
func (s *sim) announceCold() {
	for _, h := range s.hosts {
		for i, k := range h.known {
			if _, hit := s.targets[i].fault(); hit {
				k.RecordAnnouncedCold(s.now, s.now, s.cfg.For)
			}
		}
	}
}

// toleratesCold reports whether the request loses little on a cold target.
func (p *passage) toleratesCold() bool {
	h := p.host
	startBy, _ := h.limits(p)
	return kqselection.ToleratesCold(h.s.now, startBy, h.serviceTime(p))
}

// coldUntil reports whether all targets are cold, and this host may send to none of them before
// the given time.
func (h *host) coldUntil(at time.Time) bool {
	end, ok := kqselection.ColdEnd(h.known, h.s.now)
	return ok && (end.IsZero() || !end.Before(at))
}

// barred reports whether the target turned out to be barred right before the send, which is
// then not counted.
func (p *passage) barred(k *kqselection.Target) bool {
	if p.host.list == nil || k.BarredToSend(p.host.s.now) == kqselection.NotBarred {
		return false
	}
	k.InFlight--
	return true
}

// recordSent records that a request is sent to the target.
func (s *sim) recordSent(i int) {
	s.report.Sent[i] = append(s.report.Sent[i], s.since().Round(time.Microsecond))
}
