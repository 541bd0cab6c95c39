// Package spelling suggests the known name closest to a mistyped one.
//
// # Distance
//
// The distance of two names is their Levenshtein distance. A name is suggested
// only if its distance is at most two, or a third of the length of the mistyped
// word if that is more, so that unrelated names are not suggested.
package spelling

import "strings"

const (
	minDistanceLimit = 2
	lengthDivisor    = 3
	maxNameLength    = 64
)

// Nearest returns the known name closest to word, the first of equals, and false
// if none is close enough.
func Nearest(word string, known []string) (string, bool) {
	best, found := "", false
	maxDistance := max(minDistanceLimit, len(word)/lengthDivisor)
	if len(word) > maxNameLength {
		return "", false
	}
	for _, name := range known {
		if len(name) > maxNameLength {
			continue
		}
		if dist := distance(strings.ToLower(word), strings.ToLower(name)); dist <= maxDistance && dist < max(len(name), 1) {
			best, found, maxDistance = name, true, dist-1
		}
	}
	return best, found
}

// Suggest returns `; did you mean "NAME"?`, or the list of known names if none is
// close enough, or "" if there are none.
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
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
