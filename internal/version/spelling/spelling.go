// Package spelling finds the known name that a mistyped one was meant for.
//
// # Distance
//
// Two names are as far apart as the fewest letters to insert, delete or replace
// to make one from the other (Levenshtein). A name further away than a third of
// its length, and than two letters, is not suggested: a wrong suggestion costs
// more than none.
package spelling

import "strings"

const (
	alwaysNear    = 2
	nearShare     = 3
	longestOfName = 64
)

// Nearest gives the known name closest to word, the first of equals, and false
// when none is close.
func Nearest(word string, known []string) (string, bool) {
	best, found := "", false
	limit := max(alwaysNear, len(word)/nearShare)
	if len(word) > longestOfName {
		return "", false
	}
	for _, name := range known {
		if len(name) > longestOfName {
			continue
		}
		if d := distance(strings.ToLower(word), strings.ToLower(name)); d <= limit && d < max(len(name), 1) {
			best, found, limit = name, true, d-1
		}
	}
	return best, found
}

// Suggest gives "; did you mean NAME?", or the list of names where none is
// close, or nothing where there are no names.
func Suggest(word string, known []string) string {
	if nearest, ok := Nearest(word, known); ok {
		return `; did you mean "` + nearest + `"?`
	}
	if len(known) == 0 {
		return ""
	}
	return "; known: " + strings.Join(known, ", ")
}

// distance is the Levenshtein distance in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
