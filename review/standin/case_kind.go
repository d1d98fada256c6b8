package main

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["kind"] = caseKind }

// caseKind: the operator sends an invalid desired state, with a routeKind that PROTOCOL.md
// does not name. It must be refused. Meanwhile some answers of instances are lost.
func caseKind(log *record, trouble bool) (int, error) {
	state := func(version, kind string) []byte {
		return desiredState(version, []string{"desk"}, route{"r-1", "/pay/", kind, "1200ms", "300ms", 1, "desk", 2})
	}
	var mu sync.Mutex
	dice := rand.New(rand.NewPCG(1, 1))
	lossy := false
	s, err := startSite(log, 3, 2, state("00000001", "unsafe"), "desk", 4, func(in *instance) {
		if in.id == "i-1" || in.id == "i-2" { // half of them lose 3 of 100 answers
			in.loses = func(*http.Request) bool {
				mu.Lock()
				defer mu.Unlock()
				return lossy && dice.Float64() < 0.03
			}
		}
	})
	if err != nil {
		return invalid, err
	}
	defer s.close()
	kind := "unsafe"
	if trouble {
		kind = "download"
	}
	sent := state("00000002", kind)
	status, err := s.putConfig(sent, 10*time.Second)
	if err != nil {
		return invalid, err
	}
	log.say("PUT /config of version 00000002 with routeKind %q: status %d", kind, status)
	time.Sleep(2500 * time.Millisecond) // configApply, and a little longer
	code, read := call(http.MethodGet, s.cores[0].addr(offControl), "/config", nil)
	inForce := bytes.Contains(read, []byte(`"version":"00000002"`))
	log.say("GET /config: status %d, version 00000002 is in force: %v", code, inForce)

	mu.Lock()
	lossy = true
	mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, 5*time.Second)
	defer cancel()
	answers := s.load(ctx, 16, 20*time.Millisecond, func() request {
		return request{newID(), "POST", "/pay/x", []byte("deposit=25"), 2500 * time.Millisecond}
	})
	twice := 0
	for _, a := range answers {
		if n := s.runs(a.id); n > 1 {
			twice++
			log.printf("POST %s ran %d times", a.id, n)
		}
	}
	log.say("%d payments sent, %d ran more than once", len(answers), twice)
	if trouble && (status == 200 || inForce) || twice > 0 {
		log.say("CONFIG: what is invalid is acknowledged and in force")
		return broken, nil
	}
	return held, nil
}
