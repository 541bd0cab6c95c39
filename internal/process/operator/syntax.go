package operator

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/dandelionlift/dandelionlift/internal/version/spelling"
)

const maxLineBytes = 4096

// sampleName represents any name when expectedAfter probes the parser.
const sampleName = `"x"`

var wordPattern = regexp.MustCompile(`^[A-Za-z0-9_.:+\-]+`)

// Mistake is an error in a line, with its position.
type Mistake struct {
	Line string
	// Column counts characters from 1.
	Column  int
	Problem string
}

// Error formats the problem, the line, and a mark under the column.
func (m *Mistake) Error() string {
	mark := strings.Repeat(" ", m.Column-1) + "^"
	return fmt.Sprintf("column %d: %s\n%s\n%s", m.Column, m.Problem, m.Line, mark)
}

// mistakeAt returns a Mistake in the line text; format and args are as for
// Sprintf.
func mistakeAt(text string, at lexer.Position, format string, args ...string) *Mistake {
	values := make([]any, 0, len(args))
	for _, arg := range args {
		values = append(values, arg)
	}
	return &Mistake{Line: text, Column: max(at.Column, 1), Problem: fmt.Sprintf(format, values...)}
}

// unknownName returns a Mistake for a name that isn't known, with suggestions.
func unknownName(text, kind string, n name, known []string) *Mistake {
	return mistakeAt(text, n.Pos, "unknown %s %q%s", kind, n.Text, spelling.Suggest(n.Text, known))
}

// parse parses one line. The error is a *Mistake.
func parse(text string) (*parsedLine, error) {
	if len(text) > maxLineBytes {
		return nil, mistakeAt("", lexer.Position{}, "the line is longer than %s bytes", fmt.Sprint(maxLineBytes))
	}
	if strings.ContainsFunc(text, func(r rune) bool { return r == '\n' || r == '\r' }) {
		return nil, mistakeAt(strings.Join(strings.Fields(text), " "), lexer.Position{}, "more than one line")
	}
	parsed, err := parser.ParseString("", text)
	if err == nil {
		return parsed, nil
	}
	return nil, syntaxMistake(text, err)
}

func syntaxMistake(text string, err error) *Mistake {
	at, found := errorPosition(err)
	if at.Offset > len(text) {
		at.Offset = len(text)
	}
	word := nextWord(text[at.Offset:])
	expected := expectedAfter(text[:at.Offset])
	problem := fmt.Sprintf("unexpected %q", word)
	if word == "" {
		problem = "unexpected end of line"
	}
	if !found {
		problem = err.Error()
	}
	if len(expected) > 0 {
		problem += "; expected " + strings.Join(expected, ", ")
	}
	if nearest, ok := spelling.Nearest(word, expected); ok {
		problem += fmt.Sprintf("; did you mean %q?", nearest)
	}
	return &Mistake{Line: text, Column: max(at.Column, 1), Problem: problem}
}

// errorPosition returns the position of a parse error, if err has one.
func errorPosition(err error) (lexer.Position, bool) {
	var positioned participle.Error
	if !errors.As(err, &positioned) {
		return lexer.Position{}, false
	}
	return positioned.Position(), true
}

func nextWord(rest string) string {
	if word := wordPattern.FindString(rest); word != "" {
		return word
	}
	for _, r := range rest {
		return string(r)
	}
	return ""
}

// expectedAfter returns the tokens that the grammar allows after prefix, or just
// "a name or value" if it allows any. It appends each candidate to prefix and
// parses the result.
func expectedAfter(prefix string) []string {
	var expected []string
	candidates := slices.Concat(keywords, []string{"=", "!=", "<", ">", "<=", ">=", sampleName})
	for _, candidate := range candidates {
		probe := prefix + " " + candidate
		_, err := parser.ParseString("", probe)
		at, _ := errorPosition(err)
		if err == nil || at.Offset >= len(probe) {
			expected = append(expected, candidate)
		}
	}
	if i := slices.Index(expected, sampleName); i >= 0 {
		return []string{"a name or value"}
	}
	return expected
}
