package config

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxProblems bounds the rounds of reading a text that is wrong throughout.
const maxProblems = 100

// Reference names one document.
type Reference struct {
	Kind Kind   `toml:"kind" json:"kind"`
	Name string `toml:"name" json:"name"`
}

// Patch holds the documents of one change and those that it removes.
type Patch struct {
	Set
	Remove []Reference `toml:"remove" json:"remove,omitempty"`
}

// ParseTOML reads documents strictly and returns every problem of the text at once.
func ParseTOML(name string, data []byte) (Set, []Problem) {
	var set Set
	problems := decodeTOML(name, data, func(text []byte) error {
		set = Set{}
		return newDecoder(text).Decode(&set)
	})
	return set, problems
}

// ParsePatch reads the documents and removals of a change as strictly as ParseTOML.
func ParsePatch(name string, data []byte) (Patch, []Problem) {
	var patch Patch
	problems := decodeTOML(name, data, func(text []byte) error {
		patch = Patch{}
		return newDecoder(text).Decode(&patch)
	})
	return patch, problems
}

func newDecoder(text []byte) *toml.Decoder {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
}

// decodeTOML reads the text again without each line that the decoder stopped
// at, since the decoder reports only the first bad value.
func decodeTOML(name string, data []byte, decode func([]byte) error) []Problem {
	lines := bytes.Split(bytes.Clone(data), []byte("\n"))
	var problems []Problem
	for len(problems) < maxProblems {
		err := decode(bytes.Join(lines, []byte("\n")))
		var missing *toml.StrictMissingError
		var bad *toml.DecodeError
		switch {
		case err == nil:
			return problems
		case errors.As(err, &missing):
			for i := range missing.Errors {
				problems = append(problems, newTextProblem(name, lines, &missing.Errors[i], "unknown key"))
			}
			return problems
		case errors.As(err, &bad):
			problems = append(problems, newTextProblem(name, lines, bad, ""))
			row, _ := bad.Position()
			if row < 1 || row > len(lines) || len(lines[row-1]) == 0 {
				return problems
			}
			lines[row-1] = nil
		default:
			return append(problems, Problem{File: name, Detail: err.Error()})
		}
	}
	return problems
}

func newTextProblem(name string, lines [][]byte, bad *toml.DecodeError, detail string) Problem {
	row, _ := bad.Position()
	field := strings.Join(bad.Key(), ".")
	if field == "" && row >= 1 && row <= len(lines) {
		key, _, found := strings.Cut(string(lines[row-1]), "=")
		if found {
			field = strings.TrimSpace(key)
		}
	}
	if detail == "" {
		detail = strings.TrimPrefix(bad.Error(), "toml: ")
	}
	return Problem{File: name, Line: row, Field: field, Detail: detail}
}
