package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// Mistake is one thing wrong with a file.
type Mistake struct {
	configuration.Mistake
	File string
	// Line counts from 1.
	Line int
}

// String renders file, line, key, and what would be right.
func (m Mistake) String() string {
	place := fmt.Sprintf("%s:%d: ", m.File, m.Line)
	if m.Key == "" {
		return place + m.Problem + "; write " + m.Want
	}
	return place + m.Mistake.String()
}

// Mistakes is everything wrong with the files that were read. It is an error
// when it is not empty.
type Mistakes []Mistake

// Error renders one mistake a line.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, mistake := range m {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}

// err is nil when there is no mistake.
func (m Mistakes) err() error {
	if len(m) == 0 {
		return nil
	}
	return m
}

// sorted orders the mistakes of one file by line.
func (m Mistakes) sorted() Mistakes {
	slices.SortStableFunc(m, func(a, b Mistake) int { return cmp.Compare(a.Line, b.Line) })
	return m
}
