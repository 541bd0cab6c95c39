package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// Mistake is a mistake in a file, with its position.
type Mistake struct {
	configuration.Mistake
	File string
	// Line counts from 1.
	Line int
}

// String returns the position, the key, the problem and what is expected.
func (m Mistake) String() string {
	place := fmt.Sprintf("%s:%d: ", m.File, m.Line)
	if m.Key == "" {
		return place + m.Problem + "; write " + m.Want
	}
	return place + m.Mistake.String()
}

// Mistakes lists all mistakes in the files that were read. It is used as an error
// only if it is not empty.
type Mistakes []Mistake

// Error returns one mistake per line.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, mistake := range m {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}

// asError returns nil if there are no mistakes.
func (m Mistakes) asError() error {
	if len(m) == 0 {
		return nil
	}
	return m
}

// sortedByLine sorts the mistakes of one file by line.
func (m Mistakes) sortedByLine() Mistakes {
	slices.SortStableFunc(m, func(a, b Mistake) int { return cmp.Compare(a.Line, b.Line) })
	return m
}
