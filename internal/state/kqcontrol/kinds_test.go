package kqcontrol

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"kumquatglade/internal/fake/kqfake"
	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqroutes"

	"github.com/google/go-cmp/cmp"
)

// TestAcceptedKindsSurviveRestart guards against a host that ends, or loses what was
// acknowledged, because a log or a snapshot of an earlier version holds kinds of routes that
// are refused now. What is already in the log is not validated again.
func TestAcceptedKindsSurviveRestart(t *testing.T) {
	disk := kqfake.NewDisk(rand.New(rand.NewPCG(1, 1)))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	accepted := &kqroutes.Proposal{Source: []byte(`{"version":"00000007"}`), Document: kqroutes.Document{
		Version: 7, Services: []kqroutes.Service{{Name: "kekhai"}}, Hosts: []kqroutes.Host{{Name: "rent.example", Routes: []kqroutes.Route{
			{Name: "r1", Prefix: "/a/", Service: "kekhai", Kind: kqroutes.Download, Timeout: time.Second},
			{Name: "r2", Prefix: "/b/", Service: "kekhai", Kind: "of-another-version", Timeout: time.Second},
		}}},
	}}
	store := startAlone(t, disk)
	if _, err := store.Submit(ctx, kqcontract.Command{Op: kqcontract.OpRoutes, Routes: accepted}); err != nil {
		t.Fatal(err)
	}
	store.Close()

	store = startAlone(t, disk)
	defer store.Close()
	got, err := store.Routes(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(accepted, got); diff != "" {
		t.Errorf("from the log: %s", diff)
	}
	var snapshot []byte
	if err := store.View(func(s *kqcontract.State) { snapshot, err = s.Encode() }); err != nil {
		t.Fatal(err)
	}
	restored, err := kqcontract.Decode(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(accepted, restored.Routes.Current); diff != "" {
		t.Errorf("from a snapshot: %s", diff)
	}
	next := &kqroutes.Proposal{Source: []byte("next"), Document: kqroutes.Document{Version: 8, Services: accepted.Document.Services}}
	if res, err := store.Submit(ctx, kqcontract.Command{Op: kqcontract.OpRoutes, Routes: next}); err != nil || res.Refused != "" || res.Accepted.Version != 8 {
		t.Errorf("the next version: %+v %v", res, err)
	}
}
