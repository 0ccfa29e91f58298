package cmds

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/services/admapi"
)

// documents are the files of one change, concatenated into one TOML text.
type documents struct {
	text  []byte
	files []file
	patch config.Patch
}

// file is the position of one file in the text.
type file struct {
	name      string
	firstLine int // number of its first line in the text, from 1
}

// readDocuments reads the files and rejects unknown keys. It reports the problems of all files, not
// only of the first.
func (a *app) readDocuments(names []string) (*documents, error) {
	if len(names) == 0 {
		return nil, newUsageError("want one file or more; - stands for standard input")
	}
	d := &documents{}
	var problems []config.Problem
	for _, name := range names {
		text, err := a.readFile(name)
		if err != nil {
			return nil, newUsageError("%v", err)
		}
		patch, fileProblems := config.ParsePatch(name, text)
		problems = append(problems, fileProblems...)
		d.add(name, text, patch)
	}
	return d, a.reportProblems(problems)
}

func (a *app) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(a.streams.In)
	}
	return os.ReadFile(name)
}

// add appends a file. Every document is an array table, so the concatenated texts are valid TOML.
func (d *documents) add(name string, text []byte, patch config.Patch) {
	d.files = append(d.files, file{name: name, firstLine: bytes.Count(d.text, []byte("\n")) + 1})
	d.text = append(d.text, text...)
	if len(text) > 0 && text[len(text)-1] != '\n' {
		d.text = append(d.text, '\n')
	}
	d.patch.Set = joinSets(d.patch.Set, patch.Set)
	d.patch.Remove = append(d.patch.Remove, patch.Remove...)
}

// joinSets returns the documents of both sets. It keeps duplicates, so that the checks report them.
func joinSets(a, b config.Set) config.Set {
	return config.Set{
		Teams:     append(a.Teams, b.Teams...),
		Pipelines: append(a.Pipelines, b.Pipelines...),
		Services:  append(a.Services, b.Services...),
		Rules:     append(a.Rules, b.Rules...),
		Pools:     append(a.Pools, b.Pools...),
		Operators: append(a.Operators, b.Operators...),
		Limits:    append(a.Limits, b.Limits...),
	}
}

// locate returns the problems with positions in the text replaced by the file and the line there.
func (d *documents) locate(problems []config.Problem) []config.Problem {
	located := make([]config.Problem, 0, len(problems))
	for _, p := range problems {
		if p.File == admapi.BodyName {
			p = d.locateProblem(p)
		}
		located = append(located, p)
	}
	return located
}

func (d *documents) locateProblem(p config.Problem) config.Problem {
	for i := len(d.files) - 1; i >= 0; i-- {
		if p.Line >= d.files[i].firstLine {
			p.File = d.files[i].name
			p.Line -= d.files[i].firstLine - 1
			return p
		}
	}
	return p
}

func (a *app) reportProblems(problems []config.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	for _, p := range problems {
		_, _ = fmt.Fprintln(a.streams.Err, p.String())
	}
	return newRefusedError("%d problems", len(problems))
}
