package sparcli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"regexp"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparcheck"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/platform"
)

// settingsKey matches the keys of a settings file that no service document has. One of them may be
// missing or misspelt.
var settingsKey = regexp.MustCompile(`"(carrier|control|platform)"\s*:`)

type (
	checkCommand struct {
		File    string `arg:"positional,required" help:"settings file, service document or configuration"`
		Against string `arg:"--against" help:"the document in force, to list what differs"`
		JSON    bool   `arg:"--json" help:"one JSON object"`
	}

	// jsonCheck is the JSON form of a check.
	jsonCheck struct {
		File     string        `json:"file"`
		Kind     string        `json:"kind,omitempty"`
		Word     string        `json:"word"` // ok, warning or error
		Findings []jsonFinding `json:"findings"`
	}

	jsonFinding struct {
		Level string `json:"level"`
		Where string `json:"where,omitempty"`
		Text  string `json:"text"`
	}
)

func (c *checkCommand) run(_ context.Context, out streams) (err error) {
	report, err := c.check()
	if err != nil {
		return c.fail(out, err)
	}
	c.print(out, report)
	code := [...]int{sparcheck.Change: Done, sparcheck.Warning: Doubtful, sparcheck.Error: Invalid}[report.Worst()]
	if code == Done {
		return nil
	}
	return exit{code, errQuiet}
}

func (c *checkCommand) check() (r sparcheck.Report, err error) {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return r, err
	}
	if isSettings(text) {
		return c.checkSettings(text)
	}
	if c.Against == "" {
		r, err = sparcheck.Check(text)
		return r, errors.Annotate(err, c.File)
	}
	inForce, err := os.ReadFile(c.Against)
	if err != nil {
		return r, err
	}
	r, err = sparcheck.Against(text, inForce)
	return r, errors.Annotate(err, c.File)
}

// isSettings reports whether a text is the settings file of a VM. Of the others only a configuration
// may have one of these words as a key.
func isSettings(text []byte) bool {
	return settingsKey.Match(text) && !platform.IsRouting(text)
}

func (c *checkCommand) checkSettings(text []byte) (r sparcheck.Report, err error) {
	if c.Against != "" {
		return r, errors.Errorf("%s: a settings file, --against is for service documents and configurations", c.File)
	}
	_, err = sparconfig.ParseFile(text)
	return sparcheck.Report{Kind: "settings"}, errors.Annotate(err, c.File)
}

// fail reports that nothing of the document can be used.
func (c *checkCommand) fail(out streams, err error) error {
	if !c.JSON {
		return exit{Invalid, err}
	}
	printCheck(out, jsonCheck{File: c.File, Word: sparcheck.Error.String(), Findings: []jsonFinding{{Level: sparcheck.Error.String(), Text: err.Error()}}})
	return exit{Invalid, errQuiet}
}

func (c *checkCommand) print(out streams, r sparcheck.Report) {
	word := "ok"
	if r.Worst() > sparcheck.Change {
		word = r.Worst().String()
	}
	if c.JSON {
		check := jsonCheck{File: c.File, Kind: string(r.Kind), Word: word, Findings: []jsonFinding{}}
		for _, f := range r.Findings {
			check.Findings = append(check.Findings, jsonFinding{Level: f.Level.String(), Where: f.Where, Text: f.Text})
		}
		printCheck(out, check)
		return
	}
	for _, f := range r.Findings {
		fmt.Fprintf(out.stdout, "%s %s: %s\n", f.Level, f.Where, f.Text)
	}
	fmt.Fprintf(out.stdout, "%s %s %s%s\n", word, r.Kind, c.File, counts(r))
}

// counts returns how many findings of each level there are, or "".
func counts(r sparcheck.Report) string {
	if len(r.Findings) == 0 {
		return ""
	}
	return fmt.Sprintf(", errors %d, warnings %d, changes %d", r.Count(sparcheck.Error), r.Count(sparcheck.Warning), r.Count(sparcheck.Change))
}

func printCheck(out streams, c jsonCheck) {
	text, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings always encode
	}
	fmt.Fprintf(out.stdout, "%s\n", text)
}
