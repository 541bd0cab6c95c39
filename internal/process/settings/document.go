package settings

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// expression is one key with its value, or the header of a table.
type expression struct {
	// key is the whole path, such as service[0].first_token.
	key    string
	offset int
	line   int
	kind   unstable.Kind
	// value is the kind of the value; unstable.Invalid for a header.
	value unstable.Kind
	// inner is a key within the value of another expression; it has the place
	// of that.
	inner bool
}

// document knows where each key of a TOML text stands.
type document struct {
	text        []byte
	expressions []expression
	// tables counts the tables of each array seen so far.
	tables map[string]int
}

// parseDocument finds every expression, or the place of a syntax error.
func parseDocument(text []byte) (document, *Mistake) {
	d := document{text: text, tables: make(map[string]int)}
	var parser unstable.Parser
	parser.Reset(text)
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		e := expression{kind: node.Kind}
		e.offset = d.start(node)
		e.line = d.lineOf(e.offset)
		switch node.Kind {
		case unstable.KeyValue:
			e.key = d.path(prefix, node)
			e.value = node.Value().Kind
		default:
			e.key = d.path("", node)
			prefix = e.key
		}
		d.expressions = append(d.expressions, e)
		if node.Kind == unstable.KeyValue {
			d.addInner(e, node.Value())
		}
	}
	return d, d.syntaxError(&parser)
}

// addInner finds the keys of inline tables in a value.
func (d *document) addInner(outer expression, value *unstable.Node) {
	children := value.Children()
	for i := 0; children.Next(); i++ {
		child, e := children.Node(), outer
		e.inner = true
		switch value.Kind {
		case unstable.InlineTable:
			e.key = d.path(outer.key, child)
			e.value = child.Value().Kind
			d.expressions = append(d.expressions, e)
			d.addInner(e, child.Value())
		case unstable.Array:
			e.key = fmt.Sprintf("%s[%d]", outer.key, i)
			d.addInner(e, child)
		default:
			return
		}
	}
}

func (d document) syntaxError(parser *unstable.Parser) *Mistake {
	err := parser.Error()
	if err == nil {
		return nil
	}
	m := &Mistake{Line: 1}
	m.Problem = err.Error()
	m.Want = "TOML"
	var wrong *unstable.ParserError
	if errors.As(err, &wrong) {
		m.Problem = wrong.Message
		m.Line = d.lineOf(int(parser.Range(wrong.Highlight).Offset))
	}
	return m
}

// start is where the first part of a node's key begins.
func (d document) start(node *unstable.Node) int {
	parts := node.Key()
	parts.Next()
	return int(parts.Node().Raw.Offset)
}

func (d document) lineOf(offset int) int {
	return bytes.Count(d.text[:min(offset, len(d.text))], []byte("\n")) + 1
}

// path joins a node's key to prefix, with the index of each array of tables.
func (d document) path(prefix string, node *unstable.Node) string {
	path := prefix
	parts := node.Key()
	for parts.Next() {
		if path != "" {
			path += "."
		}
		path += string(parts.Node().Data)
		last := parts.IsLast()
		if last && node.Kind == unstable.ArrayTable {
			d.tables[path]++
		}
		if n := d.tables[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// line finds the line of a key, or of the nearest table around it.
func (d document) line(key string) int {
	for path := key; path != ""; path = parent(path) {
		for _, e := range d.expressions {
			if e.key == path {
				return e.line
			}
		}
	}
	return 1
}

// parent cuts the last field or index off a path.
func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['), 0)]
}

// around finds the expression that a line belongs to.
func (d document) around(line int) (expression, bool) {
	found, ok := expression{}, false
	for _, e := range d.expressions {
		if e.line > line {
			break
		}
		if !e.inner {
			found, ok = e, true
		}
	}
	return found, ok
}

// without gives the text with one expression blanked, all lines kept.
func (d document) without(e expression) []byte {
	text := bytes.Clone(d.text)
	end := len(text)
	for _, next := range d.expressions {
		if next.offset > e.offset {
			end = bytes.LastIndexByte(text[:next.offset], '\n') + 1
			break
		}
	}
	for i := bytes.LastIndexByte(text[:e.offset], '\n') + 1; i < end; i++ {
		if text[i] != '\n' {
			text[i] = ' '
		}
	}
	return text
}
