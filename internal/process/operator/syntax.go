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

// longestLine is the most bytes of a line.
const longestLine = 4096

// quoted stands for any name when the parser is tried.
const quoted = `"x"`

var wordPattern = regexp.MustCompile(`^[A-Za-z0-9_.:+\-]+`)

// Mistake is a line that can't be carried out, with its place.
type Mistake struct {
	Line string
	// Column counts from 1, in letters.
	Column  int
	Problem string
}

// Error renders the problem, the line, and a mark under the column.
func (m *Mistake) Error() string {
	mark := strings.Repeat(" ", m.Column-1) + "^"
	return fmt.Sprintf("column %d: %s\n%s\n%s", m.Column, m.Problem, m.Line, mark)
}

// wrong makes a Mistake at a name.
func wrong(text string, at lexer.Position, format string, args ...string) *Mistake {
	values := make([]any, 0, len(args))
	for _, arg := range args {
		values = append(values, arg)
	}
	return &Mistake{Line: text, Column: max(at.Column, 1), Problem: fmt.Sprintf(format, values...)}
}

// unknown makes a Mistake of a name that nothing has.
func unknown(text, kind string, n name, known []string) *Mistake {
	return wrong(text, n.Pos, "unknown %s %q%s", kind, n.Text, spelling.Suggest(n.Text, known))
}

// parse reads one line. The error is a *Mistake.
func parse(text string) (*line, error) {
	if len(text) > longestLine {
		return nil, wrong("", lexer.Position{}, "the line is longer than %s bytes", fmt.Sprint(longestLine))
	}
	if strings.ContainsFunc(text, func(r rune) bool { return r == '\n' || r == '\r' }) {
		return nil, wrong(strings.Join(strings.Fields(text), " "), lexer.Position{}, "more than one line")
	}
	parsed, err := parser.ParseString("", text)
	if err == nil {
		return parsed, nil
	}
	return nil, explainSyntax(text, err)
}

func explainSyntax(text string, err error) *Mistake {
	at, found := place(err)
	if at.Offset > len(text) {
		at.Offset = len(text)
	}
	word := nextWord(text[at.Offset:])
	expected := expectedAt(text[:at.Offset])
	problem := fmt.Sprintf("unexpected %q", word)
	if word == "" {
		problem = "the line ends too early"
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

// place gives where parsing stopped.
func place(err error) (lexer.Position, bool) {
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

// expectedAt tries what could follow a beginning that parses so far.
func expectedAt(beginning string) []string {
	var expected []string
	candidates := slices.Concat(keywords, []string{"=", "!=", "<", ">", "<=", ">=", quoted})
	for _, candidate := range candidates {
		probe := beginning + " " + candidate
		_, err := parser.ParseString("", probe)
		at, _ := place(err)
		if err == nil || at.Offset >= len(probe) {
			expected = append(expected, candidate)
		}
	}
	if i := slices.Index(expected, quoted); i >= 0 {
		return []string{"a name"}
	}
	return expected
}
