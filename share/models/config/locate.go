package config

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Source knows on which line of a text each field of each document stands.
type Source struct {
	file  string
	lines map[string]int
	names map[string]string
}

// NewSource scans a text that ParseTOML or ParsePatch accepted.
func NewSource(file string, data []byte) *Source {
	s := &Source{file: file, lines: map[string]int{}, names: map[string]string{}}
	scan := scanner{counts: map[string]int{}}
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := readKey(&parser, node)
		switch node.Kind {
		case unstable.ArrayTable:
			scan.openArray(path)
		case unstable.Table:
			scan.openTable(path)
		case unstable.KeyValue:
			s.note(&scan, path, string(node.Value().Data), line)
			continue
		default:
			continue
		}
		s.lines[scan.document+scan.prefix] = line
	}
	return s
}

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

func (s *Source) note(scan *scanner, path []string, value string, line int) {
	field := strings.Join(path, ".")
	s.lines[scan.document+scan.prefix+"."+field] = line
	if field == "name" && scan.prefix == "" {
		s.names[scan.kind+"/"+value] = scan.document
	}
}

// Locate fills in file and line of those problems whose document stands in the text.
func (s *Source) Locate(problems []Problem) []Problem {
	located := make([]Problem, len(problems))
	for i, p := range problems {
		located[i] = s.locate(p)
	}
	return located
}

func (s *Source) locate(p Problem) Problem {
	document, found := s.names[string(p.Kind)+"/"+p.Name]
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
		// A field left out is reported at the table that lacks it.
		field = field[:max(strings.LastIndex(field, "."), 0)]
	}
}

// scanner follows the tables of a text.
type scanner struct {
	kind     string
	document string
	prefix   string
	counts   map[string]int
}

func (c *scanner) openArray(path []string) {
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

func (c *scanner) openTable(path []string) {
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
