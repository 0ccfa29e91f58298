package cmds

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/services/admapi"
)

// documents are the files of one change, joined to one text.
type documents struct {
	text  []byte
	files []file
	patch config.Patch
}

// file is where one file begins in the text.
type file struct {
	name  string
	first int // its first line in the text, from 1
}

// readDocuments reads files strictly and tells every problem of all at once.
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
		patch, found := config.ParsePatch(name, text)
		problems = append(problems, found...)
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

// add joins a file's text. Every document is an array table, so that texts can stand one behind the other.
func (d *documents) add(name string, text []byte, patch config.Patch) {
	d.files = append(d.files, file{name: name, first: bytes.Count(d.text, []byte("\n")) + 1})
	d.text = append(d.text, text...)
	if len(text) > 0 && text[len(text)-1] != '\n' {
		d.text = append(d.text, '\n')
	}
	d.patch.Set = joinSets(d.patch.Set, patch.Set)
	d.patch.Remove = append(d.patch.Remove, patch.Remove...)
}

// joinSets keeps documents that stand twice, so that the checks can tell of them.
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

// locate gives the problems of the joined text their own file and line.
func (d *documents) locate(problems []config.Problem) []config.Problem {
	located := make([]config.Problem, 0, len(problems))
	for _, p := range problems {
		if p.File == admapi.BodyName {
			p = d.locateOne(p)
		}
		located = append(located, p)
	}
	return located
}

func (d *documents) locateOne(p config.Problem) config.Problem {
	for i := len(d.files) - 1; i >= 0; i-- {
		if p.Line >= d.files[i].first {
			p.File = d.files[i].name
			p.Line -= d.files[i].first - 1
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
	return newRefusal("%d problems", len(problems))
}
