package kqcommand

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"kumquatglade/internal/admin/kqclient"
)

func (a *App) client() *kqclient.Client {
	servers := strings.FieldsFunc(a.server, func(r rune) bool { return r == ',' || r == ' ' })
	return kqclient.New(kqclient.Config{Servers: servers, Key: a.key})
}

func (a *App) printJSON(v any) error {
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (a *App) printLine(v any) {
	json.NewEncoder(a.out).Encode(v) // a closed pipe ends the program
}

// table prints aligned columns.
type table struct{ w *tabwriter.Writer }

func (a *App) table(columns ...string) table {
	t := table{tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(t.w, strings.Join(columns, "\t"))
	return t
}

func (t table) row(cells ...any) {
	words := make([]string, len(cells))
	for i, c := range cells {
		words[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(words, "\t"))
}

func (t table) flush() error {
	return t.w.Flush()
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
