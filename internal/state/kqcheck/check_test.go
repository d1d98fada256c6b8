package kqcheck

import (
	"strings"
	"testing"
)

// TestBoundElements guards against a document whose few bytes decode to far more, and against
// one that is refused for commas or brackets within its texts.
func TestBoundElements(t *testing.T) {
	list := func(element string, n int) string {
		return `{"a":[` + strings.TrimSuffix(strings.Repeat(element+",", n), ",") + `]}`
	}
	for name, c := range map[string]struct {
		document string
		ok       bool
	}{
		"empty":              {"", true},
		"numbers":            {list("0", freeElements-1), true},
		"more numbers":       {list("0", 2*freeElements), false},
		"nulls":              {list("null", 2*freeElements), false},
		"objects":            {list("{}", 2*freeElements), false},
		"lists":              {list("[]", freeElements), false},
		"fields":             {list(`{"a":1,"b":2,"c":3}`, freeElements), true},
		"weighted routes":    {list(`{"name":"r-000001","pathPrefix":"/p","routeKind":"safe","timeout":"1s","trafficSplit":[{"service":"one","weight":0.5},{"service":"two","weight":0.5}]}`, 20_000), true},
		"plain routes":       {list(`{"name":"r-000001","pathPrefix":"/p","routeKind":"safe","timeout":"1s","service":"one"}`, 90_000), true},
		"commas in a text":   {`"` + strings.Repeat(",[", 2*freeElements) + `"`, true},
		"quotes in a text":   {`["\",` + strings.Repeat(",", 2*freeElements) + `"]`, true},
		"nested":             {strings.Repeat("[", maxNesting) + strings.Repeat("]", maxNesting), true},
		"nested deeper":      {strings.Repeat("[", maxNesting+1), false},
		"closed, not opened": {strings.Repeat("]", freeElements), true},
	} {
		t.Run(name, func(t *testing.T) {
			if err := BoundElements([]byte(c.document)); (err == nil) != c.ok {
				t.Errorf("%v, want allowed %v", err, c.ok)
			}
		})
	}
}
