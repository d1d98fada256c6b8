package kqroutes

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/golden"
)

// TestDocumentWithOwners compares a document as operators write it with what hosts keep and
// exchange, and guards against keys in it.
func TestDocumentWithOwners(t *testing.T) {
	source, err := os.ReadFile("testdata/owners.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := Parse(source)
	if err != nil {
		t.Fatal(err)
	}
	p, err := json.MarshalIndent(doc, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Assert(t, string(p)+"\n", "owners.golden")
	if strings.Contains(string(p), "secret") {
		t.Error("the document contains a key")
	}
	table := NewTable(doc)
	for key, owner := range map[string]string{"secret-1": "acme", "secret-2": "acme", "secret-3": "small", "secret-4": "", "": ""} {
		name := ""
		if o := table.OwnerByKey(DigestKey(key)); o != nil {
			name = o.Name
		}
		if name != owner {
			t.Errorf("key %q belongs to %q, want %q", key, name, owner)
		}
	}
}

// TestDocumentWithoutOwners guards the encoding of documents without the fields for owners,
// cold targets and regions: old hosts read them.
func TestDocumentWithoutOwners(t *testing.T) {
	p, err := json.Marshal(sampleDocument(1))
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{"owners", "keyed", "open", "regions", "coldTime", "coldRate"} {
		if strings.Contains(string(p), field) {
			t.Errorf("the document contains %s", field)
		}
	}
	if NewTable(sampleDocument(1)).NeedsKey() {
		t.Error("requests need a key")
	}
}

// TestInvalidOwners guards against documents whose owners can't be told apart, and against
// keys in the errors.
func TestInvalidOwners(t *testing.T) {
	source, err := os.ReadFile("testdata/owners.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, from, to string }{
		{"two owners with one key", `"secret-3"`, `"secret-2"`},
		{"two owners with one name", `"small"`, `"acme"`},
		{"empty key", `"secret-3"`, `""`},
		{"huge key", `"secret-3"`, `"secret` + strings.Repeat("k", MaxKey) + `"`},
		{"key that is no text", `["secret-3"]`, `"secret-3"`},
		{"no name", `"name": "small"`, `"name": ""`},
		{"name with a line break", `"small"`, `"sm\nall"`},
		{"rate below 0", `"rate": 1.5`, `"rate": -1.5`},
		{"rate that is too large", `"rate": 1.5`, `"rate": 1e999`},
		{"burst below 0", `"burst": 40`, `"burst": -1`},
		{"priority below 0", `"priority": 0, "rate"`, `"priority": -1, "rate"`},
		{"unknown field", `"rate": 1.5`, `"ratio": 1.5`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bad := strings.Replace(string(source), c.from, c.to, 1)
			_, err := Parse([]byte(bad))
			if err == nil || bad == string(source) {
				t.Fatal("the document is accepted")
			}
			if strings.Contains(err.Error(), "secret") || strings.Contains(err.Error(), "\n") {
				t.Errorf("the error contains a key or a line break: %v", err)
			}
		})
	}
	doc := sampleDocument(1)
	for _, o := range []Owner{{Name: "a", Rate: math.NaN()}, {Name: "a", Burst: math.Inf(1)}, {Name: "a", Rate: math.MaxFloat64, Burst: math.MaxFloat64}} {
		doc.Owners = []Owner{o}
		if doc.Validate() == nil {
			t.Errorf("accepted: %+v", o)
		}
	}
}

// randomOwners returns owners in random order, some of which share names and values with
// those of earlier calls.
func randomOwners(rng *rand.Rand) []Owner {
	var list []Owner
	regions := []string{"east", "west", "north"}
	for _, i := range rng.Perm(8)[:rng.IntN(9)] {
		o := Owner{Name: fmt.Sprint("owner-", i), Rate: float64(rng.IntN(2)), Burst: float64(rng.IntN(2)), Regions: regions[:rng.IntN(3)]}
		for k := range rng.IntN(3) {
			o.Keys = append(o.Keys, DigestKey(fmt.Sprint(i, k)))
		}
		if n := rng.IntN(3); n > 0 {
			o.Priority = &n
		}
		list = append(list, o)
	}
	return list
}

// randomDocument returns a document with random routes and owners.
func randomDocument(rng *rand.Rand, version uint64) *Document {
	d := sampleDocument(version)
	d.Owners, d.Keyed = randomOwners(rng), rng.IntN(2) == 0
	for i := range d.Hosts[0].Routes {
		r := &d.Hosts[0].Routes[i]
		r.Open, r.Regions = rng.IntN(2) == 0, []string{"east", "west"}[:rng.IntN(3)]
	}
	d.Services = slices.Clone(d.Services)
	d.Services[0].ColdRate, d.Services[0].ColdTime = float64(rng.IntN(2)), time.Duration(rng.IntN(2))*time.Second
	return d
}

// TestOwnersDeltaChain: applying the deltas of a random chain of documents with owners, as
// encoded between hosts, gives the last document.
func TestOwnersDeltaChain(t *testing.T) {
	encodings := map[string]func(in, out any) error{
		"json": func(in, out any) error {
			p, err := json.Marshal(in)
			if err != nil {
				return err
			}
			return json.Unmarshal(p, out)
		},
		"cbor": func(in, out any) error {
			p, err := cbor.Marshal(in)
			if err != nil {
				return err
			}
			return cbor.Unmarshal(p, out)
		},
	}
	sorted := func(d *Document) *Document {
		full, _ := (*Document)(nil).With(d.Diff(nil))
		return full
	}
	for name, encode := range encodings {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 5))
				var have, last *Document
				for v := uint64(1); v < 60; v++ {
					d := randomDocument(rng, v)
					if err := d.Validate(); err != nil {
						t.Fatal(err)
					}
					var delta Delta
					if err := encode(d.Diff(last), &delta); err != nil {
						t.Fatal(err)
					}
					next, ok := have.With(delta)
					if !ok {
						t.Fatalf("version %d does not follow", v)
					}
					emptyIsNil := cmp.Transformer("", func(list []string) string { return strings.Join(list, ",") })
					if diff := cmp.Diff(sorted(d), next, emptyIsNil); diff != "" {
						t.Fatalf("version %d: %s", v, diff)
					}
					have, last = next, d
				}
			})
		}
	}
}

