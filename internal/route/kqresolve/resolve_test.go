package kqresolve

import (
	"fmt"
	"testing"

	"kumquatglade/internal/state/kqcontract"

	"github.com/google/go-cmp/cmp"
)

func hosts(n, domains int) []kqcontract.EntryHost {
	var list []kqcontract.EntryHost
	for i := range n {
		list = append(list, kqcontract.EntryHost{Name: fmt.Sprintf("e%02d", i), Domain: fmt.Sprintf("d%d", i%domains)})
	}
	return list
}

func TestEntries(t *testing.T) {
	cases := []struct {
		name    string
		hosts   int
		domains int
		rate    float64
		want    int
	}{
		{"no host is left", 0, 1, 10, 0},
		{"one host", 1, 1, 10, 1},
		{"a small service", 13, 3, 10, 2},
		{"a service that needs more", 13, 3, 9000, 5},
		{"a service that needs all", 13, 3, 1e6, 13},
		{"one failure domain only", 13, 1, 10, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for service := range 50 {
				got := Entries(Query{Service: fmt.Sprint("s", service), Rate: c.rate, Hosts: hosts(c.hosts, c.domains)})
				if len(got) != c.want {
					t.Fatalf("%d hosts chosen", len(got))
				}
				if c.domains > 1 && c.want > 1 && got[0].Domain == got[1].Domain {
					t.Fatalf("the first two are both in %s", got[0].Domain)
				}
			}
		})
	}
}

// TestHostLossKeepsOtherEntries checks that the loss of a service's second entry
// host leaves the first one unchanged.
func TestHostLossKeepsOtherEntries(t *testing.T) {
	all := hosts(13, 3)
	for service := range 50 {
		q := Query{Service: fmt.Sprint("s", service), Rate: 10, Hosts: all}
		before := Entries(q)
		q.Hosts = nil
		for _, h := range all {
			if h != before[1] {
				q.Hosts = append(q.Hosts, h)
			}
		}
		if diff := cmp.Diff(before[0], Entries(q)[0]); diff != "" {
			t.Fatal(diff)
		}
	}
}
