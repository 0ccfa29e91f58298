package config

import (
	"fmt"
	"strings"
)

// Problem is one fault of a configuration, told with its place.
type Problem struct {
	// File and Line are empty where the fault lies in a document that was not sent.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Kind and Name are the document's; empty where the text could not be read.
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Field is the path within the document, such as stage[0].service.
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
