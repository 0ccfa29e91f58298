package config

import (
	"fmt"
	"strings"
)

// Problem is an error in a configuration and its location.
type Problem struct {
	// File and Line are empty if the error is in a document that is not part of the text sent.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Kind and Name identify the document. They are empty if the text could not be decoded or the
	// problem concerns no single document.
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Field is the path within the document, for example stage[0].service.
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail"`
}

// String formats the problem as file:line: kind/name field: detail.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Kind != "" {
		fmt.Fprintf(&b, "%s/%s ", p.Kind, p.Name)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	b.WriteString(p.Detail)
	return b.String()
}
