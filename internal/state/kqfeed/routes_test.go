package kqfeed

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"kumquatglade/internal/state/kqcontract"
	"kumquatglade/internal/state/kqroutes"

	"github.com/google/go-cmp/cmp"
)

// smallDocuments returns documents that differ from each other in one part, a part being empty
// included.
func smallDocuments() []kqroutes.Document {
	route := func(prefix, service string, timeout time.Duration) kqroutes.Route {
		return kqroutes.Route{Prefix: prefix, Service: service, Kind: kqroutes.Safe, Timeout: timeout}
	}
	services := []kqroutes.Service{{Name: "chiso", Health: "/health"}, {Name: "kekhai"}}
	hosts := []kqroutes.Host{{Name: "a.example", Routes: []kqroutes.Route{route("/", "chiso", time.Second), route("/b/", "kekhai", time.Second)}}}
	other := []kqroutes.Host{{Name: "a.example", Routes: []kqroutes.Route{route("/", "chiso", time.Minute), route("/b/", "kekhai", time.Second)}}}
	owners := []kqroutes.Owner{{Name: "o", Keys: []kqroutes.KeyDigest{kqroutes.DigestKey("k")}}}
	return []kqroutes.Document{
		{Services: services, Hosts: hosts},
		{Services: services, Hosts: other},
		{Services: services[:1], Limits: kqroutes.Limits{Body: 1}},
		{Services: services, Hosts: hosts, Owners: owners},
		{Hosts: nil, Keyed: true},
	}
}

// TestSmallHistories guards against a host that acts on other routes than those accepted: over
// all short histories of versions, the first of which may be 0, and of documents, a host that was
// there, one that starts later and one that missed versions have the whole document.
func TestSmallHistories(t *testing.T) {
	documents := smallDocuments()
	var play func(history []kqcontract.Command)
	play = func(history []kqcontract.Command) {
		checkHistory(t, history)
		if len(history) == 3 || t.Failed() {
			return
		}
		for _, version := range []uint64{0, 1, 5} {
			for i := range documents {
				d := documents[i]
				d.Version = version + 2*uint64(len(history))
				if version == 0 {
					d.Version = 0 // also behind a higher version
				}
				play(append(history[:len(history):len(history)], kqcontract.Command{
					Op: kqcontract.OpRoutes, Routes: &kqroutes.Proposal{Document: d, Source: []byte(fmt.Sprint(version, i))},
				}))
			}
		}
	}
	play(nil)
}

// checkHistory applies the commands and compares the views of hosts that join at each revision,
// and of those that get all changes since then at once.
func checkHistory(t *testing.T, history []kqcontract.Command) {
	t.Helper()
	state := kqcontract.NewState()
	views, missed := []View{encoded(t, newView(state))}, [][]kqcontract.Change{nil}
	var versions []uint64
	for _, c := range history {
		versions = append(versions, c.Routes.Document.Version)
		if result, change := state.Apply(c); change != nil {
			change := encoded(t, *change)
			for i := range views {
				missed[i] = append(missed[i], change)
			}
			views, missed = append(views, encoded(t, newView(state))), append(missed, nil)
		} else if result.Refused != "" {
			t.Fatalf("versions %v: refused: %s", versions, result.Refused)
		}
	}
	if state.Routes.Current == nil {
		return
	}
	want, _ := (*kqroutes.Document)(nil).With(state.Routes.Current.Document.Diff(nil))
	for i, start := range views {
		oneByOne := start
		for _, c := range missed[i] {
			oneByOne = with(t, oneByOne, c)
		}
		for name, v := range map[string]View{"one by one": oneByOne, "at once": with(t, start, missed[i]...)} {
			got, _ := (*kqroutes.Document)(nil).With(v.Routes.Diff(nil))
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("versions %v, host that starts at revision %d, changes %s: %s", versions, i, name, diff)
			}
		}
	}
}

func with(t *testing.T, v View, list ...kqcontract.Change) View {
	t.Helper()
	next, err := v.with(list)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// encoded returns v as another host decodes it.
func encoded[T any](t *testing.T, v T) (out T) {
	t.Helper()
	p, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(p, &out); err != nil {
		t.Fatal(err)
	}
	return out
}
