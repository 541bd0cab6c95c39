package configuration

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"

	"github.com/dandelionlift/dandelionlift/internal/version/spelling"
)

// Mistake is one thing wrong with a configuration or settings value.
type Mistake struct {
	// Key is the path of the value, such as service[0].first_token.
	Key string
	// Problem says what is wrong.
	Problem string
	// Want says what would be right.
	Want string
}

// String renders the mistake on one line.
func (m Mistake) String() string {
	return m.Key + ": " + m.Problem + "; write " + m.Want
}

// Checker gathers mistakes. The zero value has none.
type Checker struct {
	// Mistakes is in the order of the checks.
	Mistakes []Mistake
}

// Add notes a mistake.
func (c *Checker) Add(key, problem, want string) {
	c.Mistakes = append(c.Mistakes, Mistake{Key: key, Problem: problem, Want: want})
}

// Require notes a mistake unless ok.
func (c *Checker) Require(ok bool, key, problem, want string) {
	if !ok {
		c.Add(key, problem, want)
	}
}

const wantName = `a name of letters, digits, "-", "_" and "."`

// Name checks an id: not empty, and of letters that the operators' language
// reads as one word.
func (c *Checker) Name(key, id string) {
	if id == "" {
		c.Add(key, "is missing", wantName)
		return
	}
	c.Require(strings.IndexFunc(id, notOfName) < 0, key, fmt.Sprintf("%q has a letter that names don't have", id), wantName)
}

func notOfName(r rune) bool {
	letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
	return !letter && !strings.ContainsRune("-_.", r)
}

// Known checks that a name is one of those declared.
func (c *Checker) Known(key, kind, name string, known []string) {
	for _, k := range known {
		if k == name {
			return
		}
	}
	if name == "" {
		c.Add(key, "is missing", "one of "+strings.Join(known, ", "))
		return
	}
	want := "one of " + strings.Join(known, ", ")
	if len(known) == 0 {
		want = "one that is declared"
	}
	if nearest, ok := spelling.Nearest(name, known); ok {
		want = fmt.Sprintf("%q?", nearest)
	}
	c.Add(key, fmt.Sprintf("unknown %s %q", kind, name), want)
}

// SHA256 checks a hex SHA-256.
func (c *Checker) SHA256(key, sum string) {
	const want = "the 64 lower-case hex digits of a SHA-256"
	if sum == "" {
		c.Add(key, "is missing", want)
		return
	}
	raw, err := hex.DecodeString(sum)
	ok := err == nil && len(raw) == sha256Bytes && strings.ToLower(sum) == sum
	c.Require(ok, key, fmt.Sprintf("%q is not a SHA-256 in hex", sum), want)
}

const sha256Bytes = 32

// Above checks that value is a finite number above 0.
func (c *Checker) Above(key string, value float64) {
	ok := value > 0 && !math.IsInf(value, 0)
	c.Require(ok, key, fmt.Sprintf("is missing or %v", value), "a number above 0")
}

// NotBelow checks that value is a finite number of at least 0.
func (c *Checker) NotBelow(key string, value float64) {
	ok := value >= 0 && !math.IsInf(value, 0)
	c.Require(ok, key, fmt.Sprintf("is %v", value), "a number of at least 0")
}

// Latency checks that a duration is above 0.
func (c *Checker) Latency(key string, value Duration) {
	text, _ := value.MarshalText()
	c.Require(value > 0, key, fmt.Sprintf("is missing or %s", text), WantDuration)
}

// WantDuration says how a duration is written.
const WantDuration = `a number with its unit, such as "1300ms"`

// Unique tells of ids that stand twice. The zero value has seen none.
type Unique struct {
	first map[string]string
}

// See notes a mistake when id was seen before at another key.
func (u *Unique) See(c *Checker, key, kind, id string) {
	if u.first == nil {
		u.first = make(map[string]string)
	}
	if id == "" {
		return
	}
	if first, ok := u.first[id]; ok {
		c.Add(key, fmt.Sprintf("duplicate %s %q, which %s has", kind, id, first), "another one")
		return
	}
	u.first[id] = key
}
