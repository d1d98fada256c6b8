package kqcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"

	"kumquatglade/internal/state/kqroutes"

	"github.com/cockroachdb/errors"
)

// errWarnings says that a document is valid and has warnings.
var errWarnings = errors.New("valid, with warnings")

// errInvalid says that a document is not valid; the finding says why.
var errInvalid = errors.New("not valid")

// checkFlags are the flags of the check of a routes document.
type checkFlags struct {
	inForce bool   // compare with the routes in force
	earlier string // file to compare with
}

// Levels of findings.
const (
	levelError   = "error"
	levelWarning = "warning"
)

// finding is an error or a warning about a document.
type finding struct {
	Level string `json:"level"`
	Place string `json:"place,omitempty"`
	Text  string `json:"text"`
}

func (f finding) String() string {
	if f.Place == "" {
		return f.Level + ": " + f.Text
	}
	return f.Level + ": " + f.Place + ": " + f.Text
}

// checkReport is the result of a check.
type checkReport struct {
	File     string    `json:"file"`
	Version  uint64    `json:"version,omitempty"`
	Findings []finding `json:"findings"`
	Against  uint64    `json:"against,omitempty"` // version of the document that was compared
	Changes  []string  `json:"changes,omitempty"`
}

func (r *checkReport) add(level, place, format string, args ...any) {
	r.Findings = append(r.Findings, finding{level, place, fmt.Sprintf(format, args...)})
}

func (a *App) addCheck(g attacher) {
	check := a.addCommand(g, "check", "validate a routes file; exit code 1: not valid, 3: only warnings", a.checkRoutes)
	check.AddPositionalValue(&a.file, "file", 1, true, "routes document")
	check.AddPositionalValue(&a.against.earlier, "earlier", 2, false, "routes document to compare with")
	check.Bool(&a.against.inForce, "a", "against", "compare with the routes in force on the server")
}

func (a *App) checkRoutes(ctx context.Context) error {
	p, err := os.ReadFile(a.file)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	earlier, err := a.earlierRoutes(ctx)
	if err != nil {
		return err
	}
	report := checkReport{File: a.file, Findings: []finding{}}
	doc, err := kqroutes.Parse(p)
	if err != nil {
		report.add(levelError, placeInFile(p, err), "%v", err)
		return a.printCheck(report, errInvalid)
	}
	report.Version = doc.Version
	for _, w := range doc.Warnings() {
		report.add(levelWarning, w.Place, "%s", w.Text)
	}
	if earlier != nil {
		report.Against, report.Changes = earlier.Version, doc.Changes(earlier)
		if doc.Version <= earlier.Version {
			report.add(levelWarning, "version", "%d is not above %d: the document would change nothing", doc.Version, earlier.Version)
		}
	}
	if len(report.Findings) > 0 {
		return a.printCheck(report, errWarnings)
	}
	return a.printCheck(report, nil)
}

// earlierRoutes returns the document to compare with, nil if the operator asked for none.
func (a *App) earlierRoutes(ctx context.Context) (*kqroutes.Document, error) {
	var p []byte
	var err error
	place := "routes in force"
	switch {
	case a.against.inForce && a.against.earlier != "":
		return nil, errors.Mark(errors.New("compare with a file or with the routes in force, not with both"), errUsage)
	case a.against.inForce:
		var raw json.RawMessage
		err = a.client().Get(ctx, "/v1/routes", &raw)
		p = raw
	case a.against.earlier != "":
		place = a.against.earlier
		p, err = os.ReadFile(a.against.earlier)
		err = errors.Mark(err, errUsage)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, place)
	}
	doc, err := kqroutes.Parse(p)
	return doc, errors.Wrap(err, place)
}

// printCheck prints the report and returns err.
func (a *App) printCheck(r checkReport, err error) error {
	if a.json {
		return errors.CombineErrors(err, a.printJSON(r))
	}
	for _, f := range r.Findings {
		fmt.Fprintln(a.out, f)
	}
	if r.Against > 0 {
		fmt.Fprintf(a.out, "%d changes from version %d\n", len(r.Changes), r.Against)
	}
	for _, c := range r.Changes {
		fmt.Fprintln(a.out, "change:", c)
	}
	if !errors.Is(err, errInvalid) {
		fmt.Fprintf(a.out, "%s: version %d is valid\n", r.File, r.Version)
	}
	return errors.Wrap(err, r.File)
}

// placeInFile returns the line and column that a decoding error names, empty if it names none.
func placeInFile(p []byte, err error) string {
	var syntax *json.SyntaxError
	var badType *json.UnmarshalTypeError
	var offset int64
	var v any
	switch {
	case errors.As(err, &badType):
		offset = badType.Offset
	case errors.As(json.Unmarshal(p, &v), &syntax):
		offset = syntax.Offset
	default:
		return ""
	}
	before := p[:min(max(offset-1, 0), int64(len(p)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}
