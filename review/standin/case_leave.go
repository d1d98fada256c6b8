package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	drain         = 2 * time.Second
	contactWindow = 3 * time.Second
)

func init() { cases["leave"] = caseLeave }

// caseLeave: all processes of the core are killed at the same moment and are back within a
// second. An instance that leaves meanwhile says so until it is acknowledged. The
// acknowledgement must hold.
func caseLeave(log *record, trouble bool) (int, error) {
	config := desiredState("00000001", []string{"store"},
		route{"r-1", "/read/", "safe", "1000ms", "250ms", 1, "store", 2})
	s, err := startSite(log, 5, 4, config, "store", 4, nil)
	if err != nil {
		return invalid, err
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(s.ctx, 11*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var answers []outcome
	wg.Go(func() {
		answers = s.load(ctx, 12, 60*time.Millisecond, func() request { return request{newID(), "GET", "/read/x", nil, 2 * time.Second} })
	})
	time.Sleep(time.Second)
	leaving := s.instances[0]
	leaving.stopPings() // it says that it leaves, and no longer that it is ready
	lastCoreEvent := time.Now()
	if trouble {
		for _, c := range s.cores {
			c.signalKill()
		}
		log.say("all %d processes of the core get SIGKILL", len(s.cores))
		killed := time.Now()
		for i, c := range s.cores {
			c.kill() // waits for its end
			wg.Go(func() {
				back := 300 * time.Millisecond
				if i > 0 {
					back = 900 * time.Millisecond
				}
				time.Sleep(time.Until(killed.Add(back)))
				if err := c.start(false); err != nil {
					log.say("%s does not start: %v", c.name, err)
				}
				log.say("%s is started again %v after the kill", c.name, time.Since(killed).Round(time.Millisecond))
			})
		}
		lastCoreEvent = killed.Add(time.Second)
	}
	ackedBy, ackedAt := "", time.Time{}
	for ctx.Err() == nil && ackedBy == "" {
		ackedBy, ackedAt = leaving.leave(s.controls()), time.Now()
		time.Sleep(50 * time.Millisecond)
	}
	if ackedBy == "" {
		wg.Wait()
		return invalid, fmt.Errorf("no node acknowledged that %s leaves", leaving.id)
	}
	log.say("%s: the leave is acknowledged by %s", leaving.id, ackedBy)
	wg.Wait()

	// Counted are arrivals later than drain after the ack, when all machines are in touch again.
	from := ackedAt.Add(drain)
	if t := lastCoreEvent.Add(contactWindow); t.After(from) {
		from = t
	}
	from = from.Add(250 * time.Millisecond)
	late, last := leaving.arrivalsAfter(from)
	served := 0
	for _, a := range answers {
		if a.status == 200 {
			served++
		}
	}
	log.say("%d of %d requests served", served, len(answers))
	if served < len(answers)/2 {
		return invalid, fmt.Errorf("too few requests served")
	}
	if len(late) > 0 {
		log.say("DRAIN: %d requests reached %s later than %v after the ack and %v after the last event of the core, the last one %v after the ack",
			len(late), leaving.id, drain, contactWindow, last.Sub(ackedAt).Round(time.Millisecond))
		return broken, nil
	}
	return held, nil
}
