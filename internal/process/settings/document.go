package settings

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// expression is a key with its value, or a table header.
type expression struct {
	// key is the full path, such as service[0].first_token.
	key    string
	offset int
	line   int
	kind   unstable.Kind
	// valueKind is unstable.Invalid for a header.
	valueKind unstable.Kind
	// nested marks a key inside the value of another expression, whose position
	// it shares.
	nested bool
}

// document holds a TOML text and the position of each key in it.
type document struct {
	text        []byte
	expressions []expression
	// tables counts the tables of each array of tables read so far.
	tables map[string]int
}

// parseDocument parses a TOML text, or returns its syntax error.
func parseDocument(text []byte) (document, *Mistake) {
	d := document{text: text, tables: make(map[string]int)}
	var parser unstable.Parser
	parser.Reset(text)
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		e := expression{kind: node.Kind}
		e.offset = d.keyOffset(node)
		e.line = d.lineOf(e.offset)
		switch node.Kind {
		case unstable.KeyValue:
			e.key = d.path(prefix, node)
			e.valueKind = node.Value().Kind
		default:
			e.key = d.path("", node)
			prefix = e.key
		}
		d.expressions = append(d.expressions, e)
		if node.Kind == unstable.KeyValue {
			d.addNested(e, node.Value())
		}
	}
	return d, d.syntaxError(&parser)
}

// addNested adds the keys of inline tables in a value.
func (d *document) addNested(outer expression, value *unstable.Node) {
	children := value.Children()
	for i := 0; children.Next(); i++ {
		child, e := children.Node(), outer
		e.nested = true
		switch value.Kind {
		case unstable.InlineTable:
			e.key = d.path(outer.key, child)
			e.valueKind = child.Value().Kind
			d.expressions = append(d.expressions, e)
			d.addNested(e, child.Value())
		case unstable.Array:
			e.key = fmt.Sprintf("%s[%d]", outer.key, i)
			d.addNested(e, child)
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
	var parserErr *unstable.ParserError
	if errors.As(err, &parserErr) {
		m.Problem = parserErr.Message
		m.Line = d.lineOf(int(parser.Range(parserErr.Highlight).Offset))
	}
	return m
}

// keyOffset returns the offset of the first part of a node's key.
func (d document) keyOffset(node *unstable.Node) int {
	parts := node.Key()
	parts.Next()
	return int(parts.Node().Raw.Offset)
}

func (d document) lineOf(offset int) int {
	return bytes.Count(d.text[:min(offset, len(d.text))], []byte("\n")) + 1
}

// path appends a node's key to prefix, with an index for each array of tables.
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

// line returns the line of a key or, if the text doesn't have the key, of the
// innermost table or list in the text that would contain it, or else 1.
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

// parent removes the last field or index from a path.
func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['), 0)]
}

// enclosing returns the expression that contains a line.
func (d document) enclosing(line int) (expression, bool) {
	found, ok := expression{}, false
	for _, e := range d.expressions {
		if e.line > line {
			break
		}
		if !e.nested {
			found, ok = e, true
		}
	}
	return found, ok
}

// withBlanked returns the text with one expression overwritten by spaces, so that
// line numbers stay the same.
func (d document) withBlanked(e expression) []byte {
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
