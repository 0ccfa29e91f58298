package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"verbenaroad.example/share/models/config"
)

// print writes the answer as JSON, or as the table that rows gives.
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
		return newRefusal("the answer can't be written: %v", err)
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

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// fail turns a refusal into the exit code, after writing what it tells.
func (a *app) fail(err error) error {
	var r *refusal
	if !errors.As(err, &r) {
		return err
	}
	exit := &exitError{code: r.exitCode(), detail: r.Error()}
	if a.output == outputJSON {
		_ = a.printJSON(r.body)
		return exit
	}
	for _, p := range r.body.Problems {
		_, _ = fmt.Fprintln(a.streams.Err, p.String())
	}
	if exit.code == ExitConflict && r.body.Revision > 0 {
		a.printLinef("revision %d is in force; changed since the base:", r.body.Revision)
		a.printChanges(r.body.Changes, r.body.ChangesOmitted)
	}
	return exit
}
