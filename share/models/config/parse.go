package config

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxProblems limits how often a text with many errors is decoded. Each decoding that fails adds at
// least one problem.
const maxProblems = 100

// Reference identifies a document.
type Reference struct {
	Kind Kind   `toml:"kind" json:"kind"`
	Name string `toml:"name" json:"name"`
}

// Patch is a change: the documents that it adds or replaces, and references to those that it
// removes.
type Patch struct {
	Set
	Remove []Reference `toml:"remove" json:"remove,omitempty"`
}

// ParseTOML decodes documents, rejects unknown keys, and returns all problems of the text at once.
func ParseTOML(name string, data []byte) (Set, []Problem) {
	var set Set
	problems := decodeTOML(name, data, func(text []byte) error {
		set = Set{}
		return newDecoder(text).Decode(&set)
	})
	return set, problems
}

// ParsePatch decodes the documents and removals of a change as strictly as ParseTOML does.
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

// decodeTOML returns all problems of a text. The decoder reports only the first invalid value, so
// decodeTOML blanks the line of each reported value and decodes the text again.
func decodeTOML(name string, data []byte, decode func([]byte) error) []Problem {
	lines := bytes.Split(bytes.Clone(data), []byte("\n"))
	var problems []Problem
	for len(problems) < maxProblems {
		err := decode(bytes.Join(lines, []byte("\n")))
		var unknown *toml.StrictMissingError
		var invalid *toml.DecodeError
		switch {
		case err == nil:
			return problems
		case errors.As(err, &unknown):
			for i := range unknown.Errors {
				problems = append(problems, newTextProblem(name, lines, &unknown.Errors[i], "unknown key"))
			}
			return problems
		case errors.As(err, &invalid):
			problems = append(problems, newTextProblem(name, lines, invalid, ""))
			row, _ := invalid.Position()
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

// newTextProblem returns the problem that the decoder reported. If the decoder gives no key, the
// field is the text before the equals sign of the line. If detail is empty, the decoder's message
// is used.
func newTextProblem(name string, lines [][]byte, invalid *toml.DecodeError, detail string) Problem {
	row, _ := invalid.Position()
	field := strings.Join(invalid.Key(), ".")
	if field == "" && row >= 1 && row <= len(lines) {
		key, _, found := strings.Cut(string(lines[row-1]), "=")
		if found {
			field = strings.TrimSpace(key)
		}
	}
	if detail == "" {
		detail = strings.TrimPrefix(invalid.Error(), "toml: ")
	}
	return Problem{File: name, Line: row, Field: field, Detail: detail}
}