// TestManyOwnersDelta guards the size of a change on slow links: of thousands of owners only
// the changed ones are sent.
func TestManyOwnersDelta(t *testing.T) {
	const count = 5000
	document := func(version uint64) *Document {
		d := sampleDocument(version)
		for i := range count {
			d.Owners = append(d.Owners, Owner{Name: fmt.Sprint("owner-", i), Keys: []KeyDigest{DigestKey(fmt.Sprint(i))}, Rate: 10})
		}
		return d
	}
	from, to := document(1), document(2)
	to.Owners[7].Keys = append(to.Owners[7].Keys, DigestKey("new"))
	to.Owners[8].Rate = 20
	to.Owners = slices.Delete(to.Owners, 9, 10)
	p, err := json.Marshal(to.Diff(from))
	if err != nil || len(p) > 500 {
		t.Errorf("%d bytes for three changed owners, %v", len(p), err)
	}
	full, err := json.Marshal(to.Diff(nil))
	if err != nil || len(full) > 100*count {
		t.Errorf("%d bytes for %d owners, %v", len(full), count, err)
	}
	started := time.Now()
	table := NewTable(to)
	if table.OwnerByKey(DigestKey("new")).Name != "owner-7" || time.Since(started) > time.Second {
		t.Errorf("the table took %v", time.Since(started))
	}
}

// TestKeysIssued guards against a host that shows keys to targets since it does not know that
// callers have some: the document that says so went on to one without owners, the state was
// written and read, or the host got only what changed.
func TestKeysIssued(t *testing.T) {
	var b Registry
	var have *Document
	for _, step := range []struct {
		version uint64
		owners  []Owner
		issued  bool
	}{{1, nil, false}, {2, []Owner{{Name: "a"}}, true}, {3, nil, true}, {4, nil, true}} {
		d := sampleDocument(step.version)
		d.Owners = step.owners
		var last *Document
		if b.Current != nil {
			last = &b.Current.Document
		}
		b.Accept(&Proposal{Document: *d}, time.Time{}, step.version)
		p, err := cbor.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		b = Registry{}
		if err := cbor.Unmarshal(p, &b); err != nil {
			t.Fatal(err)
		}
		next, ok := have.With(b.Current.Document.Diff(last))
		if !ok {
			t.Fatalf("version %d does not follow", step.version)
		}
		have = next
		for name, d := range map[string]*Document{"document": &b.Current.Document, "entry host": have} {
			if got := NewTable(d).HasIssuedKeys(); got != step.issued {
				t.Errorf("version %d, %s: keys issued %v, want %v", step.version, name, got, step.issued)
			}
		}
	}
}
