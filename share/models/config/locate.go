package config

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// SourceMap maps the fields of the documents in a TOML text to their line numbers.
type SourceMap struct {
	file string
	// lines holds the line of each field and table. The key is the document's ID and the field's path,
	// for example "pipeline#0.stage[1].service".
	lines map[string]int
	// documents maps a document's kind and name, for example "pipeline/notes", to its ID: the kind and
	// the position among the documents of the kind.
	documents map[string]string
}

// NewSourceMap returns the source map of a text that ParseTOML or ParsePatch accepted.
func NewSourceMap(file string, data []byte) *SourceMap {
	s := &SourceMap{file: file, lines: map[string]int{}, documents: map[string]string{}}
	at := cursor{counts: map[string]int{}}
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := readKey(&parser, node)
		switch node.Kind {
		case unstable.ArrayTable:
			at.openArray(path)
		case unstable.Table:
			at.openTable(path)
		case unstable.KeyValue:
			s.recordField(&at, path, string(node.Value().Data), line)
			continue
		default:
			continue
		}
		s.lines[at.document+at.prefix] = line
	}
	return s
}

// readKey returns the key of a table or key-value expression, split at its dots, and the key's
// line.
func readKey(parser *unstable.Parser, node *unstable.Node) (path []string, line int) {
	switch node.Kind {
	case unstable.ArrayTable, unstable.Table, unstable.KeyValue:
	default:
		return nil, 0
	}
	keys := node.Key()
	for keys.Next() {
		if line == 0 {
			line = parser.Shape(keys.Node().Raw).Start.Line
		}
		path = append(path, string(keys.Node().Data))
	}
	return path, line
}

// recordField records the line of a field, and the ID of the current document if the field is the
// document's name.
func (s *SourceMap) recordField(at *cursor, path []string, value string, line int) {
	field := strings.Join(path, ".")
	s.lines[at.document+at.prefix+"."+field] = line
	if field == "name" && at.prefix == "" {
		s.documents[at.kind+"/"+value] = at.document
	}
}

// Locate returns the problems with file and line filled in where their document is part of the
// text.
func (s *SourceMap) Locate(problems []Problem) []Problem {
	located := make([]Problem, len(problems))
	for i, p := range problems {
		located[i] = s.locate(p)
	}
	return located
}

func (s *SourceMap) locate(p Problem) Problem {
	document, found := s.documents[string(p.Kind)+"/"+p.Name]
	if !found || p.File != "" {
		return p
	}
	p.File = s.file
	field := "." + p.Field
	for {
		line, known := s.lines[document+field]
		if known {
			p.Line = line
			return p
		}
		// A field that is absent from the text is reported at the line of its table.
		field = field[:max(strings.LastIndex(field, "."), 0)]
	}
}

// cursor is the position of a sequential scan of a text: the table that the scan has reached.
type cursor struct {
	kind string
	// document is the ID of the current document, for example "pipeline#0".
	document string
	// prefix is the path of the current table within the document, for example ".stage[1]". It is
	// empty at the top of a document.
	prefix string
	// counts holds the number of entries seen so far of each array of tables.
	counts map[string]int
}

// openArray moves the cursor to a new entry of an array of tables. The entry is a new document if
// the array is at the top level.
func (c *cursor) openArray(path []string) {
	if len(path) == 1 {
		c.kind = path[0]
		c.document = fmt.Sprintf("%s#%d", c.kind, c.counts[c.kind])
		c.prefix = ""
		c.counts[c.kind]++
		return
	}
	nested := c.document + "." + strings.Join(path[1:], ".")
	c.prefix = fmt.Sprintf(".%s[%d]", strings.Join(path[1:], "."), c.counts[nested])
	c.counts[nested]++
}

// openTable moves the cursor to a table of the current document, or of the last entry of one of its
// arrays.
func (c *cursor) openTable(path []string) {
	if len(path) < 2 {
		c.prefix = ""
		return
	}
	inner := strings.Join(path[1:], ".")
	nested := c.document + "." + path[1]
	if count := c.counts[nested]; count > 0 && len(path) > 2 {
		inner = fmt.Sprintf("%s[%d].%s", path[1], count-1, strings.Join(path[2:], "."))
	}
	c.prefix = "." + inner
}
