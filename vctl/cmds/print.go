package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"verbenaroad.example/share/models/config"
)

// print prints the answer as JSON, or the rows as a table, depending on --output.
func (a *app) print(answer any, header string, rows [][]string) error {
	if a.output == outputJSON {
		return a.printJSON(answer)
	}
	a.printTable(header, rows)
	return nil
}

func (a *app) printJSON(answer any) error {
	encoder := json.NewEncoder(a.streams.Out)
	encoder.SetIndent("", "  ")
	err := encoder.Encode(answer)
	if err != nil {
		return newRefusedError("the answer can't be written: %v", err)
	}
	return nil
}

func (a *app) printTable(header string, rows [][]string) {
	w := tabwriter.NewWriter(a.streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

func (a *app) printLinef(format string, args ...any) {
	_, _ = fmt.Fprintf(a.streams.Out, format+"\n", args...)
}

func (a *app) printChanges(changes []config.FieldChange, omitted int) {
	rows := make([][]string, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []string{string(c.Kind), c.Name, c.Field, orDash(c.Old), orDash(c.New)})
	}
	a.printTable("KIND NAME FIELD OLD NEW", rows)
	if omitted > 0 {
		a.printLinef("and %d more", omitted)
	}
}

// orDash returns text, or "-" for an empty cell of a table.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// reportError prints the problems or the conflicting changes of an *apiError and returns it as an
// *exitError. It returns every other error, and nil, unchanged.
func (a *app) reportError(err error) error {
	var refused *apiError
	if !errors.As(err, &refused) {
		return err
	}
	exit := &exitError{code: refused.exitCode(), detail: refused.Error()}
	if a.output == outputJSON {
		_ = a.printJSON(refused.body)
		return exit
	}
	for _, p := range refused.body.Problems {
		_, _ = fmt.Fprintln(a.streams.Err, p.String())
	}
	if exit.code == ExitConflict && refused.body.Revision > 0 {
		a.printLinef("revision %d is in force; changed since the base:", refused.body.Revision)
		a.printChanges(refused.body.Changes, refused.body.ChangesOmitted)
	}
	return exit
}
